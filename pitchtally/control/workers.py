"""Machines: reports, fencing, orders, what is on each machine, and machine health.

Only the owner of a machine's part acts on its reports. What keeps a task from
running twice is here: starts travel only in answers to reports, a task counts as
placed from the order until a newer report, a new session, the lease's end or the
cloud's word shows that it is gone, and after a takeover nothing that an unheard
machine may hold is started.
"""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Callable, Collection

import msgspec
import trio

from .. import wire
from ..http import Request, Response
from ..policy import Policy
from ..replica import Replica
from ..settings import Settings
from .decisions import Decided, Decision, Grounds, ignore_decision
from .direct_commands import DirectCommands
from .evidence import lease_over
from .jobs import JobStore
from .machines import MAX_UNACKNOWLEDGED, Group, Machine, PartHold, Placement
from .members import Members, part_of
from .placements import Placements
from .records import Records

log = logging.getLogger("workers")

_report = msgspec.json.Decoder(wire.Report)
encode = msgspec.json.encode


class Workers:
    """The machines of the parts that this node owns, and what is on them."""

    def __init__(
        self,
        settings: Settings,
        policy: Policy,
        members: Members,
        job_store: JobStore,
        replica: Replica,
        types: Callable[[], dict[str, wire.MachineType]],
    ):
        self.settings = settings
        self.times = settings.deployment.workers
        self.policy = policy
        self.members = members
        self.job_store = job_store
        self.replica = replica
        self.types = types
        self.count = settings.deployment.count
        self.machines: dict[str, Machine] = {}
        self.in_part: dict[int, dict[str, Machine]] = {}
        self.placements = Placements()
        self.parts: dict[int, PartHold] = {}
        self.machines_with_orphans: dict[int, set[str]] = {}  # machines with orphans, by part
        self.released: dict[str, float] = {}  # names the cloud has confirmed gone
        self.records = Records(self)
        self.direct_commands = DirectCommands(self)
        # Filled in by the service.
        self.fill: Callable[[Machine], list[Placement]] = lambda machine: []
        self.on_gone: Callable[[Placement, str], None] = lambda placement, cause: None
        self.on_done: Callable[[Placement, float], None] = lambda placement, ran: None
        self.on_loaded: Callable[[int], None] = lambda part: None
        self.on_settled: Callable[[int], None] = lambda part: None
        self.on_group_heard: Callable[[int, Collection[Group]], None] = lambda part, unheard: None
        self.on_lost_part: Callable[[int], None] = lambda part: None
        self.adopt: Callable[[Placement], bool] = lambda placement: True
        self.decided: Decided = ignore_decision
        self.answered: Counter[str] = Counter()  # reports, by the status of the answer

    # --- ownership -----------------------------------------------------------

    def gained(self, part: int, token: int) -> None:
        """A part is ours under this token."""
        self.drop_part(part)
        self.parts[part] = PartHold(part, token)
        self.direct_commands.wake.set()

    def drop_part(self, part: int) -> None:
        """Forget a part that is another node's."""
        if self.parts.pop(part, None) is None:
            return
        self.machines_with_orphans.pop(part, None)
        for machine in self.in_part.pop(part, {}).values():
            for placement in list(machine.placements.values()):
                self.placements.drop(placement)
            del self.machines[machine.name]
        self.on_lost_part(part)

    # --- machines ---------------------------------------------------------------

    def _pop(self, name: str) -> None:
        machine = self.machines.pop(name, None)
        if machine is not None:
            self.in_part.get(machine.part, {}).pop(name, None)

    def load(self, hold: PartHold) -> None:
        """Once our copy covers the takeover, the record says where tasks may be."""
        if hold.loaded or self.replica.seen < hold.token:
            return
        hold.loaded = True
        for name, (type_, zone, spot, address) in self.records.of(hold.part).items():
            if name in self.released:
                continue  # gone for certain; the record is about to say so too
            machine = self.machines.get(name)
            if machine is None:
                machine = self._add(name, type_, zone, spot, address)
                machine.lost = True  # until heard
                machine.heard_at = machine.answered_at = hold.gained_at
            machine.recorded = True
            if not machine.confirmed:
                hold.suspect(machine)
        self.on_loaded(hold.part)
        if hold.suspects:
            self.on_group_heard(hold.part, hold.suspect_groups.keys())
        log.info("part loaded part=%d machines=%d", hold.part, len(hold.suspects))
        self._settle(hold)

    def _clear_suspect(self, hold: PartHold, machine: Machine) -> None:
        """A recorded machine is heard, or gone: it holds nothing that we don't know of."""
        if machine.name not in hold.suspects:
            return
        group_heard = hold.clear_suspect(machine)
        if group_heard and hold.loaded and hold.suspects:
            self.on_group_heard(hold.part, hold.suspect_groups.keys())
        self._settle(hold)

    def _settle(self, hold: PartHold) -> None:
        if hold.settled or not hold.loaded or hold.suspects:
            return
        hold.settled = True
        log.info("part settled part=%d after=%.1f", hold.part, trio.current_time() - hold.gained_at)
        self.on_settled(hold.part)

    def _add(self, name: str, type_: str, zone: str, spot: bool, address: str) -> Machine:
        machine = Machine(name, part_of(name, self.count), type_, zone, spot, address)
        machine.kind = self.types().get(type_)
        self.machines[name] = machine
        self.in_part.setdefault(machine.part, {})[name] = machine
        return machine

    # --- reports ----------------------------------------------------------------

    async def serve(self, request: Request) -> Response:
        """Answer a worker's report."""
        response = self._answer(request)
        self.answered[f"reports_{response.status}"] += 1
        return response

    def _answer(self, request: Request) -> Response:
        try:
            report = _report.decode(request.body)
        except msgspec.MsgspecError as error:
            return Response(400, encode({"error": str(error)}))
        part = part_of(report.machine, self.count)
        hold = self.parts.get(part)
        token = self.members.token(part)
        if hold is None or token is None or token != hold.token:
            owner = self.members.owner(part)
            steward = owner if owner != self.members.me else None
            return Response(421, encode(wire.Redirect(steward)))
        if report.token > token:
            self.members.fenced(part, report.token)
            return Response(421, encode(wire.Redirect(None)))
        if self.members.evidence_expired():
            # A cancellation may have been told to a user that we can't hear of:
            # letting the lease run out keeps the promise about its tasks.
            return Response(503, b"{}")
        if report.machine in self.released:
            return Response(503, b"{}")
        known = self.machines.get(report.machine)
        if known is not None and (report.session, report.seq) <= known.reported:
            # Every report has its own number: this is a copy, and nobody waits for
            # its answer.
            return Response(503, b"{}")
        if known is not None:
            self._check_acknowledged(known, report)
        machine = self.observe(report, hold, direct=False)
        if machine is None:
            # Without our token it may be a copy of any age: it earns the token, no
            # more. With it, a direct answer overtook it: the worker counts its lease
            # from this report, which it sent before that answer.
            if known is not None:
                known.answered_at = max(known.answered_at, known.heard_at)
            # The answer renews the lease, so it carries the stops for jobs that are over: of
            # those nothing is wanted, whichever attempt it is and however old the report.
            return Response(200, encode(wire.Orders(token, self._ends(report))))
        machine.reported = (report.session, report.seq)
        orders = self._orders(machine, report)
        machine.asked = [o for o in orders if o.op != wire.STOP]
        machine.answered_at = trio.current_time()
        return Response(200, encode(wire.Orders(token, orders)))

    def _check_acknowledged(self, machine: Machine, report: wire.Report) -> None:
        """Whether the last answer had an effect: that it was sent proves nothing.

        The worker sends one report at a time, so the next one shows every order that
        reached it. A machine that hears nothing takes no more work until it does.
        """
        if (report.session, report.seq) <= (machine.session, machine.seq):
            return
        now = trio.current_time()
        unheard = False
        if report.session > machine.session:
            # Its lease ran out although we answered within it.
            unheard = machine.confirmed and now - machine.answered_at < self.times.lease_s
            machine.unacknowledged += int(unheard) * (MAX_UNACKNOWLEDGED - 1)
        elif machine.asked:
            listed = {task.task: task.attempt for task in report.tasks}
            unheard = not any(
                (listed.get(order.task) == order.attempt) == (order.op == wire.START)
                for order in machine.asked
            )
        else:
            return
        machine.asked = []
        machine.unacknowledged = machine.unacknowledged + 1 if unheard else 0
        if machine.unacknowledged == MAX_UNACKNOWLEDGED:
            log.info(
                "answers don't reach machine=%s tasks=%d", machine.name, len(machine.placements)
            )

    def observe(self, report: wire.Report, hold: PartHold, *, direct: bool) -> Machine | None:
        """Take in a report; None if it is older than what is known, or may be.

        Only our token proves that a report was made after this node took the part:
        any other may be a copy, late by more than a lease, of a machine long gone.
        """
        now = trio.current_time()
        machine = self.machines.get(report.machine)
        if report.token != hold.token:
            if machine is not None and direct and report.session > machine.session:
                machine.session = report.session  # what the next command must name
                machine.seq = -1
            return None
        if machine is None:
            machine = self._add(
                report.machine, report.type, report.zone, report.spot, report.address
            )
        if (report.session, report.seq) <= (machine.session, machine.seq):
            return None
        if machine.kind is None:
            machine.kind = self.types().get(machine.type)
        if report.address:
            machine.address = report.address
        if report.session > machine.session and machine.session:
            log.info("session risen machine=%s tasks=%d", machine.name, len(machine.placements))
            self._clear(machine, "session")
        machine.session, machine.seq = report.session, report.seq
        machine.heard_at = self.direct_commands.heard_at = now
        if machine.lost:
            machine.lost = False
            machine.idle_since = now
        if report.notice is not None and machine.notice_at is None:
            log.info("notice machine=%s in=%.1f", machine.name, report.notice)
        machine.notice_at = None if report.notice is None else now + report.notice
        self._reconcile(machine, report, hold, direct)
        if not machine.confirmed:
            machine.confirmed = True
            # Until it saw our token, an earlier owner may have renewed its lease.
            machine.idle_since = machine.answered_at = now
        self._clear_suspect(hold, machine)
        if not machine.recorded:
            self.records.wake.set()
        if machine.placements:
            machine.idle_since = now
        return machine

    def _clear(self, machine: Machine, cause: str) -> None:
        """Nothing that was on the machine is there any more."""
        for placement in list(machine.placements.values()):
            self._gone(placement, cause)
        machine.exits.clear()
        machine.orphans.clear()
        self.machines_with_orphans.get(machine.part, set()).discard(machine.name)

    def _gone(self, placement: Placement, cause: str) -> None:
        machine = placement.machine
        self.placements.drop(placement)
        if not machine.placements:
            machine.idle_since = trio.current_time()
        self.on_gone(placement, cause)

    def _reconcile(
        self, machine: Machine, report: wire.Report, hold: PartHold, direct: bool
    ) -> None:
        """Make what we know of a machine's tasks agree with its report."""
        listed = {task.task: task for task in report.tasks}
        self._drop_missing(machine, report, listed, direct)
        machine.exits = {
            k: v for k, v in machine.exits.items() if k in listed and listed[k].attempt == v[0]
        }
        machine.orphans.clear()
        for key, task in listed.items():
            placement = machine.placements.get(key)
            if placement is not None and placement.attempt != task.attempt:
                placement = None
            if task.state == wire.EXITED:
                self._take_exit(machine, placement, key, task)
            else:
                self._take_active(machine, placement, key, task)
        self._watch_orphans(machine)

    def _drop_missing(
        self,
        machine: Machine,
        report: wire.Report,
        listed: dict[str, wire.TaskReport],
        direct: bool,
    ) -> None:
        """Tasks that the machine would list if it had them are on it no more."""
        for key, placement in list(machine.placements.items()):
            task = listed.get(key)
            if task is not None and task.attempt == placement.attempt:
                continue
            if not placement.sent_seq and not placement.seen:
                continue  # decided, not ordered yet
            if not placement.seen and (direct or report.seq <= placement.sent_seq):
                # Only the next report settles whether a start arrived: a direct
                # answer may have been made while our response was on its way.
                continue
            self._gone(placement, "missing")

    def _take_exit(
        self, machine: Machine, placement: Placement | None, key: str, task: wire.TaskReport
    ) -> None:
        if key.rpartition("/")[0] not in self.job_store.jobs:
            return  # our copy may be behind: the result stays where it is
        if key in machine.exits:
            return
        machine.exits[key] = (task.attempt, task.cause or "")
        if placement is None:
            placement = self._adopted(machine, key, task)
        self._ended(machine, placement, key, task)

    def _take_active(
        self, machine: Machine, placement: Placement | None, key: str, task: wire.TaskReport
    ) -> None:
        if placement is None:
            placement = self._adopted(machine, key, task)
            if placement is None:
                # Cancelled while nobody owned the part: its owner was gone, and we
                # had not heard the machine. A job unknown here stays alone: our copy
                # may be behind.
                if self._over(key):
                    machine.orphans[key] = task.attempt
                return
            self.placements.put(placement)
            if not self.adopt(placement):
                placement.grace = 0.0
        placement.seen = True
        if task.state != placement.state:
            placement.state = task.state
            if task.state == wire.RUNNING and placement.run_at is None:
                self.placements.runs(placement)
        if placement.spec.image:
            machine.images[placement.spec.image] = trio.current_time()

    def _watch_orphans(self, machine: Machine) -> None:
        names = self.machines_with_orphans.setdefault(machine.part, set())
        if machine.orphans:
            names.add(machine.name)
            self.direct_commands.touch(machine.name)
        else:
            names.discard(machine.name)

    def _over(self, key: str) -> bool:
        job = self.job_store.jobs.get(key.rpartition("/")[0])
        return job is not None and not job.open

    def _adopted(self, machine: Machine, key: str, task: wire.TaskReport) -> Placement | None:
        """A task that an earlier owner started, of a job that goes on."""
        id, _, number = key.rpartition("/")
        job = self.job_store.jobs.get(id)
        if job is None or not job.open or not number.isdigit():
            return None
        if int(number) >= job.record.tasks:
            return None
        placement = Placement(job, int(number), task.attempt, machine)
        placement.seen = True
        return placement

    def _ended(
        self, machine: Machine, placement: Placement | None, key: str, task: wire.TaskReport
    ) -> None:
        now = trio.current_time()
        cause = task.cause or ""
        if placement is None:
            return
        job = placement.job
        if cause == wire.DONE and placement.spec.is_service:
            # It should have gone on: nothing is finished, and the machine isn't praised.
            log.info("replica ended task=%s machine=%s", key, machine.name)
        elif cause == wire.DONE:
            machine.failed_jobs.clear()
            machine.failed_at.clear()
            machine.errors = 0
            ran = now - placement.run_at if placement.run_at is not None else -1.0
            if job.open:
                self.on_done(placement, ran)
        elif cause == wire.ERROR:
            machine.errors += 1
            machine.failed_jobs[job.id] = machine.failed_jobs.get(job.id, 0) + 1
            machine.failed_at[job.id] = now
            log.info("task failed task=%s machine=%s", key, machine.name)
        elif cause not in (wire.STOPPED,):
            log.info("task ended task=%s machine=%s cause=%s", key, machine.name, cause)
        self.placements.drop(placement)
        if not machine.placements:
            machine.idle_since = now
        self.on_gone(placement, cause)

    # --- orders --------------------------------------------------------------------

    def kills(self, machine: Machine) -> list[wire.Order]:
        """Orders for all that must stop on a machine."""
        now = trio.current_time()
        orders = []
        for key, placement in machine.placements.items():
            if not placement.job.open:
                placement.grace = 0.0
            if placement.grace is None:
                continue
            # One that should have saved by now is ended: its place is needed.
            late = placement.kill_at and now - placement.kill_at > placement.grace * 2 + 5
            grace = 0.0 if late else placement.grace
            if not placement.kill_at:
                placement.kill_at = now
                self._tell(Decision.STOP, placement)
            orders.append(wire.Order(wire.STOP, key, placement.attempt, grace))
        orders += [wire.Order(wire.STOP, k, n, 0.0) for k, n in machine.orphans.items()]
        return orders

    def _ends(self, report: wire.Report) -> list[wire.Order]:
        return [
            wire.Order(wire.STOP, task.task, task.attempt, 0.0)
            for task in report.tasks
            if task.state != wire.EXITED and self._over(task.task)
        ][:500]

    def _forgets(self, machine: Machine) -> list[wire.Order]:
        orders = []
        for key, (attempt, cause) in machine.exits.items():
            if cause == wire.DONE:
                id, _, number = key.rpartition("/")
                job = self.job_store.jobs.get(id)
                if (
                    job is not None
                    and job.open
                    and not job.service
                    and int(number) not in job.finished
                ):
                    continue  # the report is the only durable trace so far
            orders.append(wire.Order(wire.FORGET, key, attempt))
        return orders

    def _orders(self, machine: Machine, report: wire.Report) -> list[wire.Order]:
        now = trio.current_time()
        orders = self.kills(machine)
        starts = []
        if machine.usable and self.members.may_start():
            for placement in self.fill(machine):
                placement.sent_seq = report.seq
                placement.at = now
                self._tell(Decision.START, placement)
                starts.append(wire.Order(wire.START, placement.key, placement.attempt))
        # What a worker forgets is a change, and it reports each: beside a start that costs
        # nothing more, alone once a report interval will do.
        if starts or now - machine.forgot_at >= self.times.report_s:
            forgets = self._forgets(machine)
            if forgets:
                machine.forgot_at = now
                orders += forgets
        orders += starts
        # A response may not hold a line over 64 KiB: the rest goes with the next.
        if len(orders) > 500:
            for order in orders[500:]:
                if order.op == wire.START:
                    late = machine.placements.get(order.task)
                    if late is not None:
                        late.sent_seq = 0
            orders = orders[:500]
        return orders

    def _tell(self, decision: Decision, placement: Placement) -> None:
        hold = self.parts.get(placement.machine.part)
        grounds = Grounds(
            placement.job.version,
            token=hold.token if hold is not None else None,
            machine=placement.machine.name,
        )
        self.decided(decision, placement.key, grounds)

    def stop(self, placement: Placement, grace: float) -> None:
        """Order a task stopped; a shorter grace overrides a longer one."""
        if not placement.sent_seq and not placement.seen:
            # Never ordered: it is nowhere.
            self._gone(placement, "unsent")
            return
        if placement.grace is None or grace < placement.grace:
            placement.grace = grace
            placement.kill_at = 0.0
            self.direct_commands.touch(placement.machine.name)

    def stop_job(self, id: str) -> None:
        """A cancelled job: all its tasks, wherever they are."""
        for placement in self.placements.of_job(id):
            self.stop(placement, 0.0)

    # --- loops ------------------------------------------------------------------------

    async def run_expiry(self) -> None:
        """Give up what silent machines held, once their lease must have ended."""
        while True:
            await trio.sleep(self.times.report_s / 4)
            now = trio.current_time()
            owned = self.members.ownership_known_at()
            resumed = self.members.resumed_at()
            for machine in list(self.machines.values()):
                hold = self.parts.get(machine.part)
                if hold is None:
                    continue
                silent = now - max(machine.heard_at, resumed)
                held = not machine.lost or machine.placements
                if (
                    machine.confirmed
                    and held
                    and owned > lease_over(machine.answered_at, self.times)
                ):
                    log.info(
                        "lease over machine=%s tasks=%d", machine.name, len(machine.placements)
                    )
                    # Only our answers could renew, and none has for a whole lease. Cut off
                    # from all who could tell, we wait: a new owner may be renewing it.
                    machine.lost = True
                    self._clear(machine, "lease")
                if silent > self.policy.silence or (
                    # Announced, and silent since: the cloud's word comes before the lease's end.
                    machine.notice_at is not None
                    and now > machine.notice_at
                    and silent > self.times.report_s * 2
                ):
                    machine.lost = True
                if machine.lost and not machine.recorded and silent > self.policy.silence * 4:
                    self._pop(machine.name)

    def forget_machine(self, name: str) -> None:
        """The cloud has confirmed that the machine, and all on it, is gone."""
        self.released[name] = trio.current_time()
        machine = self.machines.get(name)
        if machine is None:
            return
        hold = self.parts.get(machine.part)
        self._clear(machine, "released")
        self._pop(name)
        if hold is not None:
            self._clear_suspect(hold, machine)
        self.records.wake.set()

    # --- views --------------------------------------------------------------------------

    def of_part(self, part: int) -> Collection[Machine]:
        """The machines of a part."""
        return self.in_part.get(part, {}).values()
