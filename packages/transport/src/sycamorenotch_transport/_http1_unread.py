"""Finds the clients that leave responses unread."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any
from typing import Protocol
from typing import final

# The connections with unsent output are checked this often within the timeout.
CHECKS_PER_TIMEOUT = 8


class UnreadConnection(Protocol):
    """A connection with unsent output."""

    @property
    def read_progress(self) -> object:
        """Value that changes whenever the client reads."""
        ...

    def set_stalled(self, stalled: bool) -> None:
        """Record whether the client has read nothing since the last check."""
        ...

    def close_unread(self) -> None:
        """Close the connection, as its client reads nothing."""
        ...


@final
@dataclass(slots=True)
class _Reading:
    progress: object
    since: float


@final
class UnreadWatch:
    """Closes connections whose clients make no progress in reading.

    :param timeout_s: returns the maximum time without progress, in seconds.
    """

    def __init__(self, reactor: Any, timeout_s: Callable[[], float]) -> None:
        self._reactor = reactor
        self._timeout_s = timeout_s
        self._connections: dict[UnreadConnection, _Reading | None] = {}
        self._scheduled = False

    def add(self, connection: UnreadConnection) -> None:
        """Watch a connection, as it has unsent output."""
        self._connections.setdefault(connection)
        if not self._scheduled:
            self._schedule()

    def discard(self, connection: UnreadConnection) -> None:
        """Watch a connection no longer, as its output is sent or it is closed."""
        reading = self._connections.pop(connection, None)
        if reading is not None:
            connection.set_stalled(False)

    def _schedule(self) -> None:
        self._scheduled = True
        delay_s = self._timeout_s() / CHECKS_PER_TIMEOUT
        self._reactor.callLater(delay_s, self._check)

    def _check(self) -> None:
        self._scheduled = False
        now = self._reactor.seconds()
        for connection, reading in tuple(self._connections.items()):
            if connection not in self._connections:
                # It was evicted for another one in this loop.
                continue
            progress = connection.read_progress
            if reading is None or reading.progress != progress:
                if reading is not None:
                    connection.set_stalled(False)
                self._connections[connection] = _Reading(progress, now)
            elif now - reading.since >= self._timeout_s():
                connection.close_unread()
            else:
                connection.set_stalled(True)
        if self._connections and not self._scheduled:
            self._schedule()
