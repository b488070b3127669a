"""A text that one value cannot hold, cut into chunks that are found by their content.

A key names a digest of the whole text, so chunks of different texts never mix, and writing
one again changes nothing: no precondition is needed. The chunks are written first; what refers
to them follows once all are there.
"""

from __future__ import annotations

import hashlib
from collections.abc import Mapping
from typing import NamedTuple

import msgspec

from ..state_store import keys

_DIGEST_BYTES = 8
# Of a value. JSON may escape a character to several bytes, which `split` counts.
CHUNK_SHARE = 3 / 4
_QUOTE_BYTES = 2


class TextRef(NamedTuple):
    """What finds a text again; stored as an array."""

    digest: str
    chunks: int


class ChunkId(NamedTuple):
    """Which chunk of which text."""

    digest: str  # of the whole text
    number: int


class EncodedText(NamedTuple):
    """A text as values of the state store."""

    ref: TextRef
    values: list[bytes]


def key(job: str, ref: TextRef, number: int) -> str:
    """The key of one chunk of a job's text."""
    return keys.text_chunk(job, ref.digest, number)


def split(text: str, value_bytes: int) -> EncodedText:
    """Cut a text into chunks, each of them encoded within the limit of a value."""
    max_chunk_bytes = max(1, int(value_bytes * CHUNK_SHARE))
    chunks: list[str] = []
    size = max_chunk_bytes
    for character in text:
        width = len(msgspec.json.encode(character)) - _QUOTE_BYTES
        if size + width > max_chunk_bytes:
            chunks.append("")
            size = 0
        chunks[-1] += character
        size += width
    digest = hashlib.blake2b(text.encode(), digest_size=_DIGEST_BYTES).hexdigest()
    values = [msgspec.json.encode(chunk) for chunk in chunks]
    return EncodedText(TextRef(digest, len(chunks)), values)


def join(ref: TextRef, chunks: Mapping[ChunkId, str]) -> str | None:
    """The text again, None while some of its chunks are missing."""
    collected = []
    for number in range(ref.chunks):
        chunk = chunks.get(ChunkId(ref.digest, number))
        if chunk is None:
            return None
        collected.append(chunk)
    return "".join(collected)
