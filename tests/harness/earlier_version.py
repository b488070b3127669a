"""Released versions, loaded from this repository's history beside the present one."""

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
VERSION_0_6_0 = "4dbc4a62bb9624fbab8370e0e8fe46c94eccac3e"


class Renamed:
    """An object of an earlier version that answers to present names of its attributes."""

    def __init__(self, target: Any, **present: Any):
        """`present`: by present name the earlier name, or an object to give out for it."""
        self._target = target
        self._present = present

    def __getattr__(self, name: str) -> Any:
        found = self._present.get(name, name)
        return getattr(self._target, found) if isinstance(found, str) else found


def as_built(controller: Any) -> Any:
    """A controller as its own version made it."""
    return controller._target if isinstance(controller, Renamed) else controller


def with_present_names(controller: Any) -> Renamed:
    """A controller of 0.5.1 or 0.6.0 under the present tree's names."""
    return Renamed(
        controller,
        replica=Renamed(controller.replica, apply_committed="learn"),
        job_index="job_store",
        membership=Renamed(
            controller.members,
            leader="owner",
            cluster_leader_token="leading",
            session=Renamed(controller.members, own_record="_own_node"),
        ),
        agents=Renamed(
            controller.workers,
            records=Renamed(controller.workers.records, recorded_machines="of"),
        ),
        scheduler=Renamed(controller.split, quotas="teams"),
        autoscaler=Renamed(controller.fleet, catalog="machine_types"),
    )


class HistoryMissing(Exception):
    """The commit of a released version isn't in this clone."""


def commit_in_production() -> str:
    """The commit that `deploy/service.toml` names as the one in production."""
    return str(tomllib.loads((ROOT / "deploy" / "service.toml").read_text())["production"])


def extract(commit: str, folder: Path) -> None:
    """Write the whole tree of a commit into a folder; raises HistoryMissing."""
    found = subprocess.run(["git", "archive", commit], cwd=ROOT, capture_output=True)
    if found.returncode:
        raise HistoryMissing(
            f"commit {commit}, an earlier version that tests play, isn't in this clone: "
            f"fetch the whole history (git fetch --unshallow). {found.stderr.decode().strip()}"
        )
    with tarfile.open(fileobj=io.BytesIO(found.stdout)) as archive:
        archive.extractall(folder)


class EarlierVersion:
    """The modules of a released version, under a package name of their own."""

    def __init__(self, commit: str, folder: Path):
        extract(commit, folder)
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
        """One of its modules, such as `control.jobs`."""
        return importlib.import_module(f"{self.package}.{name}")

    def controller(self, settings: Settings, policy: str) -> Any:
        """A controller of that version; it ignores the settings that it doesn't know."""
        raw = msgspec.to_builtins(settings)
        config = msgspec.convert(raw, self.module("settings").Settings, strict=False)
        figures = self.module("policy").parse(policy, config)
        return self.module("control.service").Controller(config, figures)

    def install(self, monkeypatch: pytest.MonkeyPatch, network: Network, clock: Any) -> None:
        """Let its clients and servers use a network of stand-ins, and a clock for its time."""
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
