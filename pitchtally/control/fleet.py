"""Wanted machines against listed ones: hire, release, spot, prices.

Only the leader talks to the cloud, apart from machine types that are missing at a
start. Names of hires come from the leader's token and a counter, so that no node
ever uses one twice; a hire without an answer is repeated under its name.
"""

from __future__ import annotations

import logging
from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

import msgspec
import trio

from .. import tokens, wire
from ..http import Client, HttpError
from ..policy import Policy
from ..settings import Settings, host_port
from ..store import Conflict, NoLease, Replica, Store, StoreDown, Write
from .jobs import Book
from .machines import need_of
from .members import Heartbeat, MachineNote, Members, part_of
from .rooms import fits, group_ok, times
from .split import Split
from .workers import Workers

log = logging.getLogger("fleet")

encode = msgspec.json.encode


# Flags of machines that can't be reached, or don't hear what they are told.
SILENT_FLAGS = frozenset({"lost", "unheard", "deaf"})
# The protocol's most machines in one hire.
HIRE_MOST = 50


class CloudDown(Exception):
    pass


class NoCapacity(Exception):
    pass


class Group(NamedTuple):
    """What one hire asks for."""

    type: str
    zone: str
    spot: bool


class Booting:
    def __init__(self, group: Group, since: float):
        self.group = group
        self.since = since


@dataclass(slots=True)
class Silence:
    """A machine that no node can reach, as its part's owner tells."""

    since: float
    seen_at: float  # when that was last confirmed


class Cloud:
    """The cloud's interface, under a bucket for all nodes together."""

    def __init__(self, settings: Settings, policy: Policy):
        self.address = host_port(settings.endpoints.cloud)
        self.timeout = policy.cloud_timeout
        rate = settings.deployment.cloud.rps * 0.8
        self.bucket = tokens.Bucket(rate, rate)
        self.client = Client(keep=2)

    async def call(self, method: str, target: str, body: bytes = b"") -> bytes:
        await self.bucket.take(tokens.PROGRESS)
        try:
            response = await self.client.call(
                self.address, method, target, body, timeout=self.timeout
            )
        except HttpError as error:
            self.client.drop(self.address)
            raise CloudDown(str(error)) from None
        if response.status == 429:
            self.bucket.penalty()
        if response.status == 503 and b"no capacity" in response.body:
            raise NoCapacity
        if response.status != 200:
            raise CloudDown(f"status {response.status}")
        return response.body


class Fleet:
    def __init__(
        self,
        settings: Settings,
        policy: Policy,
        members: Members,
        book: Book,
        workers: Workers,
        split: Split,
        store: Store,
        replica: Replica,
    ):
        self.settings = settings
        self.policy = policy
        self.members = members
        self.book = book
        self.workers = workers
        self.split = split
        self.store = store
        self.replica = replica
        self.cloud = Cloud(settings, policy)
        self.types: dict[str, wire.MachineType] = {}
        self.listed: dict[str, wire.Listed] = {}
        self.absent_since: dict[str, float] = {}
        self.booting: dict[str, Booting] = {}
        self.refused: dict[Group, tuple[float, float]] = {}  # group -> (until, pause)
        self.pending: wire.Hire | None = None  # a hire without an answer
        self.counter = 0
        self.led_since: float | None = None
        self.led_token = 0
        self.unseen: dict[str, float] = {}  # listed as running, but in nobody's notes
        self.silences: dict[str, Silence] = {}
        self.demand: dict[tuple[object, ...], list[tuple[float, int]]] = {}
        self.demand_at = -1e9
        self.lists = 0
        self.releasing: dict[str, str] = {}
        self.drain: dict[str, float] = {}
        self.gone: dict[str, float] = {}  # released, to be told to the owners
        self.troubles = ""
        replica.listen("types", self._on_types)

    # --- machine types ---------------------------------------------------------

    def _on_types(self, key: str, value: bytes | None, version: int) -> None:
        if value is not None:
            found = msgspec.json.decode(value, type=list[wire.MachineType])
            self.types = {t.name: t for t in found}
            for machine in self.workers.machines.values():
                machine.kind = self.types.get(machine.type)

    async def run_types(self) -> None:
        """Keep the types in the store, so that nodes know them in a cloud outage too."""
        while True:
            if self.types and self.members.leading is None:
                await trio.sleep(self.policy.list_every)
                continue
            try:
                body = await self.cloud.call("GET", "/flavors")
                found = msgspec.json.decode(body, type=wire.MachineTypes).types
                if found and self._changed(found):
                    await self._store_types(found)
                    self.types = {t.name: t for t in found}
                    for machine in self.workers.machines.values():
                        machine.kind = self.types.get(machine.type)
            except (CloudDown, NoCapacity, msgspec.MsgspecError, StoreDown) as error:
                self._trouble(str(error))
            await trio.sleep(self.policy.list_every * (6 if self.types else 0.5))

    def _changed(self, found: list[wire.MachineType]) -> bool:
        """Prices drift all the time; only shapes and coarse price moves are worth a write."""
        if {t.name for t in found} != set(self.types):
            return True
        for new in found:
            old = self.types[new.name]
            if (new.cpus, new.gpus, new.memory, new.zones) != (
                old.cpus,
                old.gpus,
                old.memory,
                old.zones,
            ):
                return True
            if abs((new.spot_price or 0) - (old.spot_price or 0)) > 0.1 * (old.spot_price or 1):
                return True
        return False

    async def _store_types(self, found: list[wire.MachineType]) -> None:
        change = Write("pt/types", encode(found))
        version = self.replica.version("pt/types")
        try:
            revision = await self.store.commit(
                {"pt/types": version}, [change], priority=tokens.ACCEPTANCES
            )
            self.replica.own([change], revision)
        except (Conflict, NoLease):
            pass  # another node was first

    def _trouble(self, reason: str) -> None:
        if reason != self.troubles:
            if reason:
                log.info("cloud trouble cause=%s", reason[:80])
            else:
                log.info("cloud answers again")
            self.troubles = reason

    # --- the leader's loop --------------------------------------------------------

    async def run(self) -> None:
        while True:
            token = self.members.sure_leader()
            if token is None or self.replica.seen < 0:
                if self.members.leading is None:
                    self.led_since = None
                await trio.sleep(0.3)
                continue
            if (
                self.led_since is None
                or self.led_token != token
                or self.led_since < self.members.stood_at()
            ):
                # A new leader knows nothing of earlier hires until it has read the list.
                self.led_since = trio.current_time()
                self.led_token = token
                self.lists = 0
                self.unseen.clear()
                self.booting.clear()
                self.listed.clear()
                self.pending = None
                self.drain.clear()
                log.info("leading token=%d", token)
            try:
                await self._list()
                await self._judge()
                await self._release()
                if self.lists:
                    await self._hire(token)
                self._trouble("")
            except (CloudDown, msgspec.MsgspecError) as error:
                self._trouble(str(error))
            except NoCapacity:
                pass
            except Exception:
                log.exception("fleet fault")
            await trio.sleep(min(2.0, self.policy.list_every / 3))

    async def _list(self) -> None:
        now = trio.current_time()
        if self.lists and now - self._listed_at < self.policy.list_every:
            return
        found: dict[str, wire.Listed] = {}
        after = ""
        while True:
            since = f"since={after}&" if after else ""
            body = await self.cloud.call("GET", f"/machines?{since}limit=500")
            page = msgspec.json.decode(body, type=wire.MachineList)
            found.update((m.name, m) for m in page.machines)
            if not page.more or not page.machines:
                break
            after = page.machines[-1].name
        self._listed_at = now
        self.lists += 1
        for name in self.listed:
            if name not in found:
                self.absent_since.setdefault(name, now)
        for name, machine in found.items():
            self.absent_since.pop(name, None)
            self.listed[name] = machine
        # A list can be older than the one before: only long absence counts.
        lag = self.settings.deployment.cloud.list_lag_s * 2
        for name, since_ in list(self.absent_since.items()):
            if now - since_ > lag:
                self.listed.pop(name, None)
                del self.absent_since[name]

    _listed_at = -1e9
    _observed_at = -1e9

    def notes(self) -> dict[str, MachineNote]:
        return {m.name: m for note in self.split.notes.newest.values() for m in note.machines}

    async def _judge(self) -> None:
        """Which machines to return: failed, stuck in boot, silent, sick, or idle."""
        now = trio.current_time()
        notes = self.notes()
        lag = self.settings.deployment.cloud.list_lag_s
        for name, booting in list(self.booting.items()):
            kind = self.types.get(booting.group.type)
            limit = (kind.boot if kind else 30.0) * 4 + lag
            if name in notes:
                del self.booting[name]
            elif now - booting.since > limit:
                del self.booting[name]
                self._return(name, "never came up")
        for name, machine in list(self.listed.items()):
            if name in self.gone:
                continue
            kind = self.types.get(machine.type)
            boot = kind.boot if kind else 30.0
            if machine.state == wire.FAILED:
                self._return(name, "failed")
            elif machine.state == wire.BOOTING and name not in notes:
                if machine.age > boot * 4 + lag:
                    self._return(name, "never came up")
                elif name not in self.booting:
                    group = Group(machine.type, machine.zone, machine.spot)
                    self.booting[name] = Booting(group, now - machine.age)
            elif name in notes or not self._vouched(name):
                # Right after a takeover nobody has heard a part's machines yet.
                self.unseen.pop(name, None)
            elif machine.age > boot * 4:
                since = self.unseen.setdefault(name, now)
                if now - since > self.policy.silence * 2:
                    self._return(name, "never reported")
        for name, note in notes.items():
            if name in self.gone:
                continue
            if note.flag in ("lost", "unheard", "deaf"):
                # Unheard: a takeover waits for it. Deaf: it reports, but its lease runs out
                # all the same. Lost: its lease is over, its tasks go elsewhere and others
                # are hired in its place; it may only hang, or its zone be cut off, and if
                # it is dead the list soon says so. Returned at once, dozens that were about
                # to go on would have to boot anew.
                limit = self.policy.silence / (1 if note.flag == "lost" else 2)
                silence = self.silences.get(name)
                if silence is not None and now - silence.since > limit:
                    self._return(name, "silent")
            if note.flag == "notice" and note.tasks == 0:
                self._return(name, "taken back")
            if note.flag == "sick" and note.tasks == 0:
                self._return(name, "sick")
        if now - self.demand_at >= self.policy.period:
            self.demand_at = now
            self._observe_demand(now)
        self._idle(notes, now)
        for name in list(self.drain):
            note_ = notes.get(name)
            if note_ is None:
                del self.drain[name]
            elif note_.flag == "drain" and note_.tasks == 0:
                del self.drain[name]
                self._return(name, "idle")

    async def run_silences(self) -> None:
        """Observe silent machines on every node, whether it leads or not.

        A new leader would otherwise begin to count anew, and the part that waits for a dead
        machine with it, though all nodes have known of it for long.
        """
        while True:
            await trio.sleep(self.policy.beat)
            self._observe_silences()

    def _observe_silences(self) -> None:
        now = trio.current_time()
        if self.members.stood_at() > self._observed_at:
            self.silences.clear()  # nobody was listening
        self._observed_at = now
        for name, note in self.notes().items():
            if note.flag not in SILENT_FLAGS:
                self.silences.pop(name, None)
            elif self._is_fresh(note.name, now):
                self.silences.setdefault(name, Silence(now, now)).seen_at = now
        # What nobody has confirmed for long may have ended unseen.
        gap = self.settings.deployment.workers.lease_s / 2
        for name in [n for n, s in self.silences.items() if now - s.seen_at > gap]:
            del self.silences[name]

    def _is_fresh(self, machine: str, now: float) -> bool:
        """Whether the status of the machine's part is our own or was heard of late."""
        part = part_of(machine, self.settings.deployment.count)
        if part in self.split.parts.work:
            return True
        return now - self.split.notes.noted_at.get(part, -1e9) < self.policy.session_ttl

    def _vouched(self, name: str) -> bool:
        """Whether the owner of the machine's part knows all its machines by now."""
        note = self.split.notes.newest.get(part_of(name, self.settings.deployment.count))
        return note is not None and note.settled

    def _return(self, name: str, cause: str) -> None:
        if name not in self.releasing:
            log.info("returning machine=%s cause=%s", name, cause)
            self.releasing[name] = cause

    def _idle(self, notes: dict[str, MachineNote], now: float) -> None:
        """Idle machines go back, dearest first, but for what keeps each class startable."""
        kept = self._kept(notes)
        waits = self._waiting_specs()
        for name, note in notes.items():
            if note.flag or note.tasks or name in kept or name in self.drain:
                continue
            if note.idle_for < self.policy.idle_release:
                continue
            if self._needed(note, waits):
                continue
            self.drain[name] = now

    def _waiting_specs(self) -> list[wire.JobSpec]:
        """What waits and its team's limit allows: each shape of need once."""
        found: dict[tuple[object, ...], wire.JobSpec] = {}
        for part in self.split.notes.newest.values():
            for id in part.waiting:
                job = self.book.open.get(id)
                if job is not None:
                    spec = job.spec
                    key = (need_of(spec), spec.team, spec.types, spec.zone, spec.spot)
                    found.setdefault(key, spec)
        return [spec for spec in found.values() if self.split.teams.limit_left(spec)]

    def _needed(self, note: MachineNote, waits: list[wire.JobSpec]) -> bool:
        kind = self.types.get(note.type)
        return kind is None or any(group_ok(spec, kind, note.zone, note.spot) for spec in waits)

    def _observe_demand(self, now: float) -> None:
        """Remember how many tasks of each shape ran or waited at once lately."""
        counts: dict[tuple[object, ...], int] = {}
        for job in self.book.open.values():
            spec = job.spec
            left = spec.tasks - job.finished.count
            shape = (spec.job_class, spec.types, spec.zone, spec.spot)
            counts[shape] = counts.get(shape, 0) + min(
                left, 1 + self.split.teams.limit_left(spec) + self.split.notes.running(job.id)
            )
        window = self.policy.ready_for
        for key, count in counts.items():
            self.demand.setdefault(key, []).append((now, count))
        for key in list(self.demand):
            self.demand[key] = [r for r in self.demand[key] if now - r[0] < window]
            if not self.demand[key]:
                del self.demand[key]

    def _kept(self, notes: dict[str, MachineNote]) -> set[str]:
        """Machines kept ready: where a class can't wait for a boot, its recent peak.

        A class whose aim leaves less time than two boots would miss it by hiring only
        on demand; what others need can be hired when it is needed.
        """
        keep: set[str] = set()
        for shape, spec in self.split.parts.recent.items():
            peak = max((n for _, n in self.demand.get(shape, ())), default=1)
            able = []
            for name, note in notes.items():
                kind = self.types.get(note.type)
                if kind is None or note.flag or name in self.drain:
                    continue
                if self.split.order.slack(spec) > kind.boot * 2:
                    continue
                if group_ok(spec, kind, note.zone, note.spot):
                    fit = times(need_of(spec), (kind.cpus, kind.gpus, kind.memory))
                    price = (kind.spot_price or kind.price) if note.spot else kind.price
                    able.append((price / fit, name, fit))
            for _, name, fit in sorted(able):
                if peak <= 0:
                    break
                keep.add(name)
                peak -= fit
        return keep

    async def _release(self) -> None:
        while self.releasing and self.members.sure_leader() is not None:
            names = list(self.releasing)[:100]
            await self.cloud.call("POST", "/machines/release", encode(wire.Names(names)))
            now = trio.current_time()
            for name in names:
                self.releasing.pop(name, None)
                self.listed.pop(name, None)
                self.booting.pop(name, None)
                self.gone[name] = now
                # The answer is the proof that all on it is gone.
                self.workers.forget_machine(name)

    # --- hiring -----------------------------------------------------------------------

    async def _hire(self, token: int) -> None:
        now = trio.current_time()
        for _ in range(6):
            if self.members.sure_leader() != token:
                return
            if self.pending is None:
                found = self._next(now)
                if found is None:
                    return
                group, count = found
                self.counter += 1
                self.pending = wire.Hire(
                    f"h-{token}-{self.counter}", group.type, group.zone, group.spot, count
                )
            hire = self.pending
            group = Group(hire.type, hire.zone, hire.spot)
            try:
                body = await self.cloud.call("POST", "/machines", encode(hire))
            except NoCapacity:
                self.pending = None
                pause = min(self.refused.get(group, (0.0, 5.0))[1] * 2, 60.0)
                self.refused[group] = (now + pause, pause)
                log.info("hire refused type=%s zone=%s spot=%s", *group)
                continue
            names = msgspec.json.decode(body, type=wire.Names).machines
            self.pending = None
            if len(names) < hire.count:
                self.refused[group] = (now + 20.0, 20.0)
            else:
                self.refused.pop(group, None)
            log.info("hired type=%s zone=%s spot=%s count=%d", *group, len(names))
            for name in names:
                self.booting[name] = Booting(group, now)

    def groups(self) -> Iterable[Group]:
        for kind in self.types.values():
            for zone in kind.zones:
                yield Group(kind.name, zone, False)
                if kind.spot_price is not None:
                    yield Group(kind.name, zone, True)

    def _next(self, now: float) -> tuple[Group, int] | None:
        """The next hire that waiting work calls for, cheapest per task first."""
        open_groups = [g for g in self.groups() if self.refused.get(g, (0.0, 0.0))[0] <= now]
        if not open_groups:
            return None
        notes = self.notes()
        supply: list[tuple[Group, int]] = [
            (Group(n.type, n.zone, n.spot), 1) for n in notes.values() if n.flag in ("", "new")
        ] + [(b.group, 1) for b in self.booting.values()]
        waiting: dict[str, int] = {}
        for part in self.split.notes.newest.values():
            for id, count in part.waiting.items():
                waiting[id] = waiting.get(id, 0) + count
        for job in self.book.open.values():
            unassigned = job.record.tasks - sum(b - a for a, b, _ in job.record.ranges)
            if unassigned > 0:
                waiting[job.id] = waiting.get(job.id, 0) + unassigned
        shapes: dict[tuple[object, ...], tuple[wire.JobSpec, float, int]] = {}
        for id, count in waiting.items():
            found = self.book.open.get(id)
            if found is None:
                continue
            spec = found.spec
            shape = (spec.job_class, spec.types, spec.zone, spec.spot)
            _, seconds, total = shapes.get(shape, (spec, 0.0, 0))
            shapes[shape] = (spec, seconds + count * self.split.estimates.task(spec), total + count)
        for spec, seconds, total in shapes.values():
            need = need_of(spec)
            # More machines than the team's limit can fill would only cost.
            allowed = self.split.teams.limit_left(spec)
            slots = 0
            for group, count in supply:
                kind = self.types.get(group.type)
                if kind is not None and group_ok(spec, kind, group.zone, group.spot):
                    slots += times(need, (kind.cpus, kind.gpus, kind.memory)) * count
            options = []
            for group in open_groups:
                kind = self.types[group.type]
                if not group_ok(spec, kind, group.zone, group.spot):
                    continue
                fit = times(need, (kind.cpus, kind.gpus, kind.memory))
                price = (kind.spot_price if group.spot else kind.price) or kind.price
                options.append((price / fit, kind.boot, group, fit))
            if not options:
                continue
            _, _, group, fit = min(options)
            # Work that the present machines finish before a new one is up needs none.
            patience = self.policy.hire_patience * self.split.order.slack(spec)
            if slots and seconds / slots <= patience:
                continue
            free = sum(
                times(need, n.free)
                for n in notes.values()
                if not n.flag
                and (k := self.types.get(n.type)) is not None
                and group_ok(spec, k, n.zone, n.spot)
            )
            coming = sum(
                times(need, (k.cpus, k.gpus, k.memory))
                for b in self.booting.values()
                if (k := self.types.get(b.group.type)) is not None
                and group_ok(spec, k, b.group.zone, b.group.spot)
            )
            short = min(seconds / patience - slots, total, allowed - free - coming)
            if short <= 0:
                continue
            count = max(1, min(int(short / fit + 0.999), HIRE_MOST))
            return group, count
        return None

    # --- what others are told -------------------------------------------------------------

    def released_names(self) -> list[str]:
        now = trio.current_time()
        for name in [n for n, at in self.gone.items() if now - at > 120]:
            del self.gone[name]
        return list(self.gone)

    def drain_names(self) -> list[str]:
        return list(self.drain)

    def take_beat(self, beat: Heartbeat) -> None:
        """What the leader says about machines of ours."""
        for name in beat.released:
            if name not in self.workers.released or name in self.workers.machines:
                self.workers.forget_machine(name)
        if beat.node == self.members.owner(0):
            self._apply_drain(beat.drain)

    def _apply_drain(self, names: Iterable[str]) -> None:
        wanted = set(names)
        for machine in self.workers.machines.values():
            machine.drain = machine.name in wanted

    def own_drain(self) -> None:
        if self.members.leading is not None:
            self._apply_drain(self.drain)


__all__ = ["Cloud", "Fleet", "Group", "fits"]
