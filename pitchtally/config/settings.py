"""The platform's settings file: read, checked, and named in the field's terms."""

from __future__ import annotations

import tomllib
from pathlib import Path

import msgspec
from msgspec import Struct, field


class SettingsError(Exception):
    """A settings or policy file that cannot be used; the text is one line."""


class Member(Struct, frozen=True):
    """Another controller of the deployment."""

    name: str = field(name="node_name")
    address: str
    zone: str = field(name="domain", default="")


class Endpoints(Struct, frozen=True):
    """Where the cloud and the state store listen."""

    cloud: str
    state: str


class Team(Struct, frozen=True):
    """A team's guarantee and limit; 0: none."""

    name: str
    cpus: float = 0.0
    cpus_max: float = 0.0
    gpus: float = 0.0
    gpus_max: float = 0.0


class Objective(Struct, frozen=True):
    """An aim of the users."""

    kind: str
    job_class: str | None = field(name="class", default=None)
    within_s: float | None = None
    within_ms: float | None = None
    share: float | None = None
    times: float | None = None
    most: float | None = None


class AgentTimes(Struct, frozen=True):
    """Intervals, leases and patience of the agents, in seconds."""

    report_s: float
    lease_s: float
    gang_wait_s: float = 30.0
    gang_peer_s: float = 5.0
    cancel_s: float = 60.0


class NextStateLimits(Struct, frozen=True):
    """Limits that the state store will have from an unknown moment on; None: as today."""

    rps: float | None = None
    write_rps: float | None = None
    value_kb: float | None = None
    txn_ops: int | None = None


class StateLimits(Struct, frozen=True):
    """Limits of the state store, for all nodes together."""

    rps: float = 100.0
    write_rps: float = 20.0
    value_kb: float = 8.0
    txn_ops: int = 8
    next: NextStateLimits | None = None

    def to_keep(self) -> StateLimits:
        """The smaller of today's limits and the announced ones, figure by figure.

        Nobody is told when the announced ones begin, so they hold from our start.
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
    """Limits of the cloud's interface, for all nodes together."""

    rps: float = 2.0
    list_lag_s: float = 10.0


class MachineLimits(Struct, frozen=True):
    """What the machine that runs a controller allows it."""

    cores: float = 1.0
    mem_mb: float = 256.0
    max_connections: int = 800


class Deployment(Struct, frozen=True):
    """All that is alike for every controller of a deployment."""

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
    def state_to_keep(self) -> StateLimits:
        """The state store's limits that every request has to keep."""
        return self.state.to_keep()


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
        """Every node's name, in the order all nodes agree on."""
        return sorted({self.name, *(m.name for m in self.members)})


def host_port(text: str) -> tuple[str, int]:
    """An address as host and port; ValueError if it isn't one."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"{text!r} is not host:port")
    return host, int(port)


# Figures that must be above zero: the program divides by them or waits for them.
_POSITIVE = {
    "deployment.workers": ("report_s", "lease_s", "gang_wait_s", "gang_peer_s", "cancel_s"),
    "deployment.state": ("rps", "write_rps", "value_kb", "txn_ops"),
    "deployment.cloud": ("rps", "list_lag_s"),
    "deployment.machine_limits": ("cores", "mem_mb", "max_connections"),
    "deployment": ("count",),
}


def load(path: str | Path) -> Settings:
    """Read and check a settings file; any fault becomes a one-line SettingsError."""
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
    for section, names in _POSITIVE.items():
        part: object = settings
        for step in section.split("."):
            part = getattr(part, step)
        for name in names:
            value = getattr(part, name)
            if not 0 < value < float("inf"):
                raise SettingsError(f"{path}: {section}.{name}: must be above 0, is {value}")
    _check_next_limits(path, settings.deployment.state.next)
    addresses = {
        "public_addr": settings.public_addr,
        "peer_bind": settings.peer_bind,
        "endpoints.cloud": settings.endpoints.cloud,
        "endpoints.state": settings.endpoints.state,
        **{f"members.{m.name}.address": m.address for m in settings.members},
    }
    for name, text in addresses.items():
        try:
            host_port(text)
        except ValueError as error:
            raise SettingsError(f"{path}: {name}: {error}") from error
    for team in settings.deployment.teams:
        for name in ("cpus", "cpus_max", "gpus", "gpus_max"):
            if not 0 <= getattr(team, name) < float("inf"):
                raise SettingsError(
                    f"{path}: deployment.teams.{team.name}.{name}: must be 0 or more"
                )


def _check_next_limits(path: str | Path, limits: NextStateLimits | None) -> None:
    if limits is None:
        return
    for name in NextStateLimits.__struct_fields__:
        value = getattr(limits, name)
        if value is not None and not 0 < value < float("inf"):
            raise SettingsError(
                f"{path}: deployment.state.next.{name}: must be above 0, is {value}"
            )
