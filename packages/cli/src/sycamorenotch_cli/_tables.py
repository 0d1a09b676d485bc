"""Plain-text tables."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Sequence


def table(head: Sequence[str], rows: Iterable[Sequence[object]]) -> str:
    """Return a table with left-aligned columns."""
    lines = [tuple(head), *(tuple(map(str, row)) for row in rows)]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return "\n".join(
        "  ".join(cell.ljust(w) for cell, w in zip(line, widths, strict=True)).rstrip()
        for line in lines
    )
