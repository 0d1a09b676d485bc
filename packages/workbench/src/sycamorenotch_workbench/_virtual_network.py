"""Simulated network between processes under a virtual clock."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from datetime import timedelta
from typing import TYPE_CHECKING
from typing import final

from sycamorenotch_workbench._event_queue import EventQueue

if TYPE_CHECKING:
    from sycamorenotch_workbench._virtual_host import VirtualHost
    from sycamorenotch_workbench._virtual_host import VirtualPort

Action = Callable[[], None]

DEFAULT_LATENCY = timedelta(microseconds=500)


@final
class VirtualNetwork:
    """Delivers data between hosts, with latencies and partitions of locations."""

    def __init__(self) -> None:
        self.queue = EventQueue()
        self.listeners: dict[tuple[str, int], VirtualPort] = {}
        self._latencies: dict[tuple[str, str], timedelta] = {}
        self._partitions: set[frozenset[str]] = set()
        self._queued: defaultdict[frozenset[str], list[Action]] = defaultdict(list)

    def set_latency(self, first: str, second: str, latency: timedelta) -> None:
        """Set the one-way latency between two locations, in both directions."""
        self._latencies[first, second] = latency
        self._latencies[second, first] = latency

    def latency(self, source: VirtualHost, target: VirtualHost) -> float:
        """Return the one-way latency between two hosts, in seconds."""
        key = (source.location, target.location)
        return self._latencies.get(key, DEFAULT_LATENCY).total_seconds()

    def partition(self, first: str, second: str) -> None:
        """Partition two locations: data between them is queued until it heals."""
        self._partitions.add(frozenset((first, second)))

    def heal(self) -> None:
        """End every partition and send the queued data in order."""
        self._partitions.clear()
        queued, self._queued = self._queued, defaultdict(list)
        for actions in queued.values():
            for action in actions:
                action()

    def is_partitioned(self, source: VirtualHost, target: VirtualHost) -> bool:
        """Return whether two hosts are partitioned from each other."""
        return frozenset((source.location, target.location)) in self._partitions

    def send(self, source: VirtualHost, target: VirtualHost, action: Action) -> None:
        """Run an action on the target host after the latency."""
        if self.is_partitioned(source, target):
            locations = frozenset((source.location, target.location))
            self._queued[locations].append(lambda: self.send(source, target, action))
            return
        delay = self.latency(source, target)
        self.queue.call_later(delay, lambda: target.run(action))

    def step(self) -> bool:
        """Run the next scheduled call.

        :return: whether a call was run.
        """
        return self.queue.step()

    def advance(self, duration: timedelta) -> None:
        """Advance the virtual clock and run every call that becomes due."""
        self.queue.run_until(self.queue.seconds() + duration.total_seconds())
