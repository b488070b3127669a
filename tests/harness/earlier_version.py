"""Loads released versions from the repository's history, next to the present version."""

from __future__ import annotations

import importlib
import importlib.util
import io
import subprocess
import sys
import tarfile
import tomllib
from pathlib import Path
from types import ModuleType
from typing import Any

import msgspec
import pytest

from pitchtally.config.settings import Settings
from pitchtally.http import HttpError, Request
from standins.network import CURRENT_HOST, Network

ROOT = Path(__file__).resolve().parent.parent.parent
COMMIT_0_6_0 = "4dbc4a62bb9624fbab8370e0e8fe46c94eccac3e"


class AliasingProxy:
    """Gives access to an object of an earlier version through the present attribute names."""

    def __init__(self, target: Any, **aliases: Any):
        """Map present attribute names to earlier names, or to the objects to return for them."""
        self._target = target
        self._aliases = aliases

    def __getattr__(self, name: str) -> Any:
        alias = self._aliases.get(name, name)
        return getattr(self._target, alias) if isinstance(alias, str) else alias


def original_controller(controller: Any) -> Any:
    """Return a controller without its `AliasingProxy`, if it has one."""
    return controller._target if isinstance(controller, AliasingProxy) else controller


def with_present_names(controller: Any) -> AliasingProxy:
    """Wrap a controller of 0.5.1 or 0.6.0 so that the present attribute names work."""
    return AliasingProxy(
        controller,
        replica=AliasingProxy(controller.replica, apply_committed="learn"),
        job_index="job_store",
        membership=AliasingProxy(
            controller.members,
            leader="owner",
            cluster_leader_token="leading",
            session=AliasingProxy(controller.members, own_record="_own_node"),
        ),
        agents=AliasingProxy(
            controller.workers,
            records=AliasingProxy(controller.workers.records, recorded_machines="of"),
        ),
        scheduler=AliasingProxy(controller.split, quotas="teams"),
        autoscaler=AliasingProxy(controller.fleet, catalog="machine_types"),
    )


class HistoryMissing(Exception):
    """Raised if the commit of a released version isn't in this clone."""


def commit_in_production() -> str:
    """Return the commit that `deploy/service.toml` names as the one in production."""
    return str(tomllib.loads((ROOT / "deploy" / "service.toml").read_text())["production"])


def extract_commit(commit: str, folder: Path) -> None:
    """Write the source tree of a commit into a folder; raises HistoryMissing."""
    git_archive = subprocess.run(["git", "archive", commit], cwd=ROOT, capture_output=True)
    if git_archive.returncode:
        raise HistoryMissing(
            f"commit {commit} of an earlier version that the tests run isn't in this clone; "
            f"fetch the full history (git fetch --unshallow): {git_archive.stderr.decode().strip()}"
        )
    with tarfile.open(fileobj=io.BytesIO(git_archive.stdout)) as archive:
        archive.extractall(folder)


class EarlierVersion:
    """The modules of a released version, imported under a separate package name."""

    def __init__(self, commit: str, folder: Path):
        extract_commit(commit, folder)
        self.package = f"pitchtally_{commit[:12]}"
        self.folder = folder / "pitchtally"
        init = self.folder / "__init__.py"
        spec = importlib.util.spec_from_file_location(
            self.package, init, submodule_search_locations=[str(self.folder)]
        )
        assert spec is not None
        assert spec.loader is not None
        package = importlib.util.module_from_spec(spec)
        sys.modules[self.package] = package
        spec.loader.exec_module(package)

    def module(self, name: str) -> ModuleType:
        """Import and return a module of that version, such as `control.jobs`."""
        return importlib.import_module(f"{self.package}.{name}")

    def controller(self, settings: Settings, policy: str) -> Any:
        """Return a controller of that version, which ignores settings that it doesn't support."""
        raw = msgspec.to_builtins(settings)
        config = msgspec.convert(raw, self.module("settings").Settings, strict=False)
        figures = self.module("policy").parse(policy, config)
        return self.module("control.service").Controller(config, figures)

    def install(self, monkeypatch: pytest.MonkeyPatch, network: Network, clock: Any) -> None:
        """Make that version use the simulated network, and the given clock as its `time`."""
        http = self.module("http")

        async def call(client: Any, address: Any, *arguments: Any, timeout: float) -> Any:
            try:
                return await network.call(address, *arguments, timeout=timeout)
            except HttpError as error:
                raise http.HttpError(str(error)) from None

        async def serve(server: Any, host: str, port: int) -> None:
            async def handle(request: Request) -> Any:
                return await server._handle(request)

            network.hosts[(host, port)] = (CURRENT_HOST.get(), handle)
            await network.sleep_until_cancelled()

        monkeypatch.setattr(http.Client, "call", call)
        monkeypatch.setattr(http.Server, "serve", serve)
        for name in ("control.order", "control.api"):
            monkeypatch.setattr(self.module(name), "time", clock)
