"""The platform's settings file, as typed records that are validated on loading.

Unknown fields are ignored, so that later platform versions can add fields. Units are part of
the names: `_s` seconds, `_ms` milliseconds, `_kb` kibibytes, `rps` requests per second.
"""

from __future__ import annotations

import tomllib
from pathlib import Path

import msgspec
from msgspec import Struct, field


class SettingsError(Exception):
    """An invalid settings or policy file; the text is one line."""


class Member(Struct, frozen=True):
    """Another controller of the deployment."""

    name: str = field(name="node_name")
    address: str
    zone: str = field(name="domain", default="")


class Endpoints(Struct, frozen=True):
    """Addresses of the cloud's and the state store's APIs."""

    cloud: str
    state: str


class Team(Struct, frozen=True):
    """A team's quota: guaranteed resources and limits; 0 means none."""

    name: str
    cpus: float = 0.0
    cpus_max: float = 0.0
    gpus: float = 0.0
    gpus_max: float = 0.0


class Objective(Struct, frozen=True):
    """A service-level objective for one class of jobs, or for all jobs."""

    kind: str
    job_class: str | None = field(name="class", default=None)
    within_s: float | None = None
    within_ms: float | None = None
    share: float | None = None
    times: float | None = None
    most: float | None = None


class AgentTimes(Struct, frozen=True):
    """Intervals, leases and timeouts of the agents, in seconds."""

    report_s: float
    lease_s: float
    gang_wait_s: float = 30.0
    gang_peer_s: float = 5.0
    cancel_s: float = 60.0


class NextStateLimits(Struct, frozen=True):
    """Announced limits of the state store; None: unchanged."""

    rps: float | None = None
    write_rps: float | None = None
    value_kb: float | None = None
    txn_ops: int | None = None


class StateLimits(Struct, frozen=True):
    """Limits of the state store, shared by all controllers."""

    rps: float = 100.0
    write_rps: float = 20.0
    value_kb: float = 8.0
    txn_ops: int = 8
    next: NextStateLimits | None = None

    def effective(self) -> StateLimits:
        """Return the smaller of the current and the announced value of each limit.

        The time from which the announced limits apply isn't known, so they are observed at once.
        """
        if self.next is None:
            return self
        smaller = {}
        for name in NextStateLimits.__struct_fields__:
            announced = getattr(self.next, name)
            today = getattr(self, name)
            smaller[name] = today if announced is None else min(today, announced)
        return StateLimits(**smaller)


class CloudLimits(Struct, frozen=True):
    """Limits of the cloud's API, shared by all controllers."""

    rps: float = 2.0
    list_lag_s: float = 10.0


class MachineLimits(Struct, frozen=True):
    """Resources of the machine that runs a controller."""

    cores: float = 1.0
    mem_mb: float = 256.0
    max_connections: int = 800


class Deployment(Struct, frozen=True):
    """The settings shared by all controllers of a deployment."""

    count: int
    workers: AgentTimes
    zones: list[str] = field(default_factory=list)
    clock_off_ms: float = 1000.0
    teams: list[Team] = field(default_factory=list)
    objectives: list[Objective] = field(default_factory=list)
    state: StateLimits = field(default_factory=StateLimits)
    cloud: CloudLimits = field(default_factory=CloudLimits)
    machine_limits: MachineLimits = field(default_factory=MachineLimits)

    @property
    def effective_state_limits(self) -> StateLimits:
        """The limits of the state store that requests must observe."""
        return self.state.effective()


class Settings(Struct, frozen=True):
    """One controller's settings file."""

    name: str = field(name="node_name")
    public_addr: str
    peer_bind: str
    endpoints: Endpoints
    deployment: Deployment
    zone: str = field(name="domain", default="")
    members: list[Member] = field(default_factory=list)

    @property
    def nodes(self) -> list[str]:
        """The names of all controllers, in an order that is the same on each of them."""
        return sorted({self.name, *(m.name for m in self.members)})


def host_port(address: str) -> tuple[str, int]:
    """Split an address into host and port; raises ValueError."""
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"{address!r} is not host:port")
    return host, int(port)


# Settings that must be above zero: they are used as divisors or as waiting times.
_POSITIVE_SETTINGS = {
    "deployment.workers": ("report_s", "lease_s", "gang_wait_s", "gang_peer_s", "cancel_s"),
    "deployment.state": ("rps", "write_rps", "value_kb", "txn_ops"),
    "deployment.cloud": ("rps", "list_lag_s"),
    "deployment.machine_limits": ("cores", "mem_mb", "max_connections"),
    "deployment": ("count",),
}


def load(path: str | Path) -> Settings:
    """Load and validate a settings file; raises SettingsError."""
    try:
        raw = tomllib.loads(Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        raise SettingsError(f"{path}: cannot be read: {error.strerror}") from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: not TOML: {error}") from error
    try:
        settings = msgspec.convert(raw, Settings, strict=False)
    except msgspec.ValidationError as error:
        raise SettingsError(f"{path}: {error}") from error
    _check(path, settings)
    return settings


def _check(path: str | Path, settings: Settings) -> None:
    """Reject values and addresses that the program can't run with; raises SettingsError."""
    for section, names in _POSITIVE_SETTINGS.items():
        table: object = settings
        for attribute in section.split("."):
            table = getattr(table, attribute)
        for name in names:
            _check_positive(f"{path}: {section}.{name}", getattr(table, name))
    _check_announced_limits(path, settings.deployment.state.next)
    _check_addresses(path, settings)
    _check_teams(path, settings.deployment.teams)


def _check_positive(setting: str, value: float) -> None:
    if not 0 < value < float("inf"):
        raise SettingsError(f"{setting}: must be above 0, is {value}")


def _check_announced_limits(path: str | Path, limits: NextStateLimits | None) -> None:
    if limits is None:
        return
    for name in NextStateLimits.__struct_fields__:
        value = getattr(limits, name)
        if value is not None:
            _check_positive(f"{path}: deployment.state.next.{name}", value)


def _check_addresses(path: str | Path, settings: Settings) -> None:
    addresses = {
        "public_addr": settings.public_addr,
        "peer_bind": settings.peer_bind,
        "endpoints.cloud": settings.endpoints.cloud,
        "endpoints.state": settings.endpoints.state,
        **{f"members.{member.name}.address": member.address for member in settings.members},
    }
    for name, address_text in addresses.items():
        try:
            host_port(address_text)
        except ValueError as error:
            raise SettingsError(f"{path}: {name}: {error}") from error


def _check_teams(path: str | Path, teams: list[Team]) -> None:
    for team in teams:
        for name in ("cpus", "cpus_max", "gpus", "gpus_max"):
            if not 0 <= getattr(team, name) < float("inf"):
                raise SettingsError(
                    f"{path}: deployment.teams.{team.name}.{name}: must be 0 or more"
                )
