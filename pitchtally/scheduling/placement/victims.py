"""The placements that a job may preempt, with the work that each loses."""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from ...agents.machine import Machine, Placement
from ...protocol import user_api
from ..capacity import is_gang
from ..quotas.quotas import Quotas
from ..shards.allocations import ShardAllocation

# Minimum number of CPUs by which a task's loss is weighted.
MIN_LOSS_CPUS = 0.1
# Loss added for stopping any running task, in task-seconds weighted by CPUs.
BASE_LOSS_CPU_S = 0.1


class Victim(NamedTuple):
    """A placement that may be preempted, and the work that is lost with it."""

    loss: float  # task-seconds weighted by CPUs
    placement: Placement


class Claim(NamedTuple):
    """What determines the placements that a job may preempt."""

    rank: int
    team: str | None  # None unless the job is within its team's guarantee


class RoundVictims:
    """The victims on each machine, collected once a planning round for all jobs of a claim."""

    def __init__(self, quotas: Quotas, now: float) -> None:
        self._quotas = quotas
        self._now = now
        self._by_machine: dict[Claim, dict[str, list[Victim]]] = {}
        self.placements_read = 0  # each time that a job reads them

    def on(
        self, machine: Machine, allocation: ShardAllocation, *, within_guarantee: bool
    ) -> Iterator[Victim]:
        """Yield the placements on a machine that a job may still preempt, least loss first."""
        claim = Claim(allocation.rank, allocation.spec.team if within_guarantee else None)
        by_machine = self._by_machine.setdefault(claim, {})
        victims = by_machine.get(machine.name)
        if victims is None:
            victims = by_machine[machine.name] = self._collect(machine, claim)
        self.placements_read += len(victims)
        job_id = allocation.job.id
        for victim in victims:
            placement = victim.placement
            # An earlier job of the round may have stopped it, or it may have ended since.
            is_present = machine.placements.get(placement.key) is placement
            if is_present and placement.stop_grace is None and placement.job.id != job_id:
                yield victim

    def _collect(self, machine: Machine, claim: Claim) -> list[Victim]:
        victims = [
            Victim(self._loss(placement), placement)
            for placement in machine.placements.values()
            if self._is_preemptible(claim, placement)
        ]
        victims.sort(key=lambda victim: (victim.loss, victim.placement.key))
        return victims

    def _is_preemptible(self, claim: Claim, placement: Placement) -> bool:
        """Return whether a claim covers a placement, by rank or by its team's guarantee."""
        if placement.stop_grace is not None or _is_shared_gang(placement):
            return False
        if placement.rank > claim.rank:
            return True
        # Preempting one gang for another of equal rank would gain nothing.
        return (
            claim.team is not None
            and not is_gang(placement)
            and self._quotas.other_team_over_guarantee(placement.spec, claim.team)
        )

    def _loss(self, placement: Placement) -> float:
        """Return the work that a stop loses, in task-seconds weighted by CPUs.

        For a task with checkpoints, at most the time to write one (`checkpoint_grace`) is lost.
        """
        if placement.running_since is None or not placement.observed:
            return 0.0
        spec = placement.spec
        lost_s = self._now - placement.running_since
        if spec.checkpoint_interval:
            lost_s = min(lost_s, spec.checkpoint_grace)
        tasks = spec.tasks if spec.kind == user_api.GANG else 1  # all tasks of a gang stop
        return lost_s * max(placement.resources.cpus, MIN_LOSS_CPUS) * tasks + BASE_LOSS_CPU_S


def _is_shared_gang(placement: Placement) -> bool:
    """Return whether a placement belongs to a gang over several shards.

    A single shard leader can't stop all tasks of such a gang.
    """
    return placement.job.record.attempt != 0
