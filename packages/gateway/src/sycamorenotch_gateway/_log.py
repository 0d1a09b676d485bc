"""Writes events to a file descriptor, rate limited and without blocking."""

from __future__ import annotations

import os
from collections import deque
from collections.abc import Callable
from typing import Any
from typing import final

import orjson
from eliot import add_destinations
from eliot import log_message

from sycamorenotch_gateway._events import LogDropped
from sycamorenotch_kernel import Event

# The limit applies per event number, so that a burst of one kind of event does not
# suppress the others.
MAX_LINES_PER_SECOND = 200
# Bounds the memory if the log is not read.
MAX_QUEUED_BYTES = 1_048_576
FLUSH_INTERVAL_S = 0.1


@final
class LogWriter:
    """Queues lines and writes them while the descriptor accepts data.

    :param descriptor: file descriptor of the log; it is made non-blocking.
    :param instance: name added to each line, so that logs can be merged.
    """

    def __init__(
        self, reactor: Any, descriptor: int, clock: Callable[[], float], instance: str
    ) -> None:
        self._instance = instance
        self._reactor = reactor
        self._descriptor = descriptor
        self._clock = clock
        self._queue: deque[bytes] = deque()
        self._queued_bytes = 0
        self._second = -1
        self._lines_this_second: dict[int, int] = {}
        self._timer: Any = None
        self.dropped = 0
        os.set_blocking(descriptor, False)
        add_destinations(self._enqueue)

    def emit(self, event: Event) -> None:
        """Queue one event, or count it as dropped if a limit is reached."""
        if not self._within_limits(event.number):
            self.dropped += 1
            return
        if self.dropped and event.number != LogDropped.number:
            dropped, self.dropped = self.dropped, 0
            self.emit(LogDropped(dropped))
        log_message(
            event.name,
            **{
                "event_number": event.number,
                "severity": event.severity.value,
                "instance": self._instance,
                **event.fields(),
            },
        )

    def flush(self) -> None:
        """Write as much of the queue as the descriptor accepts now."""
        self._timer = None
        while self._queue:
            data = b"".join(self._queue)
            self._queue.clear()
            self._queued_bytes = 0
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                written = 0
            except OSError:
                # The reader has closed the pipe, so the error cannot be logged either.
                return
            if written < len(data):
                self._queue.append(data[written:])
                self._queued_bytes = len(data) - written
                self._schedule_flush()
                return

    def _within_limits(self, number: int) -> bool:
        second = int(self._clock())
        if second != self._second:
            self._second = second
            self._lines_this_second.clear()
        count = self._lines_this_second.get(number, 0) + 1
        self._lines_this_second[number] = count
        return count <= MAX_LINES_PER_SECOND and self._queued_bytes < MAX_QUEUED_BYTES

    def _enqueue(self, message: dict[str, Any]) -> None:
        message.pop("task_uuid", None)
        message.pop("task_level", None)
        line = orjson.dumps(message, default=str) + b"\n"
        self._queue.append(line)
        self._queued_bytes += len(line)
        self._schedule_flush()

    def _schedule_flush(self) -> None:
        if self._timer is None:
            self._timer = self._reactor.callLater(FLUSH_INTERVAL_S, self.flush)
