"""Decisions about acquiring, renewing and releasing a lease in the store."""

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
from sycamorenotch_policies._lease_state_machine import LeaseStatus
from sycamorenotch_policies._lease_state_machine import new_lease_state_machine

# Share of the duration for which the holder no longer acts. It covers clocks that
# run at different rates and the time between a check of the clock and a write.
HOLDER_MARGIN_SHARE = 0.2
RENEWALS_PER_DURATION = 3
CANDIDATE_COUNT = 3


@final
@dataclass(frozen=True, slots=True)
class LeaseRecord:
    """The stored state of a lease.

    :param term: fencing number, raised by one with every change of holder.
    :param attempt: unique identifier of the write.
    :param duration: time after which observers treat the lease as lapsed unless
        it has been written again.
    :param released: whether the holder has released it.
    """

    holder: InstanceId
    term: int
    attempt: AttemptId
    duration: timedelta
    released: bool = False


@final
@dataclass(frozen=True, slots=True)
class LeaseFound:
    """Result of a read or of a conflicting write: the lease as stored."""

    record: LeaseRecord
    version: Version


@final
@dataclass(frozen=True, slots=True)
class LeaseMissing:
    """Result of a read or write: the store has no such lease."""


@final
@dataclass(frozen=True, slots=True)
class LeaseWritten:
    """Result of a write that took effect.

    :param version: version of the lease as written.
    """

    version: Version


@final
@dataclass(frozen=True, slots=True)
class LeaseFailed:
    """Result of a failed call; the outcome of a write is unknown."""

    detail: str


LeaseResult = LeaseFound | LeaseMissing | LeaseWritten | LeaseFailed


@final
@dataclass(frozen=True, slots=True)
class ReadLease:
    """Command to read the lease."""


@final
@dataclass(frozen=True, slots=True)
class WriteLease:
    """Command to write the lease on condition of its version.

    :param expected: version of the lease to replace; None to create it.
    """

    record: LeaseRecord
    expected: Version | None


LeaseCommand = ReadLease | WriteLease


@final
class Lease:
    """State of a lease at one instance, with one store call at a time.

    :param own_id: identifier of the instance.
    :param duration: validity of the lease from each renewal.
    """

    def __init__(self, own_id: InstanceId, duration: timedelta) -> None:
        self._own_id = own_id
        self._duration = duration
        self._status = LeaseStatus()
        self._state_machine = new_lease_state_machine(self._status)
        self._observed: LeaseFound | None = None
        self._observed_at: timedelta | None = None
        self._unconfirmed_write: LeaseRecord | None = None
        self._write_sent_at = timedelta()
        self._valid_until = timedelta()
        self._missing = False
        # Term that this process holds or held last. A record of an earlier process
        # with the same name does not count as its own.
        self._held_term: int | None = None

    @property
    def term(self) -> int:
        """The newest observed term, or 0 if none."""
        return 0 if self._observed is None else self._observed.record.term

    @property
    def holder(self) -> InstanceId | None:
        """The newest observed holder; None if unknown or if the lease is released."""
        if self._observed is None or self._observed.record.released:
            return None
        return self._observed.record.holder

    def is_held(self, now: timedelta) -> bool:
        """Return whether this instance may act as the holder.

        :param now: monotonic clock of this instance.
        """
        return self._status.holding and now < self._valid_until

    def is_lapsed(self, now: timedelta) -> bool:
        """Return whether the lease may be acquired.

        It has lapsed if its version has not changed for its duration by this
        instance's own monotonic clock, or if it was released or is missing.
        """
        if self._observed is None or self._observed_at is None:
            return self._missing
        record = self._observed.record
        return record.released or now - self._observed_at >= record.duration

    def step(
        self, now: timedelta, attempt: AttemptId, *, candidate: bool
    ) -> LeaseCommand:
        """Return the next call to the store.

        :param now: monotonic clock of this instance.
        :param attempt: new unique identifier, used if the call is a write.
        :param candidate: whether this instance may acquire the lease.
        """
        if self._status.holding and self._observed is not None:
            # After a write with unknown outcome the lease is read first.
            if self._unconfirmed_write is None:
                return self._write(now, attempt, self._observed.record.term)
            return ReadLease()
        if candidate and self._unconfirmed_write is None and self.is_lapsed(now):
            return self._write(now, attempt, self.term + 1)
        return ReadLease()

    def release(self, now: timedelta, attempt: AttemptId) -> WriteLease | None:
        """Return the write that releases the lease, or None if it is not held.

        :param now: monotonic clock of this instance.
        :param attempt: new unique identifier of the write.
        """
        if not self.is_held(now):
            return None
        self._valid_until = now
        return self._write(now, attempt, self.term, released=True)

    def apply_result(self, result: LeaseResult, now: timedelta) -> None:
        """Apply the result of the last call to the store.

        :param now: monotonic clock of this instance.
        """
        if isinstance(result, LeaseFailed):
            # The lease may have been renewed while the store was unreachable, so the
            # time without a change starts anew.
            self._observed_at = None
            self._missing = False
            self._state_machine.mark_unknown()
        elif isinstance(result, LeaseMissing):
            self._on_missing()
        elif isinstance(result, LeaseWritten):
            assert self._unconfirmed_write is not None
            self._confirm(LeaseFound(self._unconfirmed_write, result.version), now)
        elif (
            self._unconfirmed_write is not None
            and result.record == self._unconfirmed_write
        ):
            self._confirm(result, now)
        else:
            self._on_found(result, now)

    def _write(
        self, now: timedelta, attempt: AttemptId, term: int, *, released: bool = False
    ) -> WriteLease:
        record = LeaseRecord(self._own_id, term, attempt, self._duration, released)
        self._unconfirmed_write, self._write_sent_at = record, now
        self._state_machine.write()
        return WriteLease(
            record, None if self._observed is None else self._observed.version
        )

    def _confirm(self, found: LeaseFound, now: timedelta) -> None:
        # The write took effect after it was sent, so no observer treats the lease
        # as lapsed earlier than one duration after that.
        self._valid_until = self._write_sent_at + self._duration * (
            1 - HOLDER_MARGIN_SHARE
        )
        self._unconfirmed_write = None
        self._observe(found, now)
        if found.record.released:
            self._step_down()
        else:
            self._held_term = found.record.term
            self._state_machine.confirm()

    def _on_found(self, found: LeaseFound, now: timedelta) -> None:
        record = found.record
        own = record.holder == self._own_id and record.term == self._held_term
        self._unconfirmed_write = None
        self._observe(found, now)
        if own and not record.released:
            # An earlier write of the same term does not extend the lease, as the
            # time at which it was sent is unknown.
            self._state_machine.confirm()
        else:
            self._step_down()

    def _step_down(self) -> None:
        self._held_term = None
        self._valid_until = timedelta()
        self._state_machine.step_down()

    def _on_missing(self) -> None:
        self._observed = self._observed_at = self._unconfirmed_write = None
        self._missing = True
        self._step_down()

    def _observe(self, found: LeaseFound, now: timedelta) -> None:
        self._missing = False
        known = self._observed is not None and self._observed.version == found.version
        if not known or self._observed_at is None:
            self._observed_at = now
        self._observed = found


def lease_candidates(
    lease: str, instances: Iterable[ListedInstance], count: int = CANDIDATE_COUNT
) -> tuple[InstanceId, ...]:
    """Return the instances that compete for a lease, by rendezvous hashing.

    Instances with different lists may disagree; the conditional write decides.

    :param lease: name of the lease.
    :param count: number of candidates.
    """
    live = (item.id for item in instances if item.state is InstanceState.LIVE)
    ranked = sorted(set(live), key=lambda name: _weight(lease, name), reverse=True)
    return tuple(ranked[:count])


def _weight(lease: str, instance: InstanceId) -> bytes:
    return hashlib.sha256(f"{lease}\n{instance}".encode()).digest()
