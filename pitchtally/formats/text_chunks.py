"""Texts that exceed the size of one value, split into content-addressed chunks.

A key contains a digest of the whole text, so chunks of different texts never mix, and writing a
chunk again changes nothing: no precondition is needed. The record that refers to the chunks is
written after all of them.
"""

from __future__ import annotations

import hashlib
from collections.abc import Mapping
from typing import NamedTuple

import msgspec

from ..state_store import keys

_DIGEST_BYTES = 8
# Share of a value's size limit. `split` counts characters as encoded, since JSON may escape one
# to several bytes.
CHUNK_SHARE = 3 / 4
_QUOTE_BYTES = 2


class TextRef(NamedTuple):
    """Reference to a text; stored as an array."""

    digest: str
    chunks: int


class ChunkId(NamedTuple):
    """Identifies a chunk of a text."""

    digest: str  # digest of the whole text
    number: int


class EncodedText(NamedTuple):
    """A text encoded as values of the state store."""

    ref: TextRef
    values: list[bytes]


def key(job: str, ref: TextRef, number: int) -> str:
    """Return the key of a chunk of a job's text."""
    return keys.text_chunk(job, ref.digest, number)


def split(text: str, value_bytes: int) -> EncodedText:
    """Split a text into chunks, each within a value's size limit when encoded."""
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
    """Return the text joined from its chunks, None while some are missing."""
    collected = []
    for number in range(ref.chunks):
        chunk = chunks.get(ChunkId(ref.digest, number))
        if chunk is None:
            return None
        collected.append(chunk)
    return "".join(collected)
