"""Machines: reports, fencing, orders, what is on each machine, and machine health.

Only the leader of a machine's part acts on its reports. What keeps a task from
running twice is here: starts travel only in answers to reports, a task counts as
placed from the order until a newer report, a new session, the lease's end or the
cloud's word shows that it is gone, and after a failover nothing that an unheard
machine may hold is started.
"""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Callable, Collection

import msgspec
import trio

from ..config.policy import Policy
from ..config.settings import Settings
from ..config.timing import lease_expired_at
from ..http import Request, Response
from ..jobs.index import JobIndex
from ..membership.membership import Membership
from ..membership.shards import shard_of
from ..observability.decision_log import Decision, DecisionListener, DecisionReason, ignore_decision
from ..protocol import agent_api, cloud_api
from ..state_store.replica import Replica
from .command_sender import CommandSender
from .listener import AgentListener, NoListener, NoStarter, TaskStarter
from .machine_records import MachineRecords
from .machines import MAX_UNACKNOWLEDGED, LedShard, Machine, Placement
from .placements import Placements

log = logging.getLogger("workers")

_heartbeat = msgspec.json.Decoder(agent_api.AgentHeartbeat)
encode = msgspec.json.encode


class AgentManager:
    """The machines of the shards that this node owns, and what is on them."""

    def __init__(
        self,
        settings: Settings,
        policy: Policy,
        membership: Membership,
        job_index: JobIndex,
        replica: Replica,
        types: Callable[[], dict[str, cloud_api.MachineType]],
    ):
        self.settings = settings
        self.times = settings.deployment.workers
        self.policy = policy
        self.membership = membership
        self.job_index = job_index
        self.replica = replica
        self.types = types
        self.count = settings.deployment.count
        self.machines: dict[str, Machine] = {}
        self.in_shard: dict[int, dict[str, Machine]] = {}
        self.placements = Placements()
        self.shards: dict[int, LedShard] = {}
        self.machines_with_orphans: dict[int, set[str]] = {}  # machines with orphans, by shard
        self.released: dict[str, float] = {}  # names the cloud has confirmed gone
        self.records = MachineRecords(self)
        self.command_sender = CommandSender(self)
        # Until the controller connects the scheduler, which needs this object first.
        self._listener: AgentListener = NoListener()
        self._starter: TaskStarter = NoStarter()
        self.on_decision: DecisionListener = ignore_decision
        self.answered: Counter[str] = Counter()  # reports, by the status of the answer

    def connect(self, listener: AgentListener, starter: TaskStarter) -> None:
        """Have the scheduler told of shards and placements, and asked for what may start."""
        self._listener = listener
        self._starter = starter

    # --- leadership -----------------------------------------------------------

    def acquired(self, shard: int, token: int) -> None:
        """A part is ours under this token."""
        self.release_shard(shard)
        self.shards[shard] = LedShard(shard, token)
        self.command_sender.wake.set()

    def release_shard(self, shard: int) -> None:
        """Forget a shard that is another node's."""
        if self.shards.pop(shard, None) is None:
            return
        self.machines_with_orphans.pop(shard, None)
        for machine in self.in_shard.pop(shard, {}).values():
            for placement in list(machine.placements.values()):
                self.placements.drop(placement)
            del self.machines[machine.name]
        self._listener.shard_lost(shard)

    # --- machines ---------------------------------------------------------------

    def _pop(self, name: str) -> None:
        machine = self.machines.pop(name, None)
        if machine is not None:
            self.in_shard.get(machine.shard, {}).pop(name, None)

    def load(self, led_shard: LedShard) -> None:
        """Once our copy covers the failover, the record says where tasks may be."""
        if led_shard.loaded or self.replica.revision < led_shard.token:
            return
        led_shard.loaded = True
        for name, (type_, zone, spot, address) in self.records.of(led_shard.shard).items():
            if name in self.released:
                continue  # gone for certain; the record is about to say so too
            machine = self.machines.get(name)
            if machine is None:
                machine = self._add(name, type_, zone, spot, address)
                machine.lost = True  # until heard
                machine.last_heartbeat_at = machine.answered_at = led_shard.acquired_at
            machine.recorded = True
            if not machine.confirmed:
                led_shard.suspect(machine)
        self._listener.shard_loaded(led_shard.shard)
        if led_shard.suspects:
            self._listener.suspects_changed(led_shard.shard, led_shard.suspect_groups.keys())
        log.info("part loaded part=%d machines=%d", led_shard.shard, len(led_shard.suspects))
        self._resolve_suspects(led_shard)

    def _clear_suspect(self, led_shard: LedShard, machine: Machine) -> None:
        """A recorded machine is heard, or gone: it holds nothing that we don't know of."""
        if machine.name not in led_shard.suspects:
            return
        group_heard = led_shard.clear_suspect(machine)
        if group_heard and led_shard.loaded and led_shard.suspects:
            self._listener.suspects_changed(led_shard.shard, led_shard.suspect_groups.keys())
        self._resolve_suspects(led_shard)

    def _resolve_suspects(self, led_shard: LedShard) -> None:
        if led_shard.reconciled or not led_shard.loaded or led_shard.suspects:
            return
        led_shard.reconciled = True
        log.info(
            "part settled part=%d after=%.1f",
            led_shard.shard,
            trio.current_time() - led_shard.acquired_at,
        )
        self._listener.shard_reconciled(led_shard.shard)

    def _add(self, name: str, type_: str, zone: str, spot: bool, address: str) -> Machine:
        machine = Machine(name, shard_of(name, self.count), type_, zone, spot, address)
        machine.machine_type = self.types().get(type_)
        self.machines[name] = machine
        self.in_shard.setdefault(machine.shard, {})[name] = machine
        return machine

    # --- reports ----------------------------------------------------------------

    async def serve(self, request: Request) -> Response:
        """Answer an agent's report."""
        response = self._answer(request)
        self.answered[f"reports_{response.status}"] += 1
        return response

    def _answer(self, request: Request) -> Response:
        try:
            heartbeat = _heartbeat.decode(request.body)
        except msgspec.MsgspecError as error:
            return Response(400, encode({"error": str(error)}))
        shard = shard_of(heartbeat.machine, self.count)
        led_shard = self.shards.get(shard)
        token = self.membership.token(shard)
        if led_shard is None or token is None or token != led_shard.token:
            leader = self.membership.leader(shard)
            steward = leader if leader != self.membership.me else None
            return Response(421, encode(agent_api.Redirect(steward)))
        if heartbeat.token > token:
            self.membership.fenced(shard, heartbeat.token)
            return Response(421, encode(agent_api.Redirect(None)))
        if self.membership.cancellations_stale():
            # A cancellation may have been told to a user that we can't hear of:
            # letting the lease run out keeps the promise about its tasks.
            return Response(503, b"{}")
        if heartbeat.machine in self.released:
            return Response(503, b"{}")
        known = self.machines.get(heartbeat.machine)
        if known is not None and (heartbeat.epoch, heartbeat.seq) <= known.reported:
            # Every report has its own number: this is a copy, and nobody waits for
            # its answer.
            return Response(503, b"{}")
        if known is not None:
            self._check_acknowledged(known, heartbeat)
        machine = self.observe(heartbeat, led_shard, direct=False)
        if machine is None:
            # Without our token it may be a copy of any age: it earns the token, no
            # more. With it, a direct answer overtook it: the agent counts its lease
            # from this report, which it sent before that answer.
            if known is not None:
                known.answered_at = max(known.answered_at, known.last_heartbeat_at)
            # The answer renews the lease, so it carries the stops for jobs that are over: of
            # those nothing is wanted, whichever attempt it is and however old the report.
            return Response(200, encode(agent_api.HeartbeatResponse(token, self._ends(heartbeat))))
        machine.reported = (heartbeat.epoch, heartbeat.seq)
        commands = self._commands(machine, heartbeat)
        machine.asked = [o for o in commands if o.op != agent_api.STOP]
        machine.answered_at = trio.current_time()
        return Response(200, encode(agent_api.HeartbeatResponse(token, commands)))

    def _check_acknowledged(self, machine: Machine, heartbeat: agent_api.AgentHeartbeat) -> None:
        """Whether the last answer had an effect: that it was sent proves nothing.

        The agent sends one report at a time, so the next one shows every order that
        reached it. A machine that hears nothing takes no more work until it does.
        """
        if (heartbeat.epoch, heartbeat.seq) <= (machine.epoch, machine.seq):
            return
        now = trio.current_time()
        unheard = False
        if heartbeat.epoch > machine.epoch:
            # Its lease ran out although we answered within it.
            unheard = machine.confirmed and now - machine.answered_at < self.times.lease_s
            machine.unacknowledged += int(unheard) * (MAX_UNACKNOWLEDGED - 1)
        elif machine.asked:
            listed = {task.task: task.attempt for task in heartbeat.tasks}
            unheard = not any(
                (listed.get(command.task) == command.attempt) == (command.op == agent_api.START)
                for command in machine.asked
            )
        else:
            return
        machine.asked = []
        machine.unacknowledged = machine.unacknowledged + 1 if unheard else 0
        if machine.unacknowledged == MAX_UNACKNOWLEDGED:
            log.info(
                "answers don't reach machine=%s tasks=%d", machine.name, len(machine.placements)
            )

    def observe(
        self, heartbeat: agent_api.AgentHeartbeat, led_shard: LedShard, *, direct: bool
    ) -> Machine | None:
        """Take in a report; None if it is older than what is known, or may be.

        Only our token proves that a report was made after this node took the shard:
        any other may be a copy, late by more than a lease, of a machine long gone.
        """
        now = trio.current_time()
        machine = self.machines.get(heartbeat.machine)
        if heartbeat.token != led_shard.token:
            if machine is not None and direct and heartbeat.epoch > machine.epoch:
                machine.epoch = heartbeat.epoch  # what the next command must name
                machine.seq = -1
            return None
        if machine is None:
            machine = self._add(
                heartbeat.machine, heartbeat.type, heartbeat.zone, heartbeat.spot, heartbeat.address
            )
        if (heartbeat.epoch, heartbeat.seq) <= (machine.epoch, machine.seq):
            return None
        if machine.machine_type is None:
            machine.machine_type = self.types().get(machine.type)
        if heartbeat.address:
            machine.address = heartbeat.address
        if heartbeat.epoch > machine.epoch and machine.epoch:
            log.info("session risen machine=%s tasks=%d", machine.name, len(machine.placements))
            self._clear(machine, "session")
        machine.epoch, machine.seq = heartbeat.epoch, heartbeat.seq
        machine.last_heartbeat_at = self.command_sender.last_heartbeat_at = now
        if machine.lost:
            machine.lost = False
            machine.idle_since = now
        if heartbeat.notice is not None and machine.notice_at is None:
            log.info("notice machine=%s in=%.1f", machine.name, heartbeat.notice)
        machine.notice_at = None if heartbeat.notice is None else now + heartbeat.notice
        self._reconcile(machine, heartbeat, led_shard, direct)
        if not machine.confirmed:
            machine.confirmed = True
            # Until it saw our token, an earlier leader may have renewed its lease.
            machine.idle_since = machine.answered_at = now
        self._clear_suspect(led_shard, machine)
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
        self.machines_with_orphans.get(machine.shard, set()).discard(machine.name)

    def _gone(self, placement: Placement, cause: str) -> None:
        machine = placement.machine
        self.placements.drop(placement)
        if not machine.placements:
            machine.idle_since = trio.current_time()
        self._listener.placement_lost(placement, cause)

    def _reconcile(
        self,
        machine: Machine,
        heartbeat: agent_api.AgentHeartbeat,
        led_shard: LedShard,
        direct: bool,
    ) -> None:
        """Make what we know of a machine's tasks agree with its report."""
        listed = {task.task: task for task in heartbeat.tasks}
        self._drop_missing(machine, heartbeat, listed, direct)
        machine.exits = {
            k: v for k, v in machine.exits.items() if k in listed and listed[k].attempt == v[0]
        }
        machine.orphans.clear()
        for key, task in listed.items():
            placement = machine.placements.get(key)
            if placement is not None and placement.attempt != task.attempt:
                placement = None
            if task.state == agent_api.EXITED:
                self._take_exit(machine, placement, key, task)
            else:
                self._take_active(machine, placement, key, task)
        self._watch_orphans(machine)

    def _drop_missing(
        self,
        machine: Machine,
        heartbeat: agent_api.AgentHeartbeat,
        listed: dict[str, agent_api.TaskStatus],
        direct: bool,
    ) -> None:
        """Tasks that the machine would list if it had them are on it no more."""
        for key, placement in list(machine.placements.items()):
            task = listed.get(key)
            if task is not None and task.attempt == placement.attempt:
                continue
            if not placement.start_seq and not placement.seen:
                continue  # decided, not ordered yet
            if not placement.seen and (direct or heartbeat.seq <= placement.start_seq):
                # Only the next report settles whether a start arrived: a direct
                # answer may have been made while our response was on its way.
                continue
            self._gone(placement, "missing")

    def _take_exit(
        self, machine: Machine, placement: Placement | None, key: str, task: agent_api.TaskStatus
    ) -> None:
        if key.rpartition("/")[0] not in self.job_index.jobs:
            return  # our copy may be behind: the result stays where it is
        if key in machine.exits:
            return
        machine.exits[key] = (task.attempt, task.cause or "")
        if placement is None:
            placement = self._adopted(machine, key, task)
        self._ended(machine, placement, key, task)

    def _take_active(
        self, machine: Machine, placement: Placement | None, key: str, task: agent_api.TaskStatus
    ) -> None:
        if placement is None:
            placement = self._adopted(machine, key, task)
            if placement is None:
                # Cancelled while nobody owned the shard: its leader was gone, and we
                # had not heard the machine. A job unknown here stays alone: our copy
                # may be behind.
                if self._over(key):
                    machine.orphans[key] = task.attempt
                return
            self.placements.put(placement)
            if not self._listener.adopt(placement):
                placement.grace = 0.0
        placement.seen = True
        if task.state != placement.state:
            placement.state = task.state
            if task.state == agent_api.RUNNING and placement.run_at is None:
                self.placements.runs(placement)
        if placement.spec.image:
            machine.images[placement.spec.image] = trio.current_time()

    def _watch_orphans(self, machine: Machine) -> None:
        names = self.machines_with_orphans.setdefault(machine.shard, set())
        if machine.orphans:
            names.add(machine.name)
            self.command_sender.touch(machine.name)
        else:
            names.discard(machine.name)

    def _over(self, key: str) -> bool:
        job = self.job_index.jobs.get(key.rpartition("/")[0])
        return job is not None and not job.open

    def _adopted(self, machine: Machine, key: str, task: agent_api.TaskStatus) -> Placement | None:
        """A task that an earlier leader started, of a job that goes on."""
        id, _, number = key.rpartition("/")
        job = self.job_index.jobs.get(id)
        if job is None or not job.open or not number.isdigit():
            return None
        if int(number) >= job.record.tasks:
            return None
        placement = Placement(job, int(number), task.attempt, machine)
        placement.seen = True
        return placement

    def _ended(
        self, machine: Machine, placement: Placement | None, key: str, task: agent_api.TaskStatus
    ) -> None:
        now = trio.current_time()
        cause = task.cause or ""
        if placement is None:
            return
        job = placement.job
        if cause == agent_api.DONE and placement.spec.is_service:
            # It should have gone on: nothing is finished, and the machine isn't praised.
            log.info("replica ended task=%s machine=%s", key, machine.name)
        elif cause == agent_api.DONE:
            machine.failed_jobs.clear()
            machine.failed_at.clear()
            machine.errors = 0
            ran = now - placement.run_at if placement.run_at is not None else -1.0
            if job.open:
                self._listener.task_completed(placement, ran)
        elif cause == agent_api.ERROR:
            machine.errors += 1
            machine.failed_jobs[job.id] = machine.failed_jobs.get(job.id, 0) + 1
            machine.failed_at[job.id] = now
            log.info("task failed task=%s machine=%s", key, machine.name)
        elif cause not in (agent_api.STOPPED,):
            log.info("task ended task=%s machine=%s cause=%s", key, machine.name, cause)
        self.placements.drop(placement)
        if not machine.placements:
            machine.idle_since = now
        self._listener.placement_lost(placement, cause)

    # --- orders --------------------------------------------------------------------

    def stop_commands(self, machine: Machine) -> list[agent_api.Command]:
        """Orders for all that must stop on a machine."""
        now = trio.current_time()
        commands = []
        for key, placement in machine.placements.items():
            if not placement.job.open:
                placement.grace = 0.0
            if placement.grace is None:
                continue
            # One that should have saved by now is ended: its place is needed.
            late = placement.stop_sent_at and now - placement.stop_sent_at > placement.grace * 2 + 5
            grace = 0.0 if late else placement.grace
            if not placement.stop_sent_at:
                placement.stop_sent_at = now
                self._tell(Decision.STOP, placement)
            commands.append(agent_api.Command(agent_api.STOP, key, placement.attempt, grace))
        commands += [
            agent_api.Command(agent_api.STOP, k, n, 0.0) for k, n in machine.orphans.items()
        ]
        return commands

    def _ends(self, heartbeat: agent_api.AgentHeartbeat) -> list[agent_api.Command]:
        return [
            agent_api.Command(agent_api.STOP, task.task, task.attempt, 0.0)
            for task in heartbeat.tasks
            if task.state != agent_api.EXITED and self._over(task.task)
        ][:500]

    def _forgets(self, machine: Machine) -> list[agent_api.Command]:
        commands = []
        for key, (attempt, cause) in machine.exits.items():
            if cause == agent_api.DONE:
                id, _, number = key.rpartition("/")
                job = self.job_index.jobs.get(id)
                if (
                    job is not None
                    and job.open
                    and not job.service
                    and int(number) not in job.finished
                ):
                    continue  # the report is the only durable trace so far
            commands.append(agent_api.Command(agent_api.ACKNOWLEDGE, key, attempt))
        return commands

    def _commands(
        self, machine: Machine, heartbeat: agent_api.AgentHeartbeat
    ) -> list[agent_api.Command]:
        now = trio.current_time()
        commands = self.stop_commands(machine)
        starts = []
        if machine.usable and self.membership.may_start_tasks():
            for placement in self._starter.schedule_on(machine):
                placement.start_seq = heartbeat.seq
                placement.at = now
                self._tell(Decision.START, placement)
                starts.append(agent_api.Command(agent_api.START, placement.key, placement.attempt))
        # What an agent forgets is a change, and it reports each: beside a start that costs
        # nothing more, alone once a report interval will do.
        if starts or now - machine.forgot_at >= self.times.report_s:
            forgets = self._forgets(machine)
            if forgets:
                machine.forgot_at = now
                commands += forgets
        commands += starts
        # A response may not hold a line over 64 KiB: the rest goes with the next.
        if len(commands) > 500:
            for command in commands[500:]:
                if command.op == agent_api.START:
                    late = machine.placements.get(command.task)
                    if late is not None:
                        late.start_seq = 0
            commands = commands[:500]
        return commands

    def _tell(self, decision: Decision, placement: Placement) -> None:
        led_shard = self.shards.get(placement.machine.shard)
        reason = DecisionReason(
            placement.job.version,
            token=led_shard.token if led_shard is not None else None,
            machine=placement.machine.name,
        )
        self.on_decision(decision, placement.key, reason)

    def stop(self, placement: Placement, grace: float) -> None:
        """Order a task stopped; a shorter grace overrides a longer one."""
        if not placement.start_seq and not placement.seen:
            # Never ordered: it is nowhere.
            self._gone(placement, "unsent")
            return
        if placement.grace is None or grace < placement.grace:
            placement.grace = grace
            placement.stop_sent_at = 0.0
            self.command_sender.touch(placement.machine.name)

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
            owned = self.membership.leadership_verified_at()
            resumed = self.membership.resumed_at()
            for machine in list(self.machines.values()):
                led_shard = self.shards.get(machine.shard)
                if led_shard is None:
                    continue
                silent = now - max(machine.last_heartbeat_at, resumed)
                held = not machine.lost or machine.placements
                if (
                    machine.confirmed
                    and held
                    and owned > lease_expired_at(machine.answered_at, self.times)
                ):
                    log.info(
                        "lease over machine=%s tasks=%d", machine.name, len(machine.placements)
                    )
                    # Only our answers could renew, and none has for a whole lease. Cut off
                    # from all who could tell, we wait: a new leader may be renewing it.
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

    def machine_terminated(self, name: str) -> None:
        """The cloud has confirmed that the machine, and all on it, is gone."""
        self.released[name] = trio.current_time()
        machine = self.machines.get(name)
        if machine is None:
            return
        led_shard = self.shards.get(machine.shard)
        self._clear(machine, "released")
        self._pop(name)
        if led_shard is not None:
            self._clear_suspect(led_shard, machine)
        self.records.wake.set()

    # --- views --------------------------------------------------------------------------

    def of_shard(self, shard: int) -> Collection[Machine]:
        """The machines of a shard."""
        return self.in_shard.get(shard, {}).values()
