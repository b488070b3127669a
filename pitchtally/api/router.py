"""Routes of the public address: users' requests, agent heartbeats, and the readiness probe."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from ..http import Handler, Request, Response
from .cancellation import Cancellations
from .reachability import Reachability
from .responses import error_response
from .status import JobStatuses
from .submission import Submissions

HEARTBEATS = "/v1/report"
READY = "/ready"
JOBS = "/api/jobs"
CANCEL = "/cancel"


class Router:
    """Dispatches requests by path; `serve` those of the public address, `local` users' alone."""

    def __init__(
        self,
        submissions: Submissions,
        statuses: JobStatuses,
        cancellations: Cancellations,
        reachability: Reachability,
        is_loaded: Callable[[], bool],
        serve_agent: Handler,
        forward: Callable[[Request], Awaitable[Response | None]],
    ):
        """One argument for each destination of a request, hence eight.

        `is_loaded`: whether the replica and the machine types have been read once.
        `forward`: has a peer answer a request; None if no peer did.
        """
        self.submissions = submissions
        self.statuses = statuses
        self.cancellations = cancellations
        self.reachability = reachability
        self._is_loaded = is_loaded
        self._serve_agent = serve_agent
        self._forward = forward

    async def serve(self, request: Request) -> Response:
        """Route a request that came over the public address."""
        path = request.path
        if path == HEARTBEATS:
            if request.method != "POST":
                return _method_not_allowed("POST")
            return await self._serve_agent(request)
        if path == READY:
            return Response(200 if self._is_ready() else 503, b"{}")
        if (
            path.startswith(JOBS)
            and self.reachability.store_lost_here_only()
            and not self._is_final(path)
        ):
            response = await self._forward(request)
            if response is not None:
                return response
        return await self.local(request)

    async def local(self, request: Request) -> Response:
        """Answer a user's request on this node, also one that a peer forwarded."""
        path = request.path
        if path == JOBS:
            if request.method != "POST":
                return _method_not_allowed("POST")
            return await self.submissions.submit(request.body)
        if not path.startswith(JOBS + "/"):
            return error_response(404, "path", "unknown")
        name = path.removeprefix(JOBS + "/")
        if name.endswith(CANCEL):
            if request.method != "POST":
                return _method_not_allowed("POST")
            return await self.cancellations.cancel(name.removesuffix(CANCEL))
        if request.method != "GET":
            return _method_not_allowed("GET")
        return await self.statuses.poll(name)

    def _is_ready(self) -> bool:
        """Whether the load balancer should send users to this node.

        If all nodes have lost the state store, final states, agent heartbeats and refusals still
        work here. A node that alone lost it leaves users to those that can do more.
        """
        return (
            self._is_loaded()
            and not self.reachability.store_lost_here_only()
            and not self.reachability.is_isolated()
        )

    def _is_final(self, path: str) -> bool:
        """Whether the job that a path names is over, which the replica shows for certain."""
        job = self.statuses.cached(path.removeprefix(JOBS + "/").removesuffix(CANCEL))
        return job is not None and not job.open


def _method_not_allowed(allowed: str) -> Response:
    return error_response(405, "method", f"use {allowed}")
