"""Loads the configuration of one controller: the platform's settings and the policy."""

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
    """The settings and policy of a controller."""

    settings: Settings
    policy: Policy


def load_configuration(settings_path: str, policy_path: str | None) -> Configuration:
    """Load and validate both files; raises SettingsError.

    Without a path the policy is loaded from the file named by `PITCHTALLY_POLICY`, else from
    `deploy/policy.conf` if that exists, else the defaults apply.
    """
    settings = settings_file.load(settings_path)
    path = policy_path or os.environ.get(POLICY_VARIABLE) or _default_policy_file()
    return Configuration(settings, policy_file.load(path, settings))


def _default_policy_file() -> Path | None:
    return DEFAULT_POLICY_FILE if DEFAULT_POLICY_FILE.exists() else None
