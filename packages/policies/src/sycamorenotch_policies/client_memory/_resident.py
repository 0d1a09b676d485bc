"""Lowers the limit on the bytes of clients while the process holds more than that."""

from __future__ import annotations

from typing import Protocol
from typing import final

# The resident memory is read whenever this part of the limit has been charged, and the
# heap is trimmed when this part of it has been released.
CHECKED_PART = 1 / 32
TRIMMED_PART = 1 / 8
# The limit is not lowered below this part, so that some clients are served.
LEAST_PART = 1 / 8


class ProcessMemory(Protocol):
    """Memory of this process."""

    def resident_bytes(self) -> int:
        """Return the resident memory, or 0 if the system does not tell."""
        ...

    def trim(self) -> None:
        """Return unused memory of the heap to the system."""
        ...


@final
class ResidentLimit:
    """Limit on the counted bytes, which falls when resident memory has no room.

    Answers clients whose bytes are spread over the heap: buffers that grow little by
    little leave gaps, which belong to no client and are not counted.

    :param most_bytes: limit while there is room.
    :param ceiling_bytes: resident memory that the process may use.
    """

    def __init__(
        self, most_bytes: int, ceiling_bytes: int, memory: ProcessMemory
    ) -> None:
        self.total_bytes = most_bytes
        self._most = most_bytes
        self._ceiling = ceiling_bytes
        self._memory = memory
        self._charged = 0
        self._released = 0

    def record(self, size: int, used_bytes: int) -> None:
        """Record that bytes were charged, or released if negative.

        :param used_bytes: counted bytes after that.
        """
        if size < 0:
            self._released -= size
            return
        self._charged += size
        if self._charged >= self._most * CHECKED_PART:
            self._charged = 0
            self._update(used_bytes)

    def _update(self, used_bytes: int) -> None:
        room = self._room()
        trimmable = self._released >= self._most * TRIMMED_PART
        if used_bytes + room < self._most and trimmable:
            self._released = 0
            self._memory.trim()
            room = self._room()
        least = int(self._most * LEAST_PART)
        self.total_bytes = max(least, min(self._most, used_bytes + room))

    def _room(self) -> int:
        return self._ceiling - self._memory.resident_bytes()
