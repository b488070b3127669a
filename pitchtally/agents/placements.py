"""Which tasks are on which machines, with the sums that planning and limits rest on.

The sums are kept up with every change: nothing that a report asks for may cost more with
more machines, jobs or tasks in a shard.
"""

from __future__ import annotations

import trio

from .machines import Load, MachineGroupKey, Placement


class Placements:
    """The tasks on the machines of the shards that this node owns."""

    def __init__(self) -> None:
        self.loads: dict[
            int, dict[MachineGroupKey, dict[str, Load]]
        ] = {}  # part -> like machines -> job
        self._by_job: dict[str, dict[Placement, None]] = {}  # a set in order: days repeat
        self._team_use: dict[tuple[int, str], list[float]] = {}  # CPUs, GPUs, tasks

    def of_job(self, id: str) -> list[Placement]:
        """Every place of a job's tasks, earliest first."""
        return list(self._by_job.get(id, ()))

    def put(self, placement: Placement) -> None:
        """A task takes its place on a machine."""
        machine = placement.machine
        old = machine.placements.get(placement.key)
        if old is not None:
            self.drop(old)
        machine.placements[placement.key] = placement
        machine.count(placement, 1.0)
        self._by_job.setdefault(placement.job.id, {})[placement] = None
        use = self._team_use.setdefault((machine.shard, placement.team), [0.0, 0.0, 0.0])
        use[0] += placement.resources[0]
        use[1] += placement.resources[1]
        use[2] += 1
        jobs = self.loads.setdefault(machine.shard, {}).setdefault(machine.group, {})
        load = jobs.get(placement.job.id)
        if load is None:
            load = jobs[placement.job.id] = Load(placement.resources, placement.rank)
        load.count += 1
        if placement.run_at is not None:
            load.running += 1
            load.begun += placement.run_at

    def drop(self, placement: Placement) -> bool:
        """The place is free again; False if it was already."""
        machine = placement.machine
        if machine.placements.get(placement.key) is not placement:
            return False
        del machine.placements[placement.key]
        machine.count(placement, -1.0)
        mates = self._by_job.get(placement.job.id)
        if mates is not None:
            mates.pop(placement, None)
            if not mates:
                del self._by_job[placement.job.id]
        use = self._team_use[(machine.shard, placement.team)]
        use[0] -= placement.resources[0]
        use[1] -= placement.resources[1]
        use[2] -= 1
        if not use[2]:
            use[0] = use[1] = 0.0  # sums drift, limits must not
        jobs = self.loads[machine.shard][machine.group]
        load = jobs[placement.job.id]
        load.count -= 1
        if placement.run_at is not None:
            load.running -= 1
            load.begun -= placement.run_at
        if not load.count:
            del jobs[placement.job.id]
        return True

    def runs(self, placement: Placement) -> None:
        """The task is seen running for the first time."""
        placement.run_at = trio.current_time()
        load = self.loads[placement.machine.shard][placement.machine.group][placement.job.id]
        load.running += 1
        load.begun += placement.run_at

    def running(self, shard: int) -> dict[str, int]:
        """Tasks of each job seen running on the shard's machines."""
        out: dict[str, int] = {}
        for jobs in self.loads.get(shard, {}).values():
            for id, load in jobs.items():
                if load.running:
                    out[id] = out.get(id, 0) + load.running
        return out

    def use(self, shard: int, team: str) -> tuple[float, float]:
        """CPUs and GPUs that a team's tasks take in a shard."""
        found = self._team_use.get((shard, team))
        return (found[0], found[1]) if found is not None else (0.0, 0.0)
