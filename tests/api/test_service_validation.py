"""Validation of submitted services."""

from __future__ import annotations

import json
from typing import Any

import pytest

from pitchtally.api.validation import InvalidSubmission, check_runnable, parse_job
from pitchtally.config.settings import Team
from pitchtally.protocol.cloud_api import MachineType

from ..harness.services import service
from ..harness.simulation import settings, submission

TYPES = {"big": MachineType("big", cpus=8.0, gpus=2.0, memory=64.0, zones=["a"])}


@pytest.mark.parametrize(
    ("more", "status"),
    [
        ({"rows": 6}, None),
        ({"rows": 7}, 422),  # an array of seven is accepted: its tasks can run one after another
        ({"rows": 7, "cut": "sweep"}, None),
        ({"rows": 2, "cards": 2.0}, 422),
        ({"rows": 1, "cards": 1.0}, None),
        ({"rows": 1, "vcpus": 9.0}, 422),
        ({"rows": 100_000, "crew": "free"}, None),
    ],
)
def test_all_replicas_together_must_be_within_the_teams_limit(
    more: dict[str, Any], status: int | None
) -> None:
    config = settings("n0", teams=[Team("tight", cpus_max=6.0, gpus_max=3.0), Team("free")])
    spec = parse_job(json.dumps(submission(service(1, **{"crew": "tight", **more}))).encode())
    refused: int | None = None
    try:
        check_runnable(spec, config, TYPES)
    except InvalidSubmission as error:
        refused = error.status
    assert refused == status


@pytest.mark.parametrize("missing", ["ripenS", "rows", "spread", "crew"])
def test_missing_field_of_a_service_is_refused(missing: str) -> None:
    body = {k: v for k, v in submission(service(1)).items() if k != missing}
    with pytest.raises(InvalidSubmission) as error_info:
        parse_job(json.dumps(body).encode())
    assert error_info.value.status == 400
