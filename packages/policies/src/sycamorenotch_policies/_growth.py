"""Growth of delays and limits by repeated doubling."""

from __future__ import annotations

# A larger power of two would overflow, and no limit is this many doublings away.
MAX_DOUBLINGS = 64


def doubled_s(initial_s: float, doublings: float, limit_s: float) -> float:
    """Return a time after a number of doublings, of any size, up to a limit."""
    grown_s: float = initial_s * 2.0 ** min(doublings, MAX_DOUBLINGS)
    return min(grown_s, limit_s)
