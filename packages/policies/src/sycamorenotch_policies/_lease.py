"""Decides when to take, renew and give up a lease in the store."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta
from typing import final

from sycamorenotch_kernel import AttemptId
from sycamorenotch_kernel import InstanceId
from sycamorenotch_kernel import InstanceState
from sycamorenotch_kernel import ListedInstance
from sycamorenotch_kernel import Version
from sycamorenotch_policies._lease_life import LeaseStanding
from sycamorenotch_policies._lease_life import new_lease_life

# Covers clocks that do not run equally fast, and the time between the check
# of the clock and the write.
HOLDER_MARGIN = 0.2
RENEWALS_PER_DURATION = 3
CANDIDATES = 3


@final
@dataclass(frozen=True, slots=True)
class LeaseRecord:
    """The stored state of a lease.

    :param term: raised by one with every change of holder.
    :param attempt: unique identifier of the write.
    :param duration: time after which an observer counts it as lapsed if it
        has not been written again.
    :param released: whether the holder has given it up.
    """

    holder: InstanceId
    term: int
    attempt: AttemptId
    duration: timedelta
    released: bool = False


@final
@dataclass(frozen=True, slots=True)
class LeaseFound:
    """The store holds a lease."""

    record: LeaseRecord
    version: Version


@final
@dataclass(frozen=True, slots=True)
class LeaseMissing:
    """The store holds no lease."""


@final
@dataclass(frozen=True, slots=True)
class LeaseWritten:
    """The write took effect."""

    version: Version


@final
@dataclass(frozen=True, slots=True)
class LeaseFailed:
    """The call has no regular answer; a write may have taken effect."""

    detail: str


LeaseInput = LeaseFound | LeaseMissing | LeaseWritten | LeaseFailed


@final
@dataclass(frozen=True, slots=True)
class ReadLease:
    """Read the lease."""


@final
@dataclass(frozen=True, slots=True)
class WriteLease:
    """Write the lease.

    :param expected: version of the lease to replace; none to create it.
    """

    record: LeaseRecord
    expected: Version | None


LeaseCommand = ReadLease | WriteLease


@final
class Lease:
    """One instance's view of a lease; one call to the store at a time.

    :param me: the instance.
    :param duration: life of the lease from each renewal.
    """

    def __init__(self, me: InstanceId, duration: timedelta) -> None:
        self._me = me
        self._duration = duration
        self._standing = LeaseStanding()
        self._life = new_lease_life(self._standing)
        self._seen: LeaseFound | None = None
        self._seen_at: timedelta | None = None
        self._sent: LeaseRecord | None = None
        self._sent_at = timedelta()
        self._valid_until = timedelta()
        self._missing = False
        # The term that this process holds or held last; never one of an
        # earlier process under the same name.
        self._held_term: int | None = None

    @property
    def term(self) -> int:
        """The newest term that was seen, or 0."""
        return 0 if self._seen is None else self._seen.record.term

    @property
    def holder(self) -> InstanceId | None:
        """The newest holder that was seen, if the lease is not released."""
        if self._seen is None or self._seen.record.released:
            return None
        return self._seen.record.holder

    def is_held(self, now: timedelta) -> bool:
        """Return whether this instance may act as the holder.

        :param now: this instance's monotonic clock.
        """
        return self._standing.holding and now < self._valid_until

    def is_lapsed(self, now: timedelta) -> bool:
        """Return whether the lease may be taken.

        It has lapsed if its version has not changed for its duration, as seen
        by this instance's own monotonic clock.
        """
        if self._seen is None or self._seen_at is None:
            return self._missing
        record = self._seen.record
        return record.released or now - self._seen_at >= record.duration

    def step(
        self, now: timedelta, attempt: AttemptId, *, candidate: bool
    ) -> LeaseCommand:
        """Return the next call to the store.

        :param attempt: new identifier, for a write.
        :param candidate: whether this instance may take the lease.
        """
        if self._standing.holding and self._seen is not None:
            # A write in doubt is read back first.
            if self._sent is None:
                return self._write(now, attempt, self._seen.record.term)
            return ReadLease()
        if candidate and self._sent is None and self.is_lapsed(now):
            return self._write(now, attempt, self.term + 1)
        return ReadLease()

    def release(self, now: timedelta, attempt: AttemptId) -> WriteLease | None:
        """Return the write that gives the lease up, if it is held."""
        if not self.is_held(now):
            return None
        self._valid_until = now
        return self._write(now, attempt, self.term, released=True)

    def feed(self, event: LeaseInput, now: timedelta) -> None:
        """Take the answer to the last call."""
        if isinstance(event, LeaseFailed):
            # What was not observed to stay the same may have been renewed.
            self._seen_at = None
            self._missing = False
            self._life.doubt()
        elif isinstance(event, LeaseMissing):
            self._on_missing()
        elif isinstance(event, LeaseWritten):
            assert self._sent is not None
            self._confirm(LeaseFound(self._sent, event.version), now)
        elif self._sent is not None and event.record == self._sent:
            self._confirm(event, now)
        else:
            self._on_found(event, now)

    def _write(
        self, now: timedelta, attempt: AttemptId, term: int, *, released: bool = False
    ) -> WriteLease:
        record = LeaseRecord(self._me, term, attempt, self._duration, released)
        self._sent, self._sent_at = record, now
        self._life.write()
        return WriteLease(record, None if self._seen is None else self._seen.version)

    def _confirm(self, found: LeaseFound, now: timedelta) -> None:
        # The write took effect after it was sent, so that no observer counts
        # the lease as lapsed before the duration from then.
        self._valid_until = self._sent_at + self._duration * (1 - HOLDER_MARGIN)
        self._sent = None
        self._see(found, now)
        if found.record.released:
            self._give_up()
        else:
            self._held_term = found.record.term
            self._life.confirm()

    def _on_found(self, found: LeaseFound, now: timedelta) -> None:
        record = found.record
        own = record.holder == self._me and record.term == self._held_term
        self._sent = None
        self._see(found, now)
        if own and not record.released:
            # An older write of the same term, whose time is not known exactly,
            # does not extend the lease.
            self._life.confirm()
        else:
            self._give_up()

    def _give_up(self) -> None:
        self._held_term = None
        self._valid_until = timedelta()
        self._life.yield_()

    def _on_missing(self) -> None:
        self._seen = self._seen_at = self._sent = None
        self._missing = True
        self._give_up()

    def _see(self, found: LeaseFound, now: timedelta) -> None:
        self._missing = False
        known = self._seen is not None and self._seen.version == found.version
        if not known or self._seen_at is None:
            self._seen_at = now
        self._seen = found


def lease_candidates(
    lease: str, instances: Iterable[ListedInstance], count: int = CANDIDATES
) -> tuple[InstanceId, ...]:
    """Return the instances that try to take a lease, by rendezvous hashing.

    Instances whose lists differ may disagree; the conditional write decides.

    :param lease: name of the lease.
    """
    live = (item.id for item in instances if item.state is InstanceState.LIVE)
    ranked = sorted(set(live), key=lambda name: _weight(lease, name), reverse=True)
    return tuple(ranked[:count])


def _weight(lease: str, instance: InstanceId) -> bytes:
    return hashlib.sha256(f"{lease}\n{instance}".encode()).digest()
