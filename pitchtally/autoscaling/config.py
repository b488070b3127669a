"""The figures of settings and policy that autoscaling uses."""

from __future__ import annotations

from dataclasses import dataclass

from ..config.policy import Policy
from ..config.settings import Settings


@dataclass(frozen=True, slots=True)
class AutoscalerConfig:
    """Limits and periods of autoscaling, in seconds unless said otherwise."""

    shard_count: int  # of the cluster
    list_interval: float  # between two reads of the machine list
    list_lag: float  # how far the machine list may be behind
    agent_lease: float
    session_ttl: float  # of a controller
    heartbeat_interval: float  # between controllers
    heartbeat_timeout: float  # a machine without heartbeats for this long is given up
    demand_interval: float  # between two samples of demand
    demand_window: float  # for which the peak demand of a job shape is remembered
    idle_timeout: float  # an idle machine is terminated after this long
    max_queue_slack_share: float  # of the slack of a job: the share that its queue may take

    @classmethod
    def from_settings(cls, settings: Settings, policy: Policy) -> AutoscalerConfig:
        """The figures as operators have set them."""
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
