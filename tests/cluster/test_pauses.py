"""Freshness and lease expiry after the process of a controller was paused."""

from __future__ import annotations

import trio
import trio.testing

from ..harness.simulation import TIMES
from ..harness.single_controller import (
    heartbeat_request,
    leader_of_shard,
)


def test_after_a_process_pause_nothing_received_before_is_fresh() -> None:
    """The first caller detects the pause, even before the pause detector's loop runs again."""

    async def main() -> None:
        leader = leader_of_shard(0, 50)
        membership, agents = leader.membership, leader.agents
        async with trio.open_nursery() as nursery:
            nursery.start_soon(membership.pause_detector.run)
            await agents.serve(heartbeat_request(0, 1, 50, []))
            await trio.sleep(1)
            membership.replica.verified_at = trio.current_time()
            assert membership.verified_cluster_leader() == 50
            mock.jump(TIMES.lease_s * 3)
            pause_ended_at = trio.current_time()
            assert membership.resumed_at() == pause_ended_at
            # Another controller may lead by now.
            assert membership.verified_cluster_leader() is None
            # Heartbeats missed during the controller's own pause don't show that an agent is lost.
            assert not agents.machines["i-000000"].lost
            nursery.start_soon(agents.lease_expiry.run)
            await trio.sleep(TIMES.report_s)
            assert not agents.machines["i-000000"].lost
            membership.replica.verified_at = trio.current_time()
            assert membership.verified_cluster_leader() == 50
            # Leadership is verified again, so the lease has certainly expired.
            await trio.sleep(TIMES.report_s)
            assert agents.machines["i-000000"].lost
            nursery.cancel_scope.cancel()

    mock = trio.testing.MockClock(autojump_threshold=0)
    trio.run(main, clock=mock)
