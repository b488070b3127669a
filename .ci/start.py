"""Start three controllers from the deploy file against the stand-ins; run one job."""

import json
import os
import pathlib
import subprocess
import sys
import time
import tomllib
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
FOLDER = ROOT / "target" / "try"
NODE = "http://127.0.0.1:7010"
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


def ask(path: str, body: object = None) -> tuple[int, dict[str, object]]:
    """One request to the first controller: its status and JSON body; 0 without an answer."""
    data = None if body is None else json.dumps(body).encode()
    try:
        with urllib.request.urlopen(NODE + path, data, timeout=5) as answer:
            return answer.status, json.loads(answer.read() or b"{}")
    except urllib.error.HTTPError as error:
        return error.code, {}
    except OSError:
        return 0, {}


def wait(what: str, check: object, limit: float = 60.0) -> None:
    """Wait until a check holds, or end the run with what was missing."""
    end = time.monotonic() + limit
    while time.monotonic() < end:
        if check():  # type: ignore[operator]
            print(f"start: {what}")
            return
        time.sleep(0.2)
    sys.exit(f"start: no {what} in {limit:g} s")


def main() -> None:
    """Start stand-ins and controllers, run one job, and end them all."""
    run = tomllib.loads((ROOT / "deploy" / "service.toml").read_text())["run"].split()
    env = {**os.environ, "LOG_LEVEL": "error"}
    world = subprocess.Popen([sys.executable, "-m", "standins", str(FOLDER)], cwd=ROOT)
    nodes = []
    try:
        wait("settings", lambda: (FOLDER / "node-2.toml").exists())
        nodes = [
            subprocess.Popen([*run, str(FOLDER / f"node-{n}.toml")], cwd=ROOT, env=env)
            for n in range(3)
        ]
        wait("ready", lambda: ask("/ready")[0] == 200)
        wait("accepted", lambda: ask("/api/jobs", JOB)[0] in (200, 201))
        wait("done", lambda: ask("/api/jobs/wk-000001")[1].get("stage") == "done")
        ended = [node.poll() for node in nodes]
        if any(code is not None for code in ended):
            sys.exit(f"start: a controller ended by itself: {ended}")
    finally:
        for process in (*nodes, world):
            process.kill()
            process.wait()


if __name__ == "__main__":
    main()
