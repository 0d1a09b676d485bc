"""Differences between two texts as pieces that are copied and pieces that are new."""

from __future__ import annotations

from collections.abc import Iterable

from sycamorenotch_kernel import Piece

BLOCK_BYTES = 48
COMPARED_BYTES = 4096


def difference(base: bytes, new: bytes) -> tuple[Piece, ...]:
    """Return the pieces that make the new text from the base.

    Blocks of the base are found wherever they stand in the new text, so that
    several small edits far apart cost no more than their own bytes.
    """
    starts = range(0, len(base) - BLOCK_BYTES + 1, BLOCK_BYTES)
    index = {base[start : start + BLOCK_BYTES]: start for start in starts}
    pieces: list[Piece] = []
    literal = place = 0
    while place + BLOCK_BYTES <= len(new):
        found = index.get(new[place : place + BLOCK_BYTES])
        if found is None:
            place += 1
            continue
        back = _common_before(base, found, new, place, place - literal)
        length = back + _common_after(base, found, new, place)
        pieces.append(Piece(new[literal : place - back], found - back, length))
        place += length - back
        literal = place
    if literal < len(new):
        pieces.append(Piece(new[literal:], 0, 0))
    return tuple(pieces)


def apply_difference(base: bytes, pieces: Iterable[Piece]) -> bytes:
    """Return the text that pieces make from a base."""
    return b"".join(
        part
        for piece in pieces
        for part in (piece.new, base[piece.offset : piece.offset + piece.length])
    )


def _common_after(first: bytes, i: int, second: bytes, j: int) -> int:
    """Return the length of the common run that starts at two places."""
    most = min(len(first) - i, len(second) - j)
    done = 0
    while done < most:
        step = min(COMPARED_BYTES, most - done)
        left = first[i + done : i + done + step]
        right = second[j + done : j + done + step]
        if left != right:
            pairs = enumerate(zip(left, right, strict=True))
            return done + next(index for index, (a, b) in pairs if a != b)
        done += step
    return done


def _common_before(first: bytes, i: int, second: bytes, j: int, most: int) -> int:
    """Return the length of the common run that ends at two places."""
    limit = min(i, j, most)
    steps = range(limit)
    return next((n for n in steps if first[i - n - 1] != second[j - n - 1]), limit)
