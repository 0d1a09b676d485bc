"""Limit and rate limit on the connections to one upstream worker."""

from __future__ import annotations

from datetime import timedelta
from typing import final


@final
class ConnectionBudget:
    """Connections that one instance may open to one worker.

    :param limit: maximum number of open connections.
    :param interval: minimum time between two new connections: the worker's cost
        of one connection times the number of instances.
    """

    def __init__(self, limit: int, interval: timedelta) -> None:
        self.limit = limit
        self.interval = interval
        self.open = 0
        self._next_start = timedelta()

    def reserve(self, now: timedelta) -> timedelta | None:
        """Reserve one connection.

        :return: delay before connecting, or none if the limit is reached.
        """
        if self.open >= self.limit:
            return None
        self.open += 1
        starts_at = max(now, self._next_start)
        self._next_start = starts_at + self.interval
        return starts_at - now

    def release(self) -> None:
        """Release a reserved connection."""
        self.open -= 1
