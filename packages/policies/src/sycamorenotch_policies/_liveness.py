"""Failure detection by heartbeats: which instances are alive."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import final

from sycamorenotch_kernel import PeerEntry
from sycamorenotch_kernel import Resources
from sycamorenotch_policies._route_table import hash_to_unit_interval

# Single datagrams get lost; a loss of five in a row is rare.
MISSED_HEARTBEATS = 5
# Shortest interval between two heartbeats to one peer.
MIN_HEARTBEAT_INTERVAL_S = 0.5
# Most heartbeats that one instance sends per second, over all peers.
MAX_HEARTBEATS_PER_SECOND = 120.0
# An instance that reports no resources counts as one core and a gigabit link.
DEFAULT_RESOURCES = Resources(1.0, 1000.0)
NO_USAGE = Resources(0.0, 0.0)


def heartbeat_interval_s(peers: int) -> float:
    """Return the interval between heartbeats to each peer, in seconds.

    :param peers: number of peers.
    """
    return max(MIN_HEARTBEAT_INTERVAL_S, peers / MAX_HEARTBEATS_PER_SECOND)


@final
@dataclass(frozen=True, slots=True)
class Heartbeat:
    """State that an instance reports of itself in a heartbeat.

    :param sequence: rises with each heartbeat of one start.
    :param ready: whether it accepts requests.
    :param capacity: processors and link rate that it may use of its machine.
    :param usage: processors and link rate that it uses, as a moving average.
    """

    entry: PeerEntry
    sequence: int
    ready: bool
    capacity: Resources = DEFAULT_RESOURCES
    usage: Resources = NO_USAGE


@final
@dataclass(slots=True)
class _Received:
    heartbeat: Heartbeat
    received_at: float


@final
class Liveness:
    """Instances that this one considers alive by their heartbeats.

    An instance is alive until :data:`MISSED_HEARTBEATS` intervals have passed
    without a heartbeat from it. All times are seconds on the monotonic clock.

    :param own_id: identifier of this instance.
    """

    def __init__(self, own_id: str) -> None:
        self._own_id = own_id
        self._received: dict[str, _Received] = {}
        self._known: dict[str, PeerEntry] = {}

    def set_entries(self, entries: Iterable[PeerEntry]) -> None:
        """Set the entries of the store; an entry is no evidence of a live instance."""
        self._known = {entry.id: entry for entry in entries if entry.id != self._own_id}

    def observe(self, heartbeat: Heartbeat, now: float) -> bool:
        """Record a heartbeat; one that is not newer than the last is discarded.

        :return: whether the instance was not alive before.
        """
        name = heartbeat.entry.id
        if name == self._own_id:
            return False
        old = self._received.get(name)
        if old is not None and _version(heartbeat) <= _version(old.heartbeat):
            return False
        fresh = old is None or now - old.received_at > self._timeout_s()
        self._received[name] = _Received(heartbeat, now)
        return fresh

    def recipients(self) -> tuple[PeerEntry, ...]:
        """Return the instances to send heartbeats to."""
        entries = {
            name: received.heartbeat.entry for name, received in self._received.items()
        }
        return tuple({**entries, **self._known}.values())

    def live(self, now: float) -> tuple[PeerEntry, ...]:
        """Return the other instances that are alive and not leaving."""
        timeout_s = self._timeout_s()
        return tuple(
            received.heartbeat.entry
            for received in self._received.values()
            if now - received.received_at <= timeout_s
            and not received.heartbeat.entry.leaving
        )

    def serving(self, now: float) -> tuple[Heartbeat, ...]:
        """Return the newest heartbeats of the others that accept requests."""
        live = {entry.id for entry in self.live(now)}
        return tuple(
            received.heartbeat
            for name, received in self._received.items()
            if name in live and received.heartbeat.ready
        )

    def remove_silent(self, now: float) -> tuple[str, ...]:
        """Remove and return the instances whose heartbeats stopped."""
        gone = tuple(
            name
            for name, received in self._received.items()
            if now - received.received_at > self._timeout_s()
        )
        for name in gone:
            del self._received[name]
        return gone

    def owns(self, key: str, now: float) -> bool:
        """Return whether this instance owns a key, by rendezvous hashing.

        Each key has one owner if all live instances agree on who is alive.
        """
        own_weight = hash_to_unit_interval(key, self._own_id)
        return all(
            hash_to_unit_interval(key, entry.id) <= own_weight
            for entry in self.live(now)
        )

    def _timeout_s(self) -> float:
        return MISSED_HEARTBEATS * heartbeat_interval_s(len(self._received) + 1)


def _version(heartbeat: Heartbeat) -> tuple[int, int]:
    return heartbeat.entry.started, heartbeat.sequence
