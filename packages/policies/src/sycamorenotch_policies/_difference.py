"""Delta encoding of a text against a base, as copied and new pieces."""

from __future__ import annotations

from collections.abc import Iterable

from sycamorenotch_kernel import Piece

BLOCK_BYTES = 48
CHUNK_BYTES = 4096


def difference(base: bytes, new: bytes) -> tuple[Piece, ...]:
    """Return the pieces that produce a new text from a base.

    Blocks of the base are found at any offset in the new text, so that several
    small edits far apart cost little more than their own bytes.
    """
    starts = range(0, len(base) - BLOCK_BYTES + 1, BLOCK_BYTES)
    index = {base[start : start + BLOCK_BYTES]: start for start in starts}
    pieces: list[Piece] = []
    literal_start = position = 0
    while position + BLOCK_BYTES <= len(new):
        found = index.get(new[position : position + BLOCK_BYTES])
        if found is None:
            position += 1
            continue
        before = _common_before(base, found, new, position, position - literal_start)
        length = before + _common_after(base, found, new, position)
        pieces.append(
            Piece(new[literal_start : position - before], found - before, length)
        )
        position += length - before
        literal_start = position
    if literal_start < len(new):
        pieces.append(Piece(new[literal_start:], 0, 0))
    return tuple(pieces)


def apply_difference(base: bytes, pieces: Iterable[Piece]) -> bytes:
    """Return the text that pieces produce from a base."""
    return b"".join(
        part
        for piece in pieces
        for part in (piece.new, base[piece.offset : piece.offset + piece.length])
    )


def _common_after(first: bytes, i: int, second: bytes, j: int) -> int:
    """Return the length of the common run that starts at two offsets."""
    most = min(len(first) - i, len(second) - j)
    matched = 0
    while matched < most:
        step = min(CHUNK_BYTES, most - matched)
        left = first[i + matched : i + matched + step]
        right = second[j + matched : j + matched + step]
        if left != right:
            byte_pairs = enumerate(zip(left, right, strict=True))
            return matched + next(index for index, (a, b) in byte_pairs if a != b)
        matched += step
    return matched


def _common_before(first: bytes, i: int, second: bytes, j: int, most: int) -> int:
    """Return the length of the common run that ends before two offsets.

    :param most: upper bound of the length.
    """
    limit = min(i, j, most)
    steps = range(limit)
    return next((n for n in steps if first[i - n - 1] != second[j - n - 1]), limit)
