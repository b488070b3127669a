"""The operators' policy: loads a policy file and evaluates its figures (numeric parameters).

A policy file consists of lines `name = expression`; `#` starts a comment. An expression
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
    """An invalid policy; the text is one line."""


@dataclass(frozen=True)
class Policy:
    """The evaluated figures; `figures.FIGURES` describes each of them."""

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
        """Return pairs of name and value, sorted by name."""
        return sorted((field.name, getattr(self, field.name)) for field in fields(self))


class _Source(NamedTuple):
    """The expression of a figure and where it was set."""

    expression: str
    location: str  # for error messages: file and line, or "default of" the figure


class _Figures:
    """Evaluates each figure once, and resolves the names in their expressions."""

    def __init__(self, settings: Settings, sources: dict[str, _Source]) -> None:
        self._settings = settings
        self._sources = sources
        self._values: dict[str, float] = {}
        # Figures under evaluation, each referenced by the one before it.
        self._evaluating: list[str] = []

    def figure(self, name: str) -> float:
        """Return a figure's value; raises PolicyError."""
        if name in self._values:
            return self._values[name]
        expression, location = self._sources[name]
        if name in self._evaluating:
            raise PolicyError(
                f"{location}: {name}: refers to itself through {self._evaluating[-1]}"
            )
        self._evaluating.append(name)
        try:
            value = evaluate(expression, self)
        except ExpressionError as error:
            raise PolicyError(f"{location}:{error.column}: {name}: {error.reason}") from None
        _check_range(name, value, location)
        self._evaluating.pop()
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
        """Return a numeric value of the platform's settings."""
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
    """Evaluate a policy's text on top of the defaults; raises PolicyError with file and line."""
    sources = {
        name: _Source(figure.default, f"default of {name}") for name, figure in FIGURES.items()
    }
    sources |= _read_lines(text, file)
    figures = _Figures(settings, sources)
    policy = Policy(**{name: figures.figure(name) for name in FIGURES})
    _check_freshness_bound(policy, settings, sources["max_evidence_age"].location)
    return policy


def _read_lines(text: str, file: str) -> dict[str, _Source]:
    """Return the figures that a policy's text sets, by their current names."""
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
    """Reject a freshness bound with which cancelled tasks could outlive `cancel_s`."""
    highest = max_freshness_bound(settings.deployment.workers)
    if policy.max_evidence_age > highest:
        raise PolicyError(
            f"{location}: max_evidence_age: {policy.max_evidence_age:g} s"
            f" plus the agent lease goes beyond cancel_s; must be at most {highest:g} s"
        )


def load(path: str | Path | None, settings: Settings) -> Policy:
    """Load a policy file, or the defaults if `path` is None; raises PolicyError."""
    if path is None:
        return parse("", settings)
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise PolicyError(f"{path}: cannot be read: {error}") from error
    return parse(text, settings, str(path))
