"""Limits and paces the connections to one upstream worker."""

from __future__ import annotations

from datetime import timedelta
from typing import final


@final
class ConnectionBudget:
    """Connections that one instance may hold to one worker.

    :param limit: open connections.
    :param interval: shortest time between two new connections, which is the
        worker's cost of one connection times the number of instances.
    """

    def __init__(self, limit: int, interval: timedelta) -> None:
        self.limit = limit
        self.interval = interval
        self.open = 0
        self._next = timedelta()

    def reserve(self, now: timedelta) -> timedelta | None:
        """Reserve one connection.

        :return: how long to wait before connecting, or nothing if every
            connection is in use.
        """
        if self.open >= self.limit:
            return None
        self.open += 1
        start = max(now, self._next)
        self._next = start + self.interval
        return start - now

    def release(self) -> None:
        """Give a connection back."""
        self.open -= 1
