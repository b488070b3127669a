"""Construction and parsing of all keys in the state store.

All keys begin with `ROOT`. A listener of the replica subscribes to a `..._PREFIX` and is called
with the suffix of the key, which the `parse_...` functions read. Keys are part of the stored
format: neighbouring versions read the same keys.
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
    """The parsed key of a chunk of a shard's machine record."""

    shard: ShardId
    chunk: int


class FinishedChunk(NamedTuple):
    """The parsed key of a chunk of a job's finished tasks.

    `number` is the chunk's first task, or the chunk's number in the legacy layout.
    """

    job: str
    number: int


class TextChunk(NamedTuple):
    """The parsed key of a chunk of a job spec that is too long for the job's record."""

    job: str
    digest: str
    number: int


def absolute(prefix: str, suffix: str) -> str:
    """Return the key with a prefix and the suffix that a listener received."""
    return f"{ROOT}{prefix}{suffix}"


def node(name: str) -> str:
    """Return the key of a node record, which is bound to the node's session lease."""
    return f"{ROOT}{NODE_PREFIX}{name}"


def shard(shard_id: ShardId) -> str:
    """Return the key of a shard leader's record, whose version is the leader's fencing token."""
    return f"{ROOT}{SHARD_PREFIX}{shard_id}"


def job(job_id: str) -> str:
    """Return the key of a job's record."""
    return f"{ROOT}{JOB_PREFIX}{job_id}"


def machines(shard_id: ShardId, chunk: int) -> str:
    """Return the key of a chunk of a shard's machine record."""
    return f"{ROOT}{MACHINES_PREFIX}{shard_id}/{chunk}"


def parse_machines(suffix: str) -> MachineChunk:
    """Parse the suffix of a key below `MACHINES_PREFIX`."""
    shard_id, _, chunk = suffix.partition("/")
    return MachineChunk(int(shard_id), int(chunk))


def finished_tasks(job_id: str, first: int) -> str:
    """Return the key of the chunk of a job's finished tasks that starts at task `first`."""
    return f"{ROOT}{FINISHED_PREFIX}{job_id}/{first}"


def legacy_finished_tasks(job_id: str, number: int) -> str:
    """Return the key of a numbered chunk of a job's finished tasks in the layout of 0.5.1."""
    return f"{ROOT}{LEGACY_FINISHED_PREFIX}{job_id}/{number}"


def parse_finished_tasks(suffix: str) -> FinishedChunk:
    """Parse the suffix of a key below `FINISHED_PREFIX` or `LEGACY_FINISHED_PREFIX`."""
    job_id, _, number = suffix.partition("/")
    return FinishedChunk(job_id, int(number))


def text_chunk(job_id: str, digest: str, number: int) -> str:
    """Return the key of a chunk of a job spec."""
    return f"{ROOT}{TEXT_PREFIX}{job_id}/{digest}/{number}"


def parse_text_chunk(suffix: str) -> TextChunk:
    """Parse the suffix of a key below `TEXT_PREFIX`."""
    job_id, digest, number = suffix.split("/")
    return TextChunk(job_id, digest, int(number))


def quota_shares(team: str) -> str:
    """Return the key of a team's quota shares; the name is quoted, as it may hold any character."""
    return f"{QUOTA_SHARES}/{quote(team, safe='')}"


def machine_types_page(number: int) -> str:
    """Return the key of a page of a machine catalog that is too long for one value."""
    return f"{MACHINE_TYPES}/{number}"
