"""Adaptive idle timeout of the keep-alive connections to a service."""

from __future__ import annotations

from math import inf
from typing import final

from sycamorenotch_policies._growth import doubled_s

# A server that dropped an idle connection resets it within a round trip of the
# request. A later reset may be a crash of the worker.
MAX_RESET_DELAY_S = 0.2
# Servers keep connections open for longer than this; a reset after a shorter idle
# time has another cause.
MIN_IDLE_S = 0.25
# The new limit, as a factor of the idle time of the dropped connection.
IDLE_TIME_FACTOR = 0.5
# The limit doubles after each interval without a dropped connection.
DOUBLING_INTERVAL_S = 5.0
# From this limit on, only the timeout that the server announces applies. It is
# above the usual keep-alive timeouts of servers.
UNBOUNDED_FROM_S = 15.0


@final
class AdaptiveIdleTimeout:
    """Learns the idle time after which servers silently drop connections.

    All times are in seconds, ``now`` on the monotonic clock.
    """

    def __init__(self) -> None:
        self._limit_s = inf
        self._limited_at = 0.0

    def max_idle_s(self, now: float) -> float:
        """Return the idle time up to which a connection may be reused, in seconds."""
        if self._limit_s == inf:
            return inf
        doublings = (now - self._limited_at) // DOUBLING_INTERVAL_S
        limit_s = doubled_s(self._limit_s, doublings, UNBOUNDED_FROM_S)
        return inf if limit_s >= UNBOUNDED_FROM_S else limit_s

    def record_close(self, idle_s: float | None, after_s: float, now: float) -> bool:
        """Record a connection that was closed before the first byte of an answer.

        :param idle_s: idle time of the connection before the request; none for a
            new connection.
        :param after_s: time from the request to the close, in seconds.
        :return: whether the server seems to have dropped the connection while it
            was idle.
        """
        if idle_s is None or idle_s < MIN_IDLE_S or after_s > MAX_RESET_DELAY_S:
            return False
        self._limit_s = max(
            MIN_IDLE_S, min(self.max_idle_s(now), idle_s * IDLE_TIME_FACTOR)
        )
        self._limited_at = now
        return True
