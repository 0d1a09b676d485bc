"""Admission control of a service by rank, floor and deadline."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator
from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol
from typing import final

from sycamorenotch_kernel import ErrorKind
from sycamorenotch_kernel import Failure
from sycamorenotch_kernel import Invariant
from sycamorenotch_kernel import InvariantMonitor
from sycamorenotch_kernel import Ran
from sycamorenotch_kernel import Rank
from sycamorenotch_kernel import RankPolicy
from sycamorenotch_kernel import admission_disciplines
from sycamorenotch_policies._concurrency import ConcurrencyLimit
from sycamorenotch_policies._outcomes import Outcome

MAX_QUEUED_PER_RANK = 1024
# Largest share of the time left until its deadline that a request may be queued.
MAX_WAIT_SHARE = 0.5
# Bounds the expected wait when the floors of less urgent ranks add up to nearly 1.
MIN_CAPACITY_SHARE = 0.1
LATENCY_WEIGHT = 0.1
# A waiting rank with this much credit has not received its floor (I10).
MAX_CREDIT = 4.0
MIN_RETRY_AFTER = timedelta(seconds=1)
MAX_RETRY_AFTER = timedelta(seconds=30)


@final
@dataclass(frozen=True, slots=True)
class Ticket:
    """A request that asks for a slot.

    :param id: unique among the requests of the service.
    :param deadline: monotonic time.
    """

    id: str
    rank: Rank
    deadline: timedelta


@final
@dataclass(frozen=True, slots=True)
class Admitted:
    """The request may run and holds a slot until it is released."""

    ticket: Ticket


@final
@dataclass(frozen=True, slots=True)
class Queued:
    """The request is queued; a later decision on its ticket follows."""

    ticket: Ticket


@final
@dataclass(frozen=True, slots=True)
class Refused:
    """The request was refused and did not run."""

    ticket: Ticket
    failure: Failure


AdmissionDecision = Admitted | Queued | Refused
AdmissionDecisions = tuple[AdmissionDecision, ...]


@final
@dataclass(frozen=True, slots=True)
class AdmissionSetup:
    """Dependencies and parameters of an admission discipline.

    :param slots: the instance's grant for the service, in concurrent requests.
    :param service_time: expected service time of one request.
    """

    slots: int
    ranks: Mapping[Rank, RankPolicy]
    service_time: timedelta
    invariants: InvariantMonitor


class AdmissionDiscipline(Protocol):
    """Decides which requests of one service may run on this instance."""

    def offer(self, ticket: Ticket, now: timedelta) -> AdmissionDecision:
        """Admit, queue or refuse a new request."""
        ...

    def release(
        self, ticket: Ticket, latency: timedelta, outcome: Outcome, now: timedelta
    ) -> AdmissionDecisions:
        """Free the slot of an admitted request and decide on queued ones.

        :param latency: time that the request spent at its upstream.
        """
        ...

    def cancel(self, ticket: Ticket) -> None:
        """Remove a queued request whose caller has disconnected."""
        ...

    def expire(self, now: timedelta) -> AdmissionDecisions:
        """Refuse the queued requests that can no longer meet their deadline."""
        ...

    def resize(self, slots: int, now: timedelta) -> AdmissionDecisions:
        """Replace the grant and decide on queued requests."""
        ...


@admission_disciplines.register("unlimited")
@final
class UnlimitedAdmission:
    """Admits every request; a baseline for comparison."""

    def __init__(self, setup: AdmissionSetup) -> None:
        self.running = 0

    def offer(self, ticket: Ticket, now: timedelta) -> AdmissionDecision:
        """Admit the request."""
        self.running += 1
        return Admitted(ticket)

    def release(
        self, ticket: Ticket, latency: timedelta, outcome: Outcome, now: timedelta
    ) -> AdmissionDecisions:
        """Count the end of a request."""
        self.running -= 1
        return ()

    def cancel(self, ticket: Ticket) -> None:
        """Do nothing; no request is queued."""

    def expire(self, now: timedelta) -> AdmissionDecisions:
        """Return no decisions; no request is queued."""
        return ()

    def resize(self, slots: int, now: timedelta) -> AdmissionDecisions:
        """Return no decisions; the grant is not used."""
        return ()


@admission_disciplines.register("ranked")
@final
class RankedAdmission:
    """Strict priority by rank with a guaranteed minimum share (floor) per rank.

    A free slot is never withheld. While requests are queued, each free slot adds
    the floor of each waiting rank to that rank's credit. A rank with at least
    one credit goes first and spends it; otherwise the most urgent rank goes.
    So each waiting rank gets at least its floor's share of the starts, for any
    number of slots.
    """

    def __init__(self, setup: AdmissionSetup) -> None:
        self._ranks = setup.ranks
        self._invariants = setup.invariants
        self._limit = ConcurrencyLimit(setup.slots, setup.service_time)
        self._latency_s = setup.service_time.total_seconds()
        self._queues: dict[Rank, OrderedDict[str, Ticket]] = {
            rank: OrderedDict() for rank in sorted(setup.ranks)
        }
        self._credits = dict.fromkeys(self._queues, 0.0)
        self.running = dict.fromkeys(self._queues, 0)
        self._total_running = 0
        self._started: dict[str, timedelta] = {}

    @property
    def limit(self) -> int:
        """The number of requests that may run at once."""
        return self._limit.limit

    @property
    def queued(self) -> int:
        """The number of queued requests."""
        return sum(map(len, self._queues.values()))

    def offer(self, ticket: Ticket, now: timedelta) -> AdmissionDecision:
        """Admit, queue or refuse a new request."""
        if self._total_running < self.limit and not self.queued:
            return self._start(ticket, now)
        wait = self._expected_wait(ticket.rank)
        time_left = ticket.deadline - now
        if wait is None or len(self._queues[ticket.rank]) >= MAX_QUEUED_PER_RANK:
            detail = "the queue of the rank is full or the instance has no slots"
            return _refuse(ticket, ErrorKind.OVERLOADED, detail, wait)
        if wait + self._latency > time_left:
            detail = "the expected wait exceeds the deadline"
            return _refuse(ticket, ErrorKind.DEADLINE_HOPELESS, detail, wait)
        if wait > time_left * MAX_WAIT_SHARE:
            detail = "the expected wait would use too much of the time limit"
            return _refuse(ticket, ErrorKind.OVERLOADED, detail, wait)
        self._queues[ticket.rank][ticket.id] = ticket
        return Queued(ticket)

    def release(
        self, ticket: Ticket, latency: timedelta, outcome: Outcome, now: timedelta
    ) -> AdmissionDecisions:
        """Free the slot of an admitted request and decide on queued ones."""
        self.running[ticket.rank] -= 1
        self._total_running -= 1
        self._limit.observe(latency, outcome)
        held_for = now - self._started.pop(ticket.id)
        if outcome is Outcome.ANSWERED:
            # The slot is also held during the claim, not only at the upstream.
            change = held_for.total_seconds() - self._latency_s
            self._latency_s += LATENCY_WEIGHT * change
        return self._admit_queued(now)

    def cancel(self, ticket: Ticket) -> None:
        """Remove a queued request whose caller has disconnected."""
        self._queues[ticket.rank].pop(ticket.id, None)

    def expire(self, now: timedelta) -> AdmissionDecisions:
        """Refuse the queued requests that can no longer meet their deadline."""
        late = [
            ticket
            for queue in self._queues.values()
            for ticket in queue.values()
            if self._would_miss_deadline(ticket, now)
        ]
        for ticket in late:
            del self._queues[ticket.rank][ticket.id]
        return (*map(self._refuse_late, late), *self._admit_queued(now))

    def resize(self, slots: int, now: timedelta) -> AdmissionDecisions:
        """Replace the grant and decide on queued requests."""
        self._limit.resize(slots)
        return self._admit_queued(now)

    @property
    def _latency(self) -> timedelta:
        return timedelta(seconds=self._latency_s)

    def _start(self, ticket: Ticket, now: timedelta) -> Admitted:
        self.running[ticket.rank] += 1
        self._total_running += 1
        self._started[ticket.id] = now
        return Admitted(ticket)

    def _admit_queued(self, now: timedelta) -> AdmissionDecisions:
        return tuple(self._decide_queued(now))

    def _decide_queued(self, now: timedelta) -> Iterator[AdmissionDecision]:
        while self._total_running < self.limit:
            yield from self._refuse_late_heads(now)
            waiting = [rank for rank, queue in self._queues.items() if queue]
            if not waiting:
                return
            rank = self._next_rank(waiting)
            _, ticket = self._queues[rank].popitem(last=False)
            if self._floors_hold(rank, waiting):
                yield self._start(ticket, now)
            else:
                detail = "the guaranteed share of another rank would be violated"
                yield _refuse(ticket, ErrorKind.INVARIANT, detail, None)

    def _refuse_late_heads(self, now: timedelta) -> Iterator[AdmissionDecision]:
        for queue in self._queues.values():
            while queue and self._would_miss_deadline(next(iter(queue.values())), now):
                _, ticket = queue.popitem(last=False)
                yield self._refuse_late(ticket)

    def _next_rank(self, waiting: list[Rank]) -> Rank:
        for rank in self._queues:
            # A rank without queued requests loses its credit.
            earned = self._credits[rank] + self._ranks[rank].floor
            self._credits[rank] = earned if rank in waiting else 0.0
        with_credit = [rank for rank in waiting if self._credits[rank] >= 1]
        chosen = with_credit[0] if with_credit else waiting[0]
        self._credits[chosen] = max(0.0, self._credits[chosen] - 1)
        return chosen

    def _floors_hold(self, chosen: Rank, waiting: list[Rank]) -> bool:
        credit_by_rank = {rank.label: round(self._credits[rank], 3) for rank in waiting}
        floors_hold = all(credit < MAX_CREDIT for credit in credit_by_rank.values())
        detail = f"slot given to {chosen.label}; credits {credit_by_rank}"
        return self._invariants.holds(Invariant.I10, floors_hold, detail)

    def _expected_wait(self, rank: Rank) -> timedelta | None:
        if not self.limit:
            return None
        per_start_s = self._latency_s / self.limit
        ahead = sum(len(queue) for r, queue in self._queues.items() if r <= rank) + 1
        own = len(self._queues[rank]) + 1
        floor = self._ranks[rank].floor
        starts = min(ahead, own / floor) if floor else ahead
        # The floors of less urgent ranks take capacity from this rank.
        lower_floors = sum(
            self._ranks[other].floor
            for other, queue in self._queues.items()
            if other > rank and queue
        )
        effective_starts = starts / max(1 - lower_floors, MIN_CAPACITY_SHARE)
        return timedelta(seconds=effective_starts * per_start_s)

    def _would_miss_deadline(self, ticket: Ticket, now: timedelta) -> bool:
        return now + self._latency > ticket.deadline

    def _refuse_late(self, ticket: Ticket) -> Refused:
        wait = self._expected_wait(ticket.rank)
        detail = "the request was queued until it could no longer meet its deadline"
        return _refuse(ticket, ErrorKind.DEADLINE_HOPELESS, detail, wait)


def _refuse(
    ticket: Ticket, kind: ErrorKind, detail: str, wait: timedelta | None
) -> Refused:
    delay = MAX_RETRY_AFTER if wait is None else wait
    retry_after = min(max(delay, MIN_RETRY_AFTER), MAX_RETRY_AFTER)
    return Refused(ticket, Failure(kind, detail, Ran.NO, retry_after))
