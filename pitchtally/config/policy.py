"""Operators' own settings: a small expression language with a checker.

A policy file holds lines `name = expression`. An expression is arithmetic over
numbers, the platform's settings (`agents.lease_s`, `state.rps`, ...) and other
policy names, with `min`, `max`, comparisons, `and`/`or`/`not` and `a if c else b`.
It is parsed with `ast` against a whitelist and evaluated once, before start;
nothing else of Python can be reached from it. Every figure that the project
leaves open is named here with a default written in the same language, so that
the default follows the settings of whatever deployment it runs in.
"""

from __future__ import annotations

import ast
import operator
from collections.abc import Callable
from pathlib import Path
from typing import Any

from .settings import Settings, SettingsError
from .timing import max_freshness_bound

# name: (default expression, lowest, highest, what it sets)
FIGURES: dict[str, tuple[str, float, float, str]] = {
    "period": ("5", 0.1, 600, "seconds between availability matrices, and between progress writes"),
    "bound": ("2", 1, 1000, "B: keep a job if its stretch is at most B times the lowest"),
    "stretch_samples": ("16", 2, 64, "samples of S in a matrix"),
    "size_samples": ("6", 1, 32, "samples of w in a matrix"),
    "task_samples": ("8", 1, 32, "samples of a in a matrix"),
    "session_ttl": ("workers.lease_s / 4", 0.1, 600, "a node's lease in the state service"),
    "heartbeat_interval": (
        "workers.report_s / 3",
        0.05,
        60,
        "seconds between messages to each peer",
    ),
    "call_timeout": ("workers.lease_s / 10", 0.05, 60, "longest wait for state service or peer"),
    "cloud_timeout": ("workers.lease_s / 3", 0.1, 120, "longest wait for the cloud"),
    "watch_share": ("0.25", 0.01, 0.9, "share of the state requests that watching may use"),
    "admit_wait": ("0.75", 0, 4, "longest wait for a write token before a submission gets 503"),
    "silence": ("workers.lease_s * 1.25", 0.1, 3600, "silent this long, a machine is given up"),
    "max_evidence_age": (
        "(workers.cancel_s - workers.lease_s) * 0.6",
        0.1,
        3600,
        "an owner that may be missing cancellations this long stops renewing leases",
    ),
    "hire_patience": (
        "0.4",
        0.01,
        100,
        "hire if what waits takes this share of the time its aim leaves",
    ),
    "idle_release": ("15", 1, 36000, "an idle machine is returned after this long"),
    "defer_share": (
        "0.05",
        0,
        1,
        "wait a report for a cheaper machine if it costs at most this share of slack",
    ),
    "ready_for": (
        "workers.lease_s * 9",
        1,
        36000,
        "the peak of so many seconds is kept ready for classes that can't wait",
    ),
    "preempt_after": ("workers.report_s / 2", 0, 600, "wait this long for room before preempting"),
    "unhealthy_rest": (
        "workers.lease_s * 3",
        1,
        36000,
        "rest for a machine that fails several jobs",
    ),
    "start_within": (
        "240",
        1,
        36000,
        "users bear this wait for a start: after most of it a job goes first",
    ),
    "list_every": ("cloud.list_lag_s / 2", 0.1, 600, "seconds between machine lists"),
}

# Names of earlier versions, which operators' files may still hold.
RENAMED = {"beat": "heartbeat_interval", "blind": "max_evidence_age", "sick_rest": "unhealthy_rest"}

_BINARY: dict[type[ast.AST], Callable[[Any, Any], Any]] = {
    ast.Add: operator.add,
    ast.Sub: operator.sub,
    ast.Mult: operator.mul,
    ast.Div: operator.truediv,
    ast.FloorDiv: operator.floordiv,
    ast.Mod: operator.mod,
}
_COMPARE: dict[type[ast.AST], Callable[[Any, Any], bool]] = {
    ast.Lt: operator.lt,
    ast.LtE: operator.le,
    ast.Gt: operator.gt,
    ast.GtE: operator.ge,
    ast.Eq: operator.eq,
    ast.NotEq: operator.ne,
}
_FUNCTIONS: dict[str, Callable[..., Any]] = {"min": min, "max": max}
_SECTIONS = ("workers", "state", "cloud", "machine_limits")


class PolicyError(SettingsError):
    """A policy that can't be used; the text is one line."""


class Policy:
    """The evaluated figures; each is an attribute."""

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

    def __init__(self, figures: dict[str, float]):
        self.__dict__.update(figures)

    def items(self) -> list[tuple[str, float]]:
        """Names and values, in order of names."""
        return sorted(self.__dict__.items())


class _Evaluator:
    def __init__(self, settings: Settings, sources: dict[str, tuple[str, str]]):
        self.settings = settings
        self.sources = sources  # name -> (expression, where it stands)
        self.values: dict[str, float] = {}
        self.open: list[str] = []

    def figure(self, name: str) -> float:
        if name in self.values:
            return self.values[name]
        text, where = self.sources[name]
        if name in self.open:
            raise PolicyError(f"{where}: {name}: refers to itself by way of {self.open[-1]}")
        self.open.append(name)
        try:
            tree = ast.parse(text, mode="eval")
        except (SyntaxError, ValueError, MemoryError, RecursionError) as error:
            column = getattr(error, "offset", None) or 1
            raise PolicyError(f"{where}:{column}: {name}: not an expression") from None
        value = self.walk(tree.body, name, where)
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise PolicyError(f"{where}: {name}: must be a number")
        low, high = FIGURES[name][1:3]
        if not low <= value <= high:
            raise PolicyError(f"{where}: {name}: {value:g} is outside {low:g} to {high:g}")
        self.open.pop()
        self.values[name] = float(value)
        return self.values[name]

    def walk(self, node: ast.expr, name: str, where: str) -> Any:
        def fault(why: str) -> PolicyError:
            return PolicyError(f"{where}:{node.col_offset + 1}: {name}: {why}")

        match node:
            case ast.Constant(value=bool() | int() | float() as value):
                return value
            case ast.Name(id=other) if RENAMED.get(other, other) in FIGURES:
                return self.figure(RENAMED.get(other, other))
            case ast.Attribute(value=ast.Name(id=section), attr=field):
                try:
                    return self.setting(section, field)
                except KeyError as error:
                    raise fault(str(error.args[0])) from None
            case ast.Name(id="count"):
                return self.settings.deployment.count
            case ast.BinOp(left=left, op=op, right=right) if type(op) in _BINARY:
                a, b = self.number(left, name, where), self.number(right, name, where)
                try:
                    return _BINARY[type(op)](a, b)
                except (ZeroDivisionError, OverflowError) as error:
                    raise fault(str(error)) from None
            case ast.Name(id=other):
                raise fault(f"unknown name {other!r}")
        return self._walk_operators(node, name, where)

    def _walk_operators(self, node: ast.expr, name: str, where: str) -> Any:
        match node:
            case ast.UnaryOp(op=ast.USub(), operand=inner):
                return -self.number(inner, name, where)
            case ast.UnaryOp(op=ast.Not(), operand=inner):
                return not self.walk(inner, name, where)
            case ast.BoolOp(op=op, values=parts):
                found = [bool(self.walk(p, name, where)) for p in parts]
                return all(found) if isinstance(op, ast.And) else any(found)
            case ast.Compare(left=left, ops=[op], comparators=[right]) if type(op) in _COMPARE:
                a, b = self.number(left, name, where), self.number(right, name, where)
                return _COMPARE[type(op)](a, b)
            case ast.IfExp(test=test, body=body, orelse=other_body):
                yes = self.walk(test, name, where)
                return self.walk(body if yes else other_body, name, where)
            case ast.Call(func=ast.Name(id=call), args=args, keywords=[]) if (
                call in _FUNCTIONS and args
            ):
                return _FUNCTIONS[call](*(self.number(a, name, where) for a in args))
        raise PolicyError(f"{where}:{node.col_offset + 1}: {name}: not part of the language")

    def setting(self, section: str, field: str) -> float:
        """A figure of the platform's settings; KeyError with the reason if there is none."""
        if section not in _SECTIONS:
            raise KeyError(f"no section {section!r} in the settings")
        deployment = self.settings.deployment
        limits = deployment.state_to_keep if section == "state" else getattr(deployment, section)
        found = getattr(limits, field, None)
        if not isinstance(found, int | float):
            raise KeyError(f"no figure {section}.{field} in the settings")
        return found

    def number(self, node: ast.expr, name: str, where: str) -> float:
        value = self.walk(node, name, where)
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise PolicyError(f"{where}:{node.col_offset + 1}: {name}: must be a number")
        return value


def parse(text: str, settings: Settings, file: str = "policy") -> Policy:
    """Evaluate a policy text over the defaults; PolicyError names file, line and reason."""
    sources = {name: (figure[0], f"default of {name}") for name, figure in FIGURES.items()}
    given: set[str] = set()
    for number, line in enumerate(text.splitlines(), 1):
        body = line.partition("#")[0].strip()
        if not body:
            continue
        name, equals, expression = (piece.strip() for piece in body.partition("="))
        if not equals or not expression:
            raise PolicyError(f"{file}:{number}: expected 'name = expression'")
        name = RENAMED.get(name, name)
        if name not in FIGURES:
            raise PolicyError(f"{file}:{number}: unknown figure {name!r}")
        if name in given:
            raise PolicyError(f"{file}:{number}: {name}: set twice")
        given.add(name)
        sources[name] = (expression, f"{file}:{number}")
    evaluator = _Evaluator(settings, sources)
    policy = Policy({name: evaluator.figure(name) for name in FIGURES})
    most = max_freshness_bound(settings.deployment.workers)
    if policy.max_evidence_age > most:
        # Renewed until then, a lease would keep cancelled tasks beyond what users are told.
        raise PolicyError(
            f"{sources['max_evidence_age'][1]}: max_evidence_age: {policy.max_evidence_age:g} s"
            f" and a lease go beyond cancel_s, at most {most:g}"
        )
    return policy


def load(path: str | Path | None, settings: Settings) -> Policy:
    """Read a policy file; with no path, the defaults."""
    if path is None:
        return parse("", settings)
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise PolicyError(f"{path}: cannot be read: {error}") from error
    return parse(text, settings, str(path))
