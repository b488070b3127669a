"""Validation of submissions: decoding, checks of each field, and checks against the deployment."""

from __future__ import annotations

import math
import re
from collections.abc import Mapping
from typing import Any

import msgspec

from ..config.settings import Settings
from ..jobs.resources import capacity_of, fits, resource_request
from ..protocol import cloud_api, user_api

MAX_TASKS = 100_000
# Exclusive upper bound of each amount and duration in a submission, in the field's own unit.
MAX_AMOUNT = 1e9
MAX_NAME_LENGTH = 200
MAX_TYPE_LENGTH = 100
MAX_TYPES = 100
# Sums of many floats accumulate rounding errors, so a job whose total exceeds its team's limit
# by no more than this (in CPUs or GPUs) is within the limit.
LIMIT_TOLERANCE = 1e-6

_JOB_ID = re.compile(r"wk-[0-9]{1,18}")
# Names on the wire, by field of `JobSpec`.
_WIRE_NAMES = {f.name: f.encode_name for f in msgspec.structs.fields(user_api.JobSpec)}
_OPTIONAL = {"types", "zone", "deadline"}
_AMOUNTS = (
    "cpus",
    "gpus",
    "memory",
    "image_gb",
    "estimate",
    "checkpoint_interval",
    "checkpoint_grace",
)


class InvalidSubmission(Exception):
    """A submission that can't be accepted, now or later."""

    def __init__(self, status: int, field: str, reason: str):
        """`status`: HTTP status; `field`: the invalid part, by its name on the wire."""
        super().__init__(f"{field}: {reason}")
        self.status = status
        self.field = field
        self.reason = reason


class _JobId(msgspec.Struct):
    id: str = msgspec.field(name=_WIRE_NAMES["id"])


def parse_job(body: bytes) -> user_api.JobSpec:
    """Decode and check a submission; raises `InvalidSubmission` with status 400."""
    spec = _convert(_decode_fields(body))
    if not is_job_id(spec.id):
        raise _malformed("id", "not of the form wk-000412")
    if spec.kind not in (user_api.ARRAY, user_api.GANG, user_api.SERVICE):
        raise _malformed("kind", "unknown kind")
    if spec.rank not in user_api.RANKS:
        raise _malformed("rank", "unknown priority")
    if not 1 <= spec.tasks <= MAX_TASKS:
        raise _malformed("tasks", f"must be 1 to {MAX_TASKS}")
    _check_sizes(spec)
    return spec


def _malformed(name: str, reason: str) -> InvalidSubmission:
    return InvalidSubmission(400, _WIRE_NAMES[name], reason)


def _decode_fields(body: bytes) -> dict[str, Any]:
    """Return the decoded fields of a submission; raise if a required one is missing."""
    try:
        raw = msgspec.json.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise InvalidSubmission(400, "body", f"not JSON: {error}") from None
    if not isinstance(raw, dict):
        raise InvalidSubmission(400, "body", "not an object")
    for name, wire_name in _WIRE_NAMES.items():
        if name not in _OPTIONAL and raw.get(wire_name) is None:
            raise _malformed(name, "missing")
    for name in _AMOUNTS:
        if isinstance(raw[_WIRE_NAMES[name]], bool):
            raise _malformed(name, "not a number")
    return raw


def _convert(raw: dict[str, Any]) -> user_api.JobSpec:
    try:
        return msgspec.convert(raw, user_api.JobSpec)
    except msgspec.ValidationError as error:
        message = str(error)
        path = re.search(r"\$\.(\w+)", message)
        raise InvalidSubmission(400, path.group(1) if path else "body", message) from None


def _check_sizes(spec: user_api.JobSpec) -> None:
    for name in (*_AMOUNTS, "deadline"):
        value = getattr(spec, name)
        if value is not None and not (0 <= value < MAX_AMOUNT and math.isfinite(value)):
            raise _malformed(name, "out of range")
    for name in ("job_class", "team", "image"):
        if len(getattr(spec, name)) > MAX_NAME_LENGTH:
            raise _malformed(name, "too long")
    types: tuple[str, ...] = spec.types or ()
    if len(types) > MAX_TYPES or any(len(type_name) > MAX_TYPE_LENGTH for type_name in types):
        raise _malformed("types", "too long")


def check_runnable(
    spec: user_api.JobSpec,
    settings: Settings,
    machine_types: Mapping[str, cloud_api.MachineType],
) -> None:
    """Raise `InvalidSubmission` with status 422 for a job that can never run."""
    team = next((t for t in settings.deployment.teams if t.name == spec.team), None)
    if team is None:
        raise _never_runnable("team", "unknown team")
    if not any(_may_run_on(spec, machine_type) for machine_type in machine_types.values()):
        raise _never_runnable("types", "a task fits no allowed machine type")
    # Tasks of an array can run one after another; those of a gang or a service run together.
    at_once = spec.tasks if spec.kind in (user_api.GANG, user_api.SERVICE) else 1
    for name, amount, limit in (
        ("cpus", spec.cpus, team.cpus_max),
        ("gpus", spec.gpus, team.gpus_max),
    ):
        if limit > 0 and amount * at_once > limit + LIMIT_TOLERANCE:
            raise _never_runnable(name, "over the team's limit")


def _never_runnable(name: str, reason: str) -> InvalidSubmission:
    return InvalidSubmission(422, _WIRE_NAMES[name], reason)


def _may_run_on(spec: user_api.JobSpec, machine_type: cloud_api.MachineType) -> bool:
    return (
        (spec.types is None or machine_type.name in spec.types)
        and fits(resource_request(spec), capacity_of(machine_type))
        and (spec.zone is None or spec.zone in machine_type.zones)
    )


def extract_job_id(body: bytes) -> str | None:
    """Return the job id in a body, even if the rest is invalid; None if there is no valid id."""
    try:
        job_id = msgspec.json.decode(body, type=_JobId).id
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return None
    return job_id if is_job_id(job_id) else None


def is_job_id(text: str) -> bool:
    """Return whether a text has the form of a job id."""
    return _JOB_ID.fullmatch(text) is not None
