"""How many owners of an object share its requests.

One owner suffices for most objects, and each further one costs a cold run. An object
that keeps its owners busy gets one more at a time, and loses it when demand ends.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import final

MAX_COPIES = 16
# Owners that have this many requests for each slot are too few.
BUSY_PER_SLOT = 1.0
# A further owner has to show its effect first.
MIN_GROWTH_INTERVAL_S = 0.25
COPY_LIFETIME_S = 10.0
MAX_OBJECTS = 1_024


@final
@dataclass(slots=True)
class _Copies:
    count: int
    changed_at: float


@final
class ObjectCopies:
    """Numbers of owners of the objects in demand; every other object has one."""

    def __init__(self) -> None:
        self._objects: OrderedDict[tuple[str, str], _Copies] = OrderedDict()

    def count(self, service: str, key: str, now: float) -> int:
        """Return how many owners share the requests for an object.

        :param now: monotonic time in seconds.
        """
        copies = self._objects.get((service, key))
        if copies is None:
            return 1
        lapsed = int((now - copies.changed_at) / COPY_LIFETIME_S)
        if lapsed:
            copies.count -= lapsed
            copies.changed_at = now
        if copies.count <= 1:
            del self._objects[service, key]
            return 1
        return copies.count

    def record_busy(self, service: str, key: str, now: float) -> None:
        """Record that all owners that share the object are busy."""
        copies = self._objects.setdefault((service, key), _Copies(1, -1e9))
        if now - copies.changed_at < MIN_GROWTH_INTERVAL_S:
            return
        copies.count = min(MAX_COPIES, copies.count + 1)
        copies.changed_at = now
        self._objects.move_to_end((service, key))
        if len(self._objects) > MAX_OBJECTS:
            self._objects.popitem(last=False)
