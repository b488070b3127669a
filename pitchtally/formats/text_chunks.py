"""A text that one value can't hold, cut into pieces that are found by their content.

A key names a digest of the whole text, so pieces of different texts never mix, and writing
one again changes nothing: no condition is needed. The pieces are written first; what refers
to them follows once all are there.
"""

from __future__ import annotations

import hashlib
from collections.abc import Mapping
from typing import NamedTuple

import msgspec

from ..state_store import keys

_DIGEST_BYTES = 8
# Of a value: JSON may escape a character to several bytes, which `cut` counts.
PIECE_SHARE = 3 / 4


class TextRef(NamedTuple):
    """What finds a text again; stored as an array."""

    digest: str
    pieces: int


def key(job: str, ref: TextRef, number: int) -> str:
    """The key of one piece of a job's text."""
    return keys.text_chunk(job, ref.digest, number)


def cut(text: str, value_bytes: int) -> tuple[TextRef, list[bytes]]:
    """A text as encoded pieces, each within the limit of a value, and what finds it again."""
    most = max(1, int(value_bytes * PIECE_SHARE))
    pieces: list[str] = []
    size = most
    for character in text:
        width = len(msgspec.json.encode(character)) - 2  # without the quotes
        if size + width > most:
            pieces.append("")
            size = 0
        pieces[-1] += character
        size += width
    digest = hashlib.blake2b(text.encode(), digest_size=_DIGEST_BYTES).hexdigest()
    return TextRef(digest, len(pieces)), [msgspec.json.encode(piece) for piece in pieces]


def join(ref: TextRef, pieces: Mapping[tuple[str, int], str]) -> str | None:
    """The text again, None while pieces are missing."""
    found = [pieces.get((ref.digest, number)) for number in range(ref.pieces)]
    if any(piece is None for piece in found):
        return None
    return "".join(piece for piece in found if piece is not None)
