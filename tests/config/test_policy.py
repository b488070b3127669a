"""Tests of settings and policy: each error is reported in one line that names its cause."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

import pytest
from click.testing import CliRunner

from pitchtally.cli.commands import main
from pitchtally.config import policy
from pitchtally.config.settings import SettingsError, load

from ..harness.simulation import settings

VALID_SETTINGS = """
node_name = "c-0"
public_addr = "10.0.0.1:8080"
peer_bind = "10.0.0.1:8081"
new_field = 3
[[members]]
node_name = "c-1"
address = "10.0.0.2:8081"
[endpoints]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"
[deployment]
count = 3
[deployment.workers]
report_s = 3.0
lease_s = 20
"""


WriteSettings = Callable[[str], Path]


@pytest.fixture
def write_settings(tmp_path: Path) -> WriteSettings:
    """Return a function that writes a settings file and returns its path."""

    def write(text: str) -> Path:
        file = tmp_path / "s.toml"
        file.write_text(text)
        return file

    return write


@pytest.mark.parametrize(
    ("old", "new", "word"),
    [
        ("count = 3", "count = 0", "count"),
        ("lease_s = 20", "lease_s = -1", "lease_s"),
        ("report_s = 3.0", "", "report_s"),
        ("10.2.0.1:2379", "10.2.0.1", "endpoints.state"),
        ('node_name = "c-0"', "node_name = 4", "node_name"),
        ("[endpoints]", "[endpoints", "TOML"),
        ('"10.0.0.2:8081"', '"nowhere"', "members.c-1.address"),
    ],
)
def test_bad_settings(write_settings: WriteSettings, old: str, new: str, word: str) -> None:
    file = write_settings(VALID_SETTINGS.replace(old, new))
    with pytest.raises(SettingsError) as caught:
        load(file)
    assert word in str(caught.value)
    assert "\n" not in str(caught.value)
    assert str(file) in str(caught.value)


ANNOUNCED_LIMITS_HEADER = "[deployment.state.next]\n"


@pytest.mark.parametrize(
    ("text", "word"),
    [
        ("value_kb = 0.0", "state.next.value_kb"),
        ("txn_ops = -4", "state.next.txn_ops"),
        ("write_rps = nan", "state.next.write_rps"),
        ("rps = inf", "state.next.rps"),
        ('value_kb = "small"', "value_kb"),
        ("txn_ops = 2.5", "txn_ops"),
    ],
)
def test_bad_announced_limits(write_settings: WriteSettings, text: str, word: str) -> None:
    file = write_settings(f"{VALID_SETTINGS}{ANNOUNCED_LIMITS_HEADER}{text}\n")
    with pytest.raises(SettingsError) as caught:
        load(file)
    assert word in str(caught.value)
    assert "\n" not in str(caught.value)


def test_check_prints_the_effective_limits(write_settings: WriteSettings) -> None:
    file = write_settings(
        f"{VALID_SETTINGS}{ANNOUNCED_LIMITS_HEADER}value_kb = 2\ntxn_ops = 80\nlater_field = 1\n"
    )
    result = CliRunner().invoke(main, ["check", "--config", str(file)])
    assert result.exit_code == 0
    assert "state.value_kb = 2 (today 8)" in result.output
    assert "state.txn_ops = 8 (today 8)" in result.output


def test_good_settings(write_settings: WriteSettings, tmp_path: Path) -> None:
    assert load(write_settings(VALID_SETTINGS)).nodes == ["c-0", "c-1"]
    with pytest.raises(SettingsError):
        load(tmp_path / "absent.toml")


@pytest.mark.parametrize(
    ("text", "name", "value"),
    [
        ("", "session_ttl", 2.5),
        ("session_ttl = workers.lease_s / 2", "session_ttl", 5.0),
        ("period = min(3, workers.report_s * 4) # comment", "period", 3.0),
        ("period = 7 if state.rps > 1000 else 2 + 1", "period", 3.0),
        ("heartbeat_interval = -(-0.5)\n\nperiod = heartbeat_interval * 4", "period", 2.0),
        ("beat = -(-0.5)\n\nperiod = beat * 4", "period", 2.0),  # a name of earlier versions
        ("blind = 1.5", "max_evidence_age", 1.5),
        ("bound = 1 + (not 2 > 3 and 1 < 2) * 1 if count == 9 else 3", "bound", 3.0),
    ],
)
def test_expressions(text: str, name: str, value: float) -> None:
    assert getattr(policy.parse(text, settings("n0")), name) == pytest.approx(value)


@pytest.mark.parametrize(
    ("text", "word"),
    [
        ("period", "1: expected"),
        ("speed = 3", "1: unknown figure"),
        ("\nperiod = ", "2: expected"),
        ("period = 3\nperiod = 4", "2: period: set twice"),
        ("period = workers.no", "workers.no"),
        ("period = other", "unknown name"),
        ("period = 1 +", "not an expression"),
        ("period = __import__('os')", "not part of the language"),
        ("period = (1).real", "not part of the language"),
        ("period = [1][0]", "not part of the language"),
        ("period = 2 ** 9", "not part of the language"),
        ("period = 1 / 0", "division"),
        ("period = 9 > 3", "must be a number"),
        ("period = -1", "outside"),
        ("period = heartbeat_interval\nbeat = period", "refers to itself"),
        ("period = True + 1", "must be a number"),
    ],
)
def test_bad_expressions(text: str, word: str) -> None:
    with pytest.raises(policy.PolicyError) as caught:
        policy.parse(text, settings("n0"), "p.conf")
    assert word in str(caught.value)
    assert "\n" not in str(caught.value)
