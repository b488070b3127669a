"""The API of a controller: construction of its components, and dispatch of requests by path."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Protocol

from ..config.policy import Policy
from ..config.settings import Settings
from ..http import Handler, Request, Response
from ..jobs.index import Job
from ..jobs.layout import JobLayout
from ..membership.messages import Cancellation, ScheduleReply
from ..observability.decision_log import DecisionListener
from ..protocol import cloud_api, user_api
from ..scheduling.capacity import Plan
from ..state_store.client import StateStoreClient
from ..state_store.identifiers import FencingToken, ShardId
from ..state_store.replica import Replica
from .admission_queue import AdmissionControl, AdmissionQueue
from .cancellation import Cancellations, CancellationWriter
from .job_creation import JobCreator, SubmissionPlanner
from .reachability import PeerReachability, StateStoreReachability
from .read_barrier import ReadBarrier
from .responses import error_response
from .status import JobStatuses
from .submission import Submissions
from .submission_batcher import SubmissionBatcher

AGENT_HEARTBEATS_PATH = "/v1/report"
READY_PATH = "/ready"
JOBS_PATH = "/api/jobs"
CANCEL_SUFFIX = "/cancel"

# Users wait 2 s for the response to a poll: a later one is useless.
MAX_BARRIER_WAIT_S = 1.5
# Time that a request may wait at the read barrier, as a multiple of the timeout of a store call.
BARRIER_WAIT_CALL_TIMEOUTS = 1.5


class Peers(PeerReachability, Protocol):
    """What the API requires of the other controllers, and of this node's shard leadership."""

    @property
    def alive(self) -> Mapping[str, object]:
        """Nodes whose session lease is valid, by name."""

    def token(self, shard: ShardId) -> FencingToken | None:
        """Return this node's fencing token of a shard; None if another node leads it."""

    async def forward(self, request: Request) -> Response | None:
        """Forward a user's request to a peer; return None if no peer responds."""

    async def request_schedule(self, spec: user_api.JobSpec) -> ScheduleReply | None:
        """Request a job's assignment from the cluster leader; None if it doesn't reply at once."""


@dataclass(frozen=True, slots=True)
class ApiSchedulerView:
    """What the API requires of the scheduler."""

    plan: Callable[[user_api.JobSpec], Plan]  # returns a new job's shards, from this node's data
    running_tasks: Callable[[str], int]  # returns how many tasks of a job run, as seen by this node


@dataclass(frozen=True, slots=True)
class ApiListeners:
    """Callbacks that the API calls on its decisions and on cancellations."""

    on_decision: DecisionListener
    on_cancelled: Callable[[Cancellation], None]  # starts a broadcast without waiting for it


class Api:
    """The API of one controller; the controller runs the loops of the API's components.

    `serve` answers all requests at the public address, `serve_locally` only those of users.
    """

    def __init__(
        self,
        *,
        settings: Settings,
        policy: Policy,
        state_store: StateStoreClient,
        replica: Replica,
        jobs: Mapping[str, Job],
        layout: JobLayout,
        peers: Peers,
        scheduler: ApiSchedulerView,
        machine_types: Callable[[], Mapping[str, cloud_api.MachineType]],
        serve_agent: Handler,
        listeners: ApiListeners,
    ):
        """Twelve parameters: all that this package takes from others.

        The constructor only passes each on to the components that use it, hence its length.
        """
        self._replica = replica
        self._peers = peers
        self._machine_types = machine_types
        self._serve_agent = serve_agent
        self._reachability = reachability = StateStoreReachability(
            state_store, peers, policy.session_ttl
        )
        self.read_barrier = ReadBarrier(
            state_store,
            replica,
            min(MAX_BARRIER_WAIT_S, policy.call_timeout * BARRIER_WAIT_CALL_TIMEOUTS),
        )
        self.submission_batcher = SubmissionBatcher(state_store, replica)
        self.admission_queue = AdmissionQueue(jobs.__contains__)
        self.statuses = JobStatuses(
            jobs,
            replica,
            self.read_barrier,
            reachability,
            scheduler.running_tasks,
            listeners.on_decision,
        )
        admission = AdmissionControl(
            self.admission_queue,
            state_store,
            self.submission_batcher,
            lambda: len(peers.alive),
            policy.admit_wait,
        )
        creator = JobCreator(
            SubmissionPlanner(scheduler.plan, peers.request_schedule),
            layout,
            self.submission_batcher,
            peers.token,
            policy.admit_wait,
        )
        self.submissions = Submissions(
            settings, machine_types, reachability, self.statuses, admission, creator
        )
        writer = CancellationWriter(
            state_store, replica, listeners.on_decision, listeners.on_cancelled
        )
        self.cancellations = Cancellations(
            jobs, writer, self.read_barrier, reachability, self.statuses
        )

    async def serve(self, request: Request) -> Response:
        """Route a request that arrived at the public address."""
        path = request.path
        if path == AGENT_HEARTBEATS_PATH:
            if request.method != "POST":
                return _method_not_allowed("POST")
            return await self._serve_agent(request)
        if path == READY_PATH:
            return Response(200 if self._is_ready() else 503, b"{}")
        if (
            path.startswith(JOBS_PATH)
            and self._reachability.is_store_lost_here_only()
            and not self._is_final(path)
        ):
            response = await self._peers.forward(request)
            if response is not None:
                return response
        return await self.serve_locally(request)

    async def serve_locally(self, request: Request) -> Response:
        """Answer a user's request on this node, including one that a peer has forwarded."""
        path = request.path
        if path == JOBS_PATH:
            if request.method != "POST":
                return _method_not_allowed("POST")
            return await self.submissions.submit(request.body)
        if not path.startswith(JOBS_PATH + "/"):
            return error_response(404, "path", "unknown")
        name = path.removeprefix(JOBS_PATH + "/")
        if name.endswith(CANCEL_SUFFIX):
            if request.method != "POST":
                return _method_not_allowed("POST")
            return await self.cancellations.cancel(name.removesuffix(CANCEL_SUFFIX))
        if request.method != "GET":
            return _method_not_allowed("GET")
        return await self.statuses.poll(name)

    def _is_ready(self) -> bool:
        """Return whether the load balancer should send users to this node.

        While no node reaches the state store, this node still serves final states, agent
        heartbeats and refusals. If this node alone has lost the store, other nodes serve users
        better.
        """
        return (
            self._replica.revision >= 0
            and bool(self._machine_types())
            and not self._reachability.is_store_lost_here_only()
            and not self._reachability.is_isolated()
        )

    def _is_final(self, path: str) -> bool:
        """Return whether the replica shows the job that a path names as over, which is final."""
        job = self.statuses.cached(path.removeprefix(JOBS_PATH + "/").removesuffix(CANCEL_SUFFIX))
        return job is not None and not job.open


def _method_not_allowed(allowed: str) -> Response:
    return error_response(405, "method", f"use {allowed}")
