"""Reads the configuration of one controller: the platform's settings and the policy."""

from __future__ import annotations

import os
from pathlib import Path
from typing import NamedTuple

from ..config import policy as policy_file
from ..config import settings as settings_file
from ..config.policy import Policy
from ..config.settings import Settings

ROOT = Path(__file__).resolve().parent.parent.parent
DEFAULT_POLICY_FILE = ROOT / "deploy" / "policy.conf"
POLICY_VARIABLE = "PITCHTALLY_POLICY"


class Configuration(NamedTuple):
    """What a controller is started with."""

    settings: Settings
    policy: Policy


def load_configuration(settings_path: str, policy_path: str | None) -> Configuration:
    """Read and check both files; raises SettingsError.

    Without a path the policy comes from the file that `PITCHTALLY_POLICY` names, else from
    `deploy/policy.conf` if there is one, else it consists of the defaults.
    """
    settings = settings_file.load(settings_path)
    path = policy_path or os.environ.get(POLICY_VARIABLE) or _default_policy_file()
    return Configuration(settings, policy_file.load(path, settings))


def _default_policy_file() -> Path | None:
    return DEFAULT_POLICY_FILE if DEFAULT_POLICY_FILE.exists() else None
