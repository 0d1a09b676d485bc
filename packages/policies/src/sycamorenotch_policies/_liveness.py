"""Failure detection by heartbeats: which instances are alive."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from typing import final

from sycamorenotch_kernel import PeerEntry
from sycamorenotch_kernel import Resources
from sycamorenotch_policies._quarantine import AnsweredRequest
from sycamorenotch_policies._rate_limit import RateLimitReport
from sycamorenotch_policies._route_table import hash_to_unit_interval

# Single datagrams get lost; a loss of so many in a row is rare.
MISSED_HEARTBEATS = 5
# At longer intervals, to detect a dead instance of a large region in time.
MISSED_LONG_HEARTBEATS = 4
LONG_INTERVAL_S = 1.0
# Shortest interval between two heartbeats to one peer.
MIN_HEARTBEAT_INTERVAL_S = 0.5
# Most heartbeats that one instance sends per second: to peers of its own region, which
# its look-up answers name, and to all others.
MAX_NEAR_HEARTBEATS_PER_SECOND = 90.0
MAX_FAR_HEARTBEATS_PER_SECOND = 30.0
# Absorbs rounding in sums of fractions.
EPSILON = 1e-9
# An instance that reports no resources counts as one core and a gigabit link.
DEFAULT_RESOURCES = Resources(1.0, 1000.0)
NO_USAGE = Resources(0.0, 0.0)


def near_interval_s(peers: int) -> float:
    """Return the interval between heartbeats to a peer of the own region, in seconds.

    :param peers: number of such peers.
    """
    return max(MIN_HEARTBEAT_INTERVAL_S, peers / MAX_NEAR_HEARTBEATS_PER_SECOND)


def far_interval_s(peers: int) -> float:
    """Return the interval between heartbeats to a peer of another region, in seconds.

    :param peers: number of such peers.
    """
    return max(MIN_HEARTBEAT_INTERVAL_S, peers / MAX_FAR_HEARTBEATS_PER_SECOND)


def timeout_s(interval_s: float) -> float:
    """Return the silence after which a peer is dead, in seconds."""
    long = interval_s > LONG_INTERVAL_S
    return interval_s * (MISSED_LONG_HEARTBEATS if long else MISSED_HEARTBEATS)


@final
@dataclass(frozen=True, slots=True)
class Heartbeat:
    """State that an instance reports of itself in a heartbeat.

    :param sequence: rises with each heartbeat of one start.
    :param ready: whether it accepts requests.
    :param capacity: processors and link rate that it may use of its machine.
    :param usage: processors and link rate that it uses, as a moving average.
    :param demand: requests per second that callers send it, by service; none if it
        does not report them.
    :param limits: rate limits of workers that it observed lately.
    :param quotas: its demand of customers with quotas, as encoded; none if it states
        none.
    :param answered: requests that it saw answered after workers were lost with them.
    """

    entry: PeerEntry
    sequence: int
    ready: bool
    capacity: Resources = DEFAULT_RESOURCES
    usage: Resources = NO_USAGE
    demand: Mapping[str, float] | None = None
    limits: tuple[RateLimitReport, ...] = ()
    quotas: bytes | None = None
    answered: tuple[AnsweredRequest, ...] = ()


@final
@dataclass(slots=True)
class _Received:
    heartbeat: Heartbeat
    received_at: float


@final
class Liveness:
    """Instances that this one considers alive by their heartbeats.

    An instance is alive until several heartbeats from it are missing. Those of the own
    region are heard from more often, as look-up answers name them. All times are
    seconds on the monotonic clock.

    :param own_id: identifier of this instance.
    :param region: region of this instance.
    """

    def __init__(self, own_id: str, region: str) -> None:
        self._own_id = own_id
        self._region = region
        self._received: dict[str, _Received] = {}
        self._known: dict[str, PeerEntry] = {}
        # Far peers that wait for a heartbeat, and the fraction of the next one.
        self._far_turn: deque[str] = deque()
        self._far_credit = 0.0

    def set_entries(self, entries: Iterable[PeerEntry]) -> None:
        """Set the entries of the store; an entry is no evidence of a live instance."""
        self._known = {entry.id: entry for entry in entries if entry.id != self._own_id}

    def observe(self, heartbeat: Heartbeat, now: float) -> bool:
        """Record a heartbeat; one that is not newer than the last is discarded.

        :return: whether the instance was not alive before, or has restarted and so
            knows of no others.
        """
        name = heartbeat.entry.id
        if name == self._own_id:
            return False
        old = self._received.get(name)
        if old is not None and _version(heartbeat) <= _version(old.heartbeat):
            return False
        fresh = (
            old is None
            or old.heartbeat.entry.started != heartbeat.entry.started
            or not self._is_alive(old, now, self._timeouts())
        )
        self._received[name] = _Received(heartbeat, now)
        return fresh

    @property
    def interval_s(self) -> float:
        """Time between two turns of heartbeats, in seconds."""
        near, _ = self._split_recipients()
        return near_interval_s(len(near))

    @property
    def longest_interval_s(self) -> float:
        """Longest interval between two heartbeats of one instance, in seconds."""
        near, far = self._split_recipients()
        if not far:
            return near_interval_s(len(near))
        # As other regions may be larger than the own one, and send in longer turns.
        turn_s = near_interval_s(max(len(near), len(far)))
        return max(turn_s, far_interval_s(len(far)))

    def is_newest(self, heartbeat: Heartbeat) -> bool:
        """Return whether a heartbeat is the last one recorded of its instance."""
        received = self._received.get(heartbeat.entry.id)
        return received is not None and received.heartbeat is heartbeat

    def next_recipients(self) -> tuple[PeerEntry, ...]:
        """Return the instances that get a heartbeat in this turn.

        These are all of the own region, and some of the others by turns.
        """
        near, far = self._split_recipients()
        turns = far_interval_s(len(far)) / near_interval_s(len(near))
        self._far_credit = min(self._far_credit + len(far) / max(1.0, turns), len(far))
        due = []
        self._far_turn = deque(name for name in self._far_turn if name in far)
        while self._far_credit >= 1.0 - EPSILON:
            if not self._far_turn:
                self._far_turn.extend(sorted(far))
            due.append(far[self._far_turn.popleft()])
            self._far_credit -= 1.0
        return (*near.values(), *due)

    def recipients(self) -> tuple[PeerEntry, ...]:
        """Return all instances that get heartbeats."""
        entries = {
            name: received.heartbeat.entry for name, received in self._received.items()
        }
        return tuple({**entries, **self._known}.values())

    def live(self, now: float) -> tuple[PeerEntry, ...]:
        """Return the other instances that are alive and not leaving."""
        timeouts = self._timeouts()
        return tuple(
            received.heartbeat.entry
            for received in self._received.values()
            if self._is_alive(received, now, timeouts)
            and not received.heartbeat.entry.leaving
        )

    def capacities(self) -> dict[str, Resources]:
        """Return the capacities of the other instances, by their identifiers."""
        return {
            received.heartbeat.entry.id: received.heartbeat.capacity
            for received in self._received.values()
        }

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
        timeouts = self._timeouts()
        gone = tuple(
            name
            for name, received in self._received.items()
            if not self._is_alive(received, now, timeouts)
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

    def _split_recipients(self) -> tuple[dict[str, PeerEntry], dict[str, PeerEntry]]:
        """Return the recipients of the own region and those of others, by name."""
        near: dict[str, PeerEntry] = {}
        far: dict[str, PeerEntry] = {}
        for entry in self.recipients():
            (near if entry.region == self._region else far)[entry.id] = entry
        return near, far

    def _timeouts(self) -> tuple[float, float]:
        """Return the silence after which a near and a far instance is dead.

        All instances have about the same peers, and so the same intervals.
        """
        count = sum(
            received.heartbeat.entry.region == self._region
            for received in self._received.values()
        )
        far_count = len(self._received) - count
        # A far instance may have more peers of its own region than this one has, and
        # sends in turns of that length.
        turn_s = near_interval_s(max(count, far_count) + 1)
        far_s = max(far_interval_s(len(self._received) + 1), turn_s)
        return timeout_s(near_interval_s(count + 1)), timeout_s(far_s)

    def _is_alive(
        self, received: _Received, now: float, timeouts: tuple[float, float]
    ) -> bool:
        near_s, far_s = timeouts
        near = received.heartbeat.entry.region == self._region
        return now - received.received_at <= (near_s if near else far_s)


def _version(heartbeat: Heartbeat) -> tuple[int, int]:
    return heartbeat.entry.started, heartbeat.sequence
