"""Tests of the tool that scales site files, with a small made-up site file."""

from __future__ import annotations

import tomllib
from pathlib import Path

import pytest
from click.testing import CliRunner

from experiments.scale_site import Factors, SiteError, assign, main, scale

SITE = """
name = "small"
wire = "wire.json"

[nodes]
cpu_share = 0.5
max_connections = 100

[state]
rps = 20.0

[[capacity]]
type = "big"
count = 3
spot = 0

[[machines]]
count = 2

[[teams]]
name = "free"

[[jobs]]
name = "c"
initial = 4
arrivals = { rate = 0.5, period_s = 180.0 }

[[jobs]]
name = "without arrivals"

[[day]]
name = "calm"

[[day]]
name = "rough"
faults = [
  { kind = "machine_hang", count = 2, for_s = 9.0 },
  { kind = "node_crash", count = 2 },
]
"""


def test_each_factor_scales_its_own_fields() -> None:
    site = scale(tomllib.loads(SITE), Factors(machines=9.0, arrivals=5.0, limits=4.0))
    assert site["capacity"] == [{"type": "big", "count": 27, "spot": 0}]
    assert site["machines"] == [{"count": 18}]
    assert site["jobs"][0]["initial"] == 20
    assert site["jobs"][0]["arrivals"] == {"rate": 2.5, "period_s": 180.0}
    assert site["nodes"] == {"cpu_share": 0.5, "max_connections": 400}
    assert site["state"] == {"rps": 80.0}
    hang, crash = site["day"][1]["faults"]
    assert hang == {"kind": "machine_hang", "count": 18, "for_s": 9.0}
    assert crash["count"] == 2


def test_scaling_down_keeps_at_least_one() -> None:
    site = scale(tomllib.loads(SITE), Factors(machines=0.1))
    assert site["capacity"] == [{"type": "big", "count": 1, "spot": 0}]


@pytest.mark.parametrize(
    ("setting", "reason"),
    [
        ("nodes.cpu_share=high", "not NAME"),
        ("nodes.cpu_share", "not NAME"),
        ("nodes.cores=2", "exactly one value"),
        ("cpu_share=1.0", "exactly one value"),
        ("capacity.type.count=1", "exactly one value"),
        ("jobs.initial=1", "exactly one value"),  # there are two tables of jobs
    ],
)
def test_invalid_setting_is_rejected(setting: str, reason: str) -> None:
    with pytest.raises(SiteError, match=reason):
        assign(tomllib.loads(SITE), setting)


def test_wire_path_is_relative_to_the_written_file(tmp_path: Path) -> None:
    (tmp_path / "kit").mkdir()
    source, out = tmp_path / "kit" / "small.toml", tmp_path / "large.toml"
    source.write_text(SITE)
    arguments = [str(source), str(out), "--machines", "3", "--set", "nodes.cpu_share=1.0"]
    result = CliRunner().invoke(main, arguments)
    assert result.exit_code == 0, result.output
    site = tomllib.loads(out.read_text())
    assert (site["name"], site["wire"], site["nodes"]["cpu_share"]) == (
        "large",
        "kit/wire.json",
        1.0,
    )
    assert site["capacity"][0]["count"] == 9


@pytest.mark.parametrize(
    ("text", "options", "reason"),
    [
        (None, [], "No such file"),
        ("name =", [], "small.toml"),
        (SITE, ["--machines", "0"], "above 0"),
        (SITE, ["--set", "nodes.cores=2"], "exactly one value"),
    ],
)
def test_invalid_input_is_reported_in_one_line(
    text: str | None, options: list[str], reason: str, tmp_path: Path
) -> None:
    source, out = tmp_path / "small.toml", tmp_path / "large.toml"
    if text is not None:
        source.write_text(text)
    result = CliRunner().invoke(main, [str(source), str(out), *options])
    assert result.exit_code == 1
    assert reason in result.output
    assert not out.exists()
