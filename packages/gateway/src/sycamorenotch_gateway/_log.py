"""Writes events to standard output, bounded and without blocking."""

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

# Lines of one event number in one second; a burst of one kind does not hide
# the others.
LINES_PER_SECOND = 200
# Bytes that wait for a reader of the log.
WAITING_BYTES = 1_048_576
FLUSH_S = 0.1


@final
class LogWriter:
    """Queues lines and writes what the descriptor takes.

    :param descriptor: file descriptor of the log; set to not block.
    :param instance: name that each line bears, so that logs can be joined.
    """

    def __init__(
        self, reactor: Any, descriptor: int, clock: Callable[[], float], instance: str
    ) -> None:
        self._instance = instance
        self._reactor = reactor
        self._descriptor = descriptor
        self._clock = clock
        self._waiting: deque[bytes] = deque()
        self._size = 0
        self._second = -1
        self._lines: dict[int, int] = {}
        self._timer: Any = None
        self.dropped = 0
        os.set_blocking(descriptor, False)
        add_destinations(self._take)

    def emit(self, event: Event) -> None:
        """Write one event, or count it as dropped."""
        if not self._admit(event.number):
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
        """Write what the descriptor takes now."""
        self._timer = None
        while self._waiting:
            data = b"".join(self._waiting)
            self._waiting.clear()
            self._size = 0
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                written = 0
            except OSError:
                # Nobody can read the log any more; there is nobody to tell.
                return
            if written < len(data):
                self._waiting.append(data[written:])
                self._size = len(data) - written
                self._arm()
                return

    def _admit(self, number: int) -> bool:
        second = int(self._clock())
        if second != self._second:
            self._second = second
            self._lines.clear()
        count = self._lines.get(number, 0) + 1
        self._lines[number] = count
        return count <= LINES_PER_SECOND and self._size < WAITING_BYTES

    def _take(self, message: dict[str, Any]) -> None:
        message.pop("task_uuid", None)
        message.pop("task_level", None)
        line = orjson.dumps(message, default=str) + b"\n"
        self._waiting.append(line)
        self._size += len(line)
        self._arm()

    def _arm(self) -> None:
        if self._timer is None:
            self._timer = self._reactor.callLater(FLUSH_S, self.flush)
