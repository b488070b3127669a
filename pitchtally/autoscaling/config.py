"""The settings and policy values that autoscaling uses."""

from __future__ import annotations

from dataclasses import dataclass

from ..config.policy import Policy
from ..config.settings import Settings


@dataclass(frozen=True, slots=True)
class AutoscalerConfig:
    """Limits and periods of autoscaling, in seconds unless noted otherwise."""

    shard_count: int  # number of shards in the cluster
    list_interval: float  # interval between reads of the machine list
    list_lag: float  # maximum staleness of the machine list
    agent_lease: float
    session_ttl: float  # lifetime of a controller's session lease
    heartbeat_interval: float  # interval of peer heartbeats
    heartbeat_timeout: float  # unreachable machines are terminated after at most this long
    demand_interval: float  # interval between samples of demand
    demand_window: float  # period over which the peak demand of a job shape is taken
    idle_timeout: float  # an idle machine is terminated after this long
    max_queue_slack_share: float  # share of a job's slack that its queue may take before scale out

    @classmethod
    def from_settings(cls, settings: Settings, policy: Policy) -> AutoscalerConfig:
        """Take the values from a deployment's settings and policy."""
        deployment = settings.deployment
        return cls(
            shard_count=deployment.count,
            list_interval=policy.list_every,
            list_lag=deployment.cloud.list_lag_s,
            agent_lease=deployment.workers.lease_s,
            session_ttl=policy.session_ttl,
            heartbeat_interval=policy.heartbeat_interval,
            heartbeat_timeout=policy.silence,
            demand_interval=policy.period,
            demand_window=policy.ready_for,
            idle_timeout=policy.idle_release,
            max_queue_slack_share=policy.hire_patience,
        )
