"""Invalid input is refused with a status and a reason that names the field, without a fault."""

from __future__ import annotations

import json
import math
from typing import Any

import pytest

from pitchtally.api.validation import InvalidSubmission, check_runnable, parse_job
from pitchtally.protocol import cloud_api

from ..harness.simulation import job, settings

TYPE = cloud_api.MachineType("big", cpus=8, memory=32, zones=["a", "b"])


def body(**more: Any) -> bytes:
    spec = {k: v for k, v in job(7, **more).items() if k != "realS"}
    return json.dumps({k: v for k, v in spec.items() if v != "absent"}).encode()


@pytest.mark.parametrize(
    ("text", "field"),
    [
        (b"", "body"),
        (b"{", "body"),
        (b"[]", "body"),
        (b"7", "body"),
        (b"\xff\xfe", "body"),
        (b"[" * 5000, "body"),
        (body(rows="absent"), "rows"),
        (body(rows=None), "rows"),
        (body(rows=0), "rows"),
        (body(rows=100_001), "rows"),
        (body(rows=-1), "rows"),
        (body(rows="6"), "rows"),
        (body(rows=True), "rows"),
        (body(rows=1.5), "rows"),
        (body(vcpus=-1.0), "vcpus"),
        (body(vcpus=True), "vcpus"),
        (body(vcpus="x"), "vcpus"),
        (body(vcpus=1e300), "vcpus"),
        (body(vcpus=math.nan), "body"),
        (body(memGb=math.inf), "body"),
        (body(cut="weave"), "cut"),
        (body(rank="first"), "rank"),
        (body(ref="job-1"), "ref"),
        (body(ref="wk-"), "ref"),
        (body(ref=12), "ref"),
        (body(oneZone="yes"), "oneZone"),
        (body(presses="g8"), "presses"),
        (body(presses=[1]), "presses"),
        (body(harvestS=-3.0), "harvestS"),
        (body(crew="x" * 300), "crew"),
    ],
)
def test_malformed(text: bytes, field: str) -> None:
    with pytest.raises(InvalidSubmission) as error_info:
        parse_job(text)
    assert error_info.value.status == 400
    assert str(error_info.value).startswith(field + ":")


@pytest.mark.parametrize(
    ("more", "runnable"),
    [
        ({}, True),
        ({"presses": ["big"]}, True),
        ({"cut": "gang", "crew": "tight", "rows": 3}, True),
        ({"crew": "nobody"}, False),
        ({"vcpus": 9.0}, False),
        ({"presses": ["other"]}, False),
        ({"presses": []}, False),
        ({"parcel": "elsewhere"}, False),
        ({"crew": "tight", "vcpus": 7.0}, False),
        ({"cut": "gang", "crew": "tight", "rows": 4}, False),
    ],
)
def test_never_runnable(more: dict[str, Any], runnable: bool) -> None:
    spec = parse_job(body(**more))
    if runnable:
        check_runnable(spec, settings("n0"), {"big": TYPE})
    else:
        with pytest.raises(InvalidSubmission) as error_info:
            check_runnable(spec, settings("n0"), {"big": TYPE})
        assert error_info.value.status == 422
