"""Tests of demand: pending tasks by job shape, and recent peaks."""

from __future__ import annotations

from pitchtally.agents.machine import MachineGroupKey
from pitchtally.autoscaling.demand import (
    JobShape,
    RecentPeaks,
    pending_demands,
    queued_specs,
    tasks_per_machine,
)

from .cluster_views import BIG, SMALL, on_mock_clock, open_job, shard, view


def test_pending_tasks_are_summed_by_job_shape() -> None:
    async def body() -> None:
        jobs = {job.id: job for job in (open_job(1), open_job(2), open_job(3, vintage="other"))}
        statuses = {0: shard([], wk_000001=2)}
        demands = pending_demands(statuses.values(), jobs, view(statuses))
        # 2 tasks are pending in the shard; the 6 tasks of each job have no shard assigned yet.
        assert [(d.spec.job_class, d.tasks, d.total_run_s) for d in demands] == [
            ("c", 14, 14 * 4.0),
            ("other", 6, 6 * 4.0),
        ]

    on_mock_clock(body)


def test_finished_job_has_no_demand() -> None:
    async def body() -> None:
        statuses = {0: shard([], wk_000009=5)}
        assert pending_demands(statuses.values(), {}, view(statuses)) == []
        assert queued_specs(statuses.values(), {}, view(statuses)) == []

    on_mock_clock(body)


def test_team_at_its_limit_needs_no_machines() -> None:
    async def body() -> None:
        jobs = {"wk-000001": open_job(1)}
        statuses = {0: shard([], wk_000001=2)}
        assert queued_specs(statuses.values(), jobs, view(statuses)) == [jobs["wk-000001"].spec]
        assert queued_specs(statuses.values(), jobs, view(statuses, within_limit=0)) == []

    on_mock_clock(body)


def test_tasks_fit_only_on_allowed_machines() -> None:
    async def body() -> None:
        types = {"big": BIG, "small": SMALL}
        spec = open_job(1, presses=["big"], gleaning=False).spec
        assert tasks_per_machine(spec, MachineGroupKey("big", "a", False), types) == 4
        assert tasks_per_machine(spec, MachineGroupKey("big", "a", True), types) == 0
        assert tasks_per_machine(spec, MachineGroupKey("small", "a", False), types) == 0
        assert tasks_per_machine(spec, MachineGroupKey("unknown", "a", False), types) == 0

    on_mock_clock(body)


def test_samples_outside_the_window_are_dropped() -> None:
    async def body() -> None:
        shape = JobShape.of(open_job(1).spec)
        peaks = RecentPeaks(10.0)
        assert peaks.peak(shape) == 1
        peaks.sample(0.0, [open_job(1), open_job(2)], view({}))
        peaks.sample(5.0, [open_job(1)], view({}))
        assert peaks.peak(shape) == 12
        peaks.sample(11.0, [open_job(1)], view({}))
        assert peaks.peak(shape) == 6
        peaks.sample(22.0, [], view({}))
        assert peaks.peak(shape) == 1

    on_mock_clock(body)
