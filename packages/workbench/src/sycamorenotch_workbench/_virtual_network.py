"""A fake of the network between virtual processes, under a virtual clock."""

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

LOCAL_LATENCY = timedelta(microseconds=500)


@final
class VirtualNetwork:
    """Carries data between hosts, with a latency and cuts between places."""

    def __init__(self) -> None:
        self.queue = EventQueue()
        self.listeners: dict[tuple[str, int], VirtualPort] = {}
        self._latencies: dict[tuple[str, str], timedelta] = {}
        self._cuts: set[frozenset[str]] = set()
        self._held: defaultdict[frozenset[str], list[Action]] = defaultdict(list)

    def set_latency(self, first: str, second: str, latency: timedelta) -> None:
        """Set the one-way latency between two places."""
        self._latencies[first, second] = latency
        self._latencies[second, first] = latency

    def latency(self, source: VirtualHost, target: VirtualHost) -> float:
        """Return the one-way latency between two hosts, in seconds."""
        key = (source.place, target.place)
        return self._latencies.get(key, LOCAL_LATENCY).total_seconds()

    def cut(self, first: str, second: str) -> None:
        """Hold all data between two places."""
        self._cuts.add(frozenset((first, second)))

    def heal(self) -> None:
        """End every cut and let the held data go on, in order."""
        self._cuts.clear()
        held, self._held = self._held, defaultdict(list)
        for actions in held.values():
            for action in actions:
                action()

    def is_cut(self, source: VirtualHost, target: VirtualHost) -> bool:
        """Return whether data between two hosts is held."""
        return frozenset((source.place, target.place)) in self._cuts

    def send(self, source: VirtualHost, target: VirtualHost, action: Action) -> None:
        """Run an action on the target host after the latency."""
        if self.is_cut(source, target):
            places = frozenset((source.place, target.place))
            self._held[places].append(lambda: self.send(source, target, action))
            return
        delay = self.latency(source, target)
        self.queue.call_later(delay, lambda: target.run(action))

    def step(self) -> bool:
        """Run the next scheduled call; return whether there was one."""
        return self.queue.step()

    def advance(self, duration: timedelta) -> None:
        """Run every call that is due within a duration."""
        self.queue.run_until(self.queue.seconds() + duration.total_seconds())
