"""Every key of ours in the state store: built here, and parsed here.

All keys begin with `ROOT`. A `..._PREFIX` is what a listener of the replica subscribes to; it
is then called with the rest of the key, which the `parse_...` functions read. The texts are a
stored format: neighbouring versions read the same keys.
"""

from __future__ import annotations

from typing import NamedTuple
from urllib.parse import quote

from .identifiers import ShardId

ROOT = "pt/"

NODE_PREFIX = "nodes/"
SHARD_PREFIX = "parts/"
JOB_PREFIX = "jobs/"
MACHINES_PREFIX = "fleet/"
FINISHED_PREFIX = "done/"
LEGACY_FINISHED_PREFIX = "fin/"
TEXT_PREFIX = "text/"
MACHINE_TYPES_PREFIX = "types"
QUOTA_SHARES_PREFIX = "shares"
FORMAT_PREFIX = "format"

MACHINE_TYPES = ROOT + MACHINE_TYPES_PREFIX
QUOTA_SHARES = ROOT + QUOTA_SHARES_PREFIX
FORMAT = ROOT + FORMAT_PREFIX


class MachineChunk(NamedTuple):
    """A chunk of the record of a shard's machines."""

    shard: ShardId
    chunk: int


class FinishedChunk(NamedTuple):
    """A chunk of a job's finished tasks: its first task, or its number in the legacy layout."""

    job: str
    number: int


class TextChunk(NamedTuple):
    """A chunk of a job's description that is too long for its record."""

    job: str
    digest: str
    number: int


def absolute(prefix: str, rest: str) -> str:
    """The whole key of which a listener to `prefix` was given the rest."""
    return f"{ROOT}{prefix}{rest}"


def node(name: str) -> str:
    """The record of a living controller, bound to its session lease."""
    return f"{ROOT}{NODE_PREFIX}{name}"


def shard(shard_id: ShardId) -> str:
    """The record of a shard's leader; its version is the leader's fencing token."""
    return f"{ROOT}{SHARD_PREFIX}{shard_id}"


def job(job_id: str) -> str:
    """The record of a job."""
    return f"{ROOT}{JOB_PREFIX}{job_id}"


def machines(shard_id: ShardId, chunk: int) -> str:
    """A chunk of the record of a shard's machines."""
    return f"{ROOT}{MACHINES_PREFIX}{shard_id}/{chunk}"


def parse_machines(rest: str) -> MachineChunk:
    """Read the rest of a key below `MACHINES_PREFIX`."""
    shard_id, _, chunk = rest.partition("/")
    return MachineChunk(int(shard_id), int(chunk))


def finished_tasks(job_id: str, first: int) -> str:
    """The finished tasks of a job from the task `first` on."""
    return f"{ROOT}{FINISHED_PREFIX}{job_id}/{first}"


def legacy_finished_tasks(job_id: str, number: int) -> str:
    """The chunk of this number of a job's finished tasks, as 0.5.1 stored it."""
    return f"{ROOT}{LEGACY_FINISHED_PREFIX}{job_id}/{number}"


def parse_finished_tasks(rest: str) -> FinishedChunk:
    """Read the rest of a key below `FINISHED_PREFIX` or `LEGACY_FINISHED_PREFIX`."""
    job_id, _, number = rest.partition("/")
    return FinishedChunk(job_id, int(number))


def text_chunk(job_id: str, digest: str, number: int) -> str:
    """A chunk of a job's description."""
    return f"{ROOT}{TEXT_PREFIX}{job_id}/{digest}/{number}"


def parse_text_chunk(rest: str) -> TextChunk:
    """Read the rest of a key below `TEXT_PREFIX`."""
    job_id, digest, number = rest.split("/")
    return TextChunk(job_id, digest, int(number))


def quota_shares(team: str) -> str:
    """A team's quota shares, by shard; teams may have any name, so it is quoted."""
    return f"{QUOTA_SHARES}/{quote(team, safe='')}"


def machine_types_page(number: int) -> str:
    """A page of the machine catalog that is too long for one value."""
    return f"{MACHINE_TYPES}/{number}"
