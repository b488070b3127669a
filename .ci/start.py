"""Start three controllers with the deploy file's run command, and run a job on the stand-ins."""

import json
import os
import pathlib
import subprocess
import sys
import time
import tomllib
import urllib.error
import urllib.request
from collections.abc import Callable
from typing import NamedTuple

ROOT = pathlib.Path(__file__).resolve().parent.parent
FOLDER = ROOT / "target" / "try"  # contains the settings files that the stand-ins write
CONTROLLER = "http://127.0.0.1:7010"
CONTROLLER_COUNT = 3
REQUEST_TIMEOUT_S = 5
POLL_INTERVAL_S = 0.2
JOB = {
    "ref": "wk-000001",
    "vintage": "demo",
    "crew": "desk",
    "cut": "sweep",
    "rank": "standard",
    "rows": 4,
    "vcpus": 1.0,
    "cards": 0.0,
    "memGb": 1.0,
    "cask": "img",
    "pullGb": 0.1,
    "oneZone": False,
    "spread": False,
    "gleaning": True,
    "ripenS": 1.0,
    "rackS": 0.0,
    "bottleS": 0.0,
}


class Reply(NamedTuple):
    """A controller's reply; status 0 if none was received."""

    status: int
    body: dict[str, object]


def request(path: str, body: object = None) -> Reply:
    """Send a request to the first controller: POST with a body, GET without."""
    data = None if body is None else json.dumps(body).encode()
    try:
        with urllib.request.urlopen(CONTROLLER + path, data, timeout=REQUEST_TIMEOUT_S) as answer:
            return Reply(answer.status, json.loads(answer.read() or b"{}"))
    except urllib.error.HTTPError as error:
        return Reply(error.code, {})
    except OSError:
        return Reply(0, {})


def wait_for(what: str, check: Callable[[], bool], timeout: float = 60.0) -> None:
    """Wait until a check holds; exit with an error after the timeout, in seconds."""
    end = time.monotonic() + timeout
    while time.monotonic() < end:
        if check():
            print(f"start: {what}")
            return
        time.sleep(POLL_INTERVAL_S)
    sys.exit(f"start: no {what} in {timeout:g} s")


def main() -> None:
    """Start the stand-ins and the controllers, run a job, and kill all processes."""
    run = tomllib.loads((ROOT / "deploy" / "service.toml").read_text())["run"].split()
    env = {**os.environ, "LOG_LEVEL": "error"}
    stand_ins = subprocess.Popen([sys.executable, "-m", "standins", str(FOLDER)], cwd=ROOT)
    controllers = []
    try:
        wait_for("settings", lambda: (FOLDER / "node-2.toml").exists())
        controllers = [
            subprocess.Popen([*run, str(FOLDER / f"node-{n}.toml")], cwd=ROOT, env=env)
            for n in range(CONTROLLER_COUNT)
        ]
        wait_for("ready", lambda: request("/ready").status == 200)
        wait_for("accepted", lambda: request("/api/jobs", JOB).status in (200, 201))
        wait_for("done", lambda: request("/api/jobs/wk-000001").body.get("stage") == "done")
        exit_codes = [controller.poll() for controller in controllers]
        if any(code is not None for code in exit_codes):
            sys.exit(f"start: a controller ended by itself: {exit_codes}")
    finally:
        for process in (*controllers, stand_ins):
            process.kill()
            process.wait()


if __name__ == "__main__":
    main()
