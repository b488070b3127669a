"""HTTP responses of the users' API."""

from __future__ import annotations

import msgspec
from msgspec import Struct

from ..http import Response
from ..protocol import user_api

_encode = msgspec.json.encode

# Limits of the `Retry-After` header, in seconds.
MIN_RETRY_AFTER_S, MAX_RETRY_AFTER_S = 1, 30

STORE_UNAVAILABLE = "the state service doesn't answer"
STATE_UNCONFIRMED = "the state can't be confirmed now"


class ErrorBody(Struct, omit_defaults=True):
    """The body of a response that reports an error instead of a job."""

    error: str  # human-readable reason
    field: str = ""  # the invalid part of the request, by its name on the wire


def job_response(status: int, view: user_api.JobView) -> Response:
    """Return a response whose body is a job's state."""
    return Response(status, _encode(view))


def error_response(status: int, field: str, reason: str) -> Response:
    """Return the response to an invalid request; `field` names the invalid part."""
    return Response(status, _encode(ErrorBody(reason, field)))


def unknown_job_response() -> Response:
    """Return the 404 response for a job."""
    return error_response(404, "ref", "unknown job")


def retry_later(reason: str, after_s: float = 1) -> Response:
    """Return a 503 response with the seconds after which a retry may succeed."""
    seconds = max(MIN_RETRY_AFTER_S, min(MAX_RETRY_AFTER_S, int(after_s)))
    return Response(503, _encode(ErrorBody(reason)), [("Retry-After", str(seconds))])
