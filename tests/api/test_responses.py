"""Bodies and headers of error responses."""

from __future__ import annotations

import pytest

from pitchtally.api.responses import error_response, retry_later, unknown_job_response


def test_error_names_the_field() -> None:
    response = error_response(400, "rows", "missing")
    assert response.status == 400
    assert response.body == b'{"error":"missing","field":"rows"}'
    assert response.headers == []


def test_unknown_job() -> None:
    response = unknown_job_response()
    assert response.status == 404
    assert response.body == b'{"error":"unknown job","field":"ref"}'


@pytest.mark.parametrize(("after_s", "header"), [(0.2, "1"), (1, "1"), (3.7, "3"), (90, "30")])
def test_retry_after_is_whole_seconds_within_limits(after_s: float, header: str) -> None:
    response = retry_later("busy", after_s)
    assert response.status == 503
    assert response.body == b'{"error":"busy"}'
    assert response.headers == [("Retry-After", header)]
