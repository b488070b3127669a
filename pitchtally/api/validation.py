"""Submissions of users: read, checked field by field, and checked against the deployment."""

from __future__ import annotations

import math
import re
from typing import Any

import msgspec

from ..config.settings import Settings
from ..jobs.resources import capacity_of, fits, resource_request
from ..protocol import cloud_api, user_api

_ID = re.compile(r"wk-[0-9]{1,18}")


MAX_TASKS = 100_000
LARGEST = 1e9  # of any amount
LONGEST_NAME, LONGEST_TYPE, MAX_TYPES = 200, 100, 100


class Invalid(Exception):
    """A request that can't be right: the status, and a reason that names the field."""

    def __init__(self, status: int, field: str, reason: str):
        super().__init__(f"{field}: {reason}")
        self.status = status


_NAMES = {f.name: f.encode_name for f in msgspec.structs.fields(user_api.JobSpec)}


_OPTIONAL = {"types", "zone", "deadline"}


_AMOUNTS = ("cpus", "gpus", "memory", "image_gb", "estimate", "checkpoint", "save")


def parse_job(body: bytes) -> user_api.JobSpec:
    """A submission as a checked spec; Invalid with 400 otherwise."""
    spec = _convert(_fields(body))
    if not is_job_id(spec.id):
        raise _bad("id", "not of the form wk-000412")
    if spec.kind not in (user_api.ARRAY, user_api.GANG, user_api.SERVICE):
        raise _bad("kind", "unknown kind")
    if spec.rank not in user_api.RANKS:
        raise _bad("rank", "unknown priority")
    if not 1 <= spec.tasks <= MAX_TASKS:
        raise _bad("tasks", f"must be 1 to {MAX_TASKS}")
    _check_sizes(spec)
    return spec


def _bad(name: str, reason: str) -> Invalid:
    return Invalid(400, _NAMES[name], reason)


def _fields(body: bytes) -> dict[str, Any]:
    """The fields of a submission, none missing that must be there."""
    try:
        raw = msgspec.json.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise Invalid(400, "body", f"not JSON: {error}") from None
    if not isinstance(raw, dict):
        raise Invalid(400, "body", "not an object")
    for name, field in _NAMES.items():
        if name not in _OPTIONAL and raw.get(field) is None:
            raise _bad(name, "missing")
    for name in _AMOUNTS:
        if isinstance(raw[_NAMES[name]], bool):
            raise _bad(name, "not a number")
    return raw


def _convert(raw: dict[str, Any]) -> user_api.JobSpec:
    try:
        return msgspec.convert(raw, user_api.JobSpec)
    except msgspec.ValidationError as error:
        text = str(error)
        at = re.search(r"\$\.(\w+)", text)
        raise Invalid(400, at.group(1) if at else "body", text) from None


def _check_sizes(spec: user_api.JobSpec) -> None:
    for name in (*_AMOUNTS, "deadline"):
        value = getattr(spec, name)
        if value is not None and not (0 <= value < LARGEST and math.isfinite(value)):
            raise _bad(name, "out of range")
    for name in ("job_class", "team", "image"):
        if len(getattr(spec, name)) > LONGEST_NAME:
            raise _bad(name, "too long")
    types: tuple[str, ...] = spec.types or ()
    if len(types) > MAX_TYPES or any(len(t) > LONGEST_TYPE for t in types):
        raise _bad("types", "too long")


def check_runnable(
    spec: user_api.JobSpec, settings: Settings, types: dict[str, cloud_api.MachineType]
) -> None:
    """Invalid with 422 for a job that can never run."""
    team = next((t for t in settings.deployment.teams if t.name == spec.team), None)
    if team is None:
        raise Invalid(422, _NAMES["team"], "unknown team")
    able = [
        t
        for t in types.values()
        if (spec.types is None or t.name in spec.types)
        and fits(resource_request(spec), capacity_of(t))
        and (spec.zone is None or spec.zone in t.zones)
    ]
    if not able:
        raise Invalid(422, _NAMES["types"], "a task fits no allowed machine type")
    # An array goes on task by task; a gang, and a service, need room for all.
    at_once = spec.tasks if spec.kind in (user_api.GANG, user_api.SERVICE) else 1
    for name, resources, limit in (
        ("cpus", spec.cpus, team.cpus_max),
        ("gpus", spec.gpus, team.gpus_max),
    ):
        if limit > 0 and resources * at_once > limit + 1e-6:
            raise Invalid(422, _NAMES[name], "over the team's limit")


def id_of(body: bytes) -> str | None:
    """The job's id in a body, whatever else is wrong with it; None without one."""

    class Id(msgspec.Struct):
        id: str = msgspec.field(name=_NAMES["id"])

    try:
        found = msgspec.json.decode(body, type=Id).id
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return None
    return found if _ID.fullmatch(found) else None


def is_job_id(text: str) -> bool:
    """Whether a text has the form of a job's id."""
    return _ID.fullmatch(text) is not None
