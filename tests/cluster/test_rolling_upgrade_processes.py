"""A rolling upgrade of real processes on loopback, from 0.5.1 as extracted from history."""

from __future__ import annotations

import json
import os
import subprocess
import sys
import time
import urllib.error
import urllib.request
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest

from standins.__main__ import CONTROLLER_COUNT, STATE_PORT, controller_port

from ..harness.earlier_version import ROOT, EarlierVersion
from ..harness.simulation import job, submission

TIMEOUT_S = 60.0


def send_request(port: int, path: str, body: Any = None) -> tuple[int, Any]:
    """Send a request; return its status and JSON body, or status 0 without a response."""
    data = None if body is None else json.dumps(body).encode()
    try:
        with urllib.request.urlopen(f"http://127.0.0.1:{port}{path}", data, timeout=5) as answer:
            return answer.status, json.loads(answer.read() or b"{}")
    except urllib.error.HTTPError as error:
        return error.code, {}
    except OSError:
        return 0, {}


def wait_for(description: str, check: Callable[..., bool], *arguments: Any) -> None:
    deadline = time.monotonic() + TIMEOUT_S
    while time.monotonic() < deadline:
        if check(*arguments):
            return
        time.sleep(0.2)
    raise AssertionError(f"timed out after {TIMEOUT_S:g} s waiting for {description}")


class Cluster:
    """Three controllers, each of either version, and the stand-ins that they call."""

    def __init__(self, folder: Path, old: Path):
        self.folder = folder
        self.source_trees = {"old": old, "new": ROOT}
        self.environment = {**os.environ, "LOG_LEVEL": "error"}
        self.stand_ins = subprocess.Popen([sys.executable, "-m", "standins", str(folder)], cwd=ROOT)
        self.nodes: list[subprocess.Popen[bytes] | None] = [None] * CONTROLLER_COUNT

    def start(self, node: int, version: str) -> None:
        settings = str(self.folder / f"node-{node}.toml")
        command = [sys.executable, "run.py", "--config", settings]
        self.nodes[node] = subprocess.Popen(
            command, cwd=self.source_trees[version], env=self.environment
        )

    def stop(self, node: int) -> None:
        process = self.nodes[node]
        if process is not None:
            process.kill()
            process.wait()
            self.nodes[node] = None

    def stop_all(self) -> None:
        for node in range(CONTROLLER_COUNT):
            self.stop(node)
        self.stand_ins.kill()
        self.stand_ins.wait()

    def ready(self, node: int) -> bool:
        return send_request(controller_port(node), "/ready")[0] == 200


@pytest.fixture
def cluster(production: EarlierVersion, tmp_path: Path) -> Iterator[Cluster]:
    processes = Cluster(tmp_path, production.folder.parent)
    try:
        wait_for("settings", (tmp_path / f"node-{CONTROLLER_COUNT - 1}.toml").exists)
        yield processes
    finally:
        processes.stop_all()


def desk_job(number: int, **fields: Any) -> dict[str, Any]:
    return submission(job(number, crew="desk", vcpus=1.0, rows=4, ripenS=2.0, **fields))


def test_jobs_of_both_versions_finish_during_a_rolling_upgrade(cluster: Cluster) -> None:
    """Jobs accepted by either version finish; the gate opens with the last upgraded controller."""

    def has_stage(number: int, node: int, stage: str) -> bool:
        answer = send_request(controller_port(node), f"/api/jobs/wk-{number:06d}")[1]
        return bool(answer.get("stage") == stage)

    def gate_is_open() -> bool:
        return send_request(STATE_PORT, "/store/pt/format")[0] == 200

    def accepted(spec: dict[str, Any], node: int) -> bool:
        return send_request(controller_port(node), "/api/jobs", spec)[0] in (200, 201)

    for node in range(CONTROLLER_COUNT):
        cluster.start(node, "old")
    for node in range(CONTROLLER_COUNT):
        wait_for(f"node {node}", cluster.ready, node)
    for node in range(CONTROLLER_COUNT):
        assert not gate_is_open()
        wait_for("acceptance", accepted, desk_job(node + 1), (node + 1) % CONTROLLER_COUNT)
        cluster.stop(node)
        cluster.start(node, "new")
        wait_for(f"node {node}", cluster.ready, node)
    wait_for("open gate", gate_is_open)
    for number in (1, 2, 3):
        wait_for(f"end of job {number}", has_stage, number, 0, "done")
    service = desk_job(9, cut="standing", rank="production")
    wait_for("acceptance", accepted, service, 1)
    wait_for("running service", has_stage, 9, 2, "running")
    assert (
        send_request(controller_port(0), "/api/jobs/wk-000009/cancel", {})[1].get("stage")
        == "withdrawn"
    )
