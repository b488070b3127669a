"""The operators' policy: reads a policy file and evaluates its figures.

A policy file holds lines `name = expression`, with `#` before a comment. An expression
(`expression`) may use the platform's settings (`workers.lease_s`, `state.rps`, ...), `count`
(the number of controllers) and other figures of the policy. All figures are evaluated once,
before the controller starts; those that the file doesn't set have their defaults (`figures`).
"""

from __future__ import annotations

from dataclasses import dataclass, fields
from pathlib import Path
from typing import NamedTuple

from .expression import ExpressionError, UnknownNameError, Value, evaluate, is_number
from .figures import FIGURES, current_name
from .settings import Settings, SettingsError
from .timing import max_freshness_bound

CONTROLLER_COUNT = "count"
SETTINGS_SECTIONS = ("workers", "state", "cloud", "machine_limits")


class PolicyError(SettingsError):
    """A policy that can't be used; the text is one line."""


@dataclass(frozen=True)
class Policy:
    """The evaluated figures; `figures.FIGURES` says what each one means."""

    period: float
    bound: float
    stretch_samples: float
    size_samples: float
    task_samples: float
    session_ttl: float
    heartbeat_interval: float
    call_timeout: float
    cloud_timeout: float
    watch_share: float
    admit_wait: float
    silence: float
    max_evidence_age: float
    hire_patience: float
    idle_release: float
    ready_for: float
    defer_share: float
    preempt_after: float
    unhealthy_rest: float
    start_within: float
    list_every: float

    def items(self) -> list[tuple[str, float]]:
        """Return names and values as pairs, in order of names."""
        return sorted((field.name, getattr(self, field.name)) for field in fields(self))


class _Source(NamedTuple):
    """Where a figure's value comes from."""

    expression: str
    location: str  # for error messages: file and line, or that it is the default


class _Figures:
    """Evaluates figures, each once; stands for the names in their expressions."""

    def __init__(self, settings: Settings, sources: dict[str, _Source]) -> None:
        self._settings = settings
        self._sources = sources
        self._values: dict[str, float] = {}
        self._open: list[str] = []  # figures under evaluation, each named by the one before

    def figure(self, name: str) -> float:
        """Return a figure's value; raises PolicyError."""
        if name in self._values:
            return self._values[name]
        expression, location = self._sources[name]
        if name in self._open:
            raise PolicyError(f"{location}: {name}: refers to itself by way of {self._open[-1]}")
        self._open.append(name)
        try:
            value = evaluate(expression, self)
        except ExpressionError as error:
            raise PolicyError(f"{location}:{error.column}: {name}: {error.reason}") from None
        _check_range(name, value, location)
        self._open.pop()
        self._values[name] = float(value)
        return self._values[name]

    def value(self, name: str) -> Value:
        """Return the value of another figure, or the number of controllers."""
        if current_name(name) in FIGURES:
            return self.figure(current_name(name))
        if name == CONTROLLER_COUNT:
            return self._settings.deployment.count
        raise UnknownNameError(f"unknown name {name!r}")

    def attribute(self, section: str, name: str) -> Value:
        """Return a figure of the platform's settings."""
        if section not in SETTINGS_SECTIONS:
            raise UnknownNameError(f"no section {section!r} in the settings")
        deployment = self._settings.deployment
        limits = (
            deployment.effective_state_limits
            if section == "state"
            else getattr(deployment, section)
        )
        value = getattr(limits, name, None)
        if not isinstance(value, int | float):
            raise UnknownNameError(f"no figure {section}.{name} in the settings")
        return value


def _check_range(name: str, value: Value, location: str) -> None:
    if not is_number(value):
        raise PolicyError(f"{location}: {name}: must be a number")
    lowest, highest = FIGURES[name].lowest, FIGURES[name].highest
    if not lowest <= value <= highest:
        raise PolicyError(f"{location}: {name}: {value:g} is outside {lowest:g} to {highest:g}")


def parse(text: str, settings: Settings, file: str = "policy") -> Policy:
    """Evaluate a policy's text over the defaults; raises PolicyError with file and line."""
    sources = {
        name: _Source(figure.default, f"default of {name}") for name, figure in FIGURES.items()
    }
    sources |= _read_lines(text, file)
    figures = _Figures(settings, sources)
    policy = Policy(**{name: figures.figure(name) for name in FIGURES})
    _check_freshness_bound(policy, settings, sources["max_evidence_age"].location)
    return policy


def _read_lines(text: str, file: str) -> dict[str, _Source]:
    """Return the figures that a policy's text sets, by their present names."""
    sources: dict[str, _Source] = {}
    for number, line in enumerate(text.splitlines(), 1):
        body = line.partition("#")[0].strip()
        if not body:
            continue
        location = f"{file}:{number}"
        name, equals, expression = (piece.strip() for piece in body.partition("="))
        if not equals or not expression:
            raise PolicyError(f"{location}: expected 'name = expression'")
        name = current_name(name)
        if name not in FIGURES:
            raise PolicyError(f"{location}: unknown figure {name!r}")
        if name in sources:
            raise PolicyError(f"{location}: {name}: set twice")
        sources[name] = _Source(expression, location)
    return sources


def _check_freshness_bound(policy: Policy, settings: Settings, location: str) -> None:
    """Refuse leases that would keep cancelled tasks running for longer than users are told."""
    highest = max_freshness_bound(settings.deployment.workers)
    if policy.max_evidence_age > highest:
        raise PolicyError(
            f"{location}: max_evidence_age: {policy.max_evidence_age:g} s"
            f" and a lease go beyond cancel_s, at most {highest:g}"
        )


def load(path: str | Path | None, settings: Settings) -> Policy:
    """Read a policy file, or take the defaults without a path; raises PolicyError."""
    if path is None:
        return parse("", settings)
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise PolicyError(f"{path}: cannot be read: {error}") from error
    return parse(text, settings, str(path))
