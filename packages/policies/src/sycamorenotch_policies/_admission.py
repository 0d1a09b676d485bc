"""Admission of requests to a service by rank, floor and deadline."""

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

MAXIMUM_QUEUED = 1024
QUEUE_SHARE = 0.5
MINIMUM_SHARE = 0.1
LATENCY_WEIGHT = 0.1
CREDIT_LIMIT = 4.0
MINIMUM_RETRY_AFTER = timedelta(seconds=1)
MAXIMUM_RETRY_AFTER = timedelta(seconds=30)


@final
@dataclass(frozen=True, slots=True)
class Ticket:
    """A request that asks for a slot.

    :param id: unique among the requests of the service.
    :param deadline: moment on the monotonic clock.
    """

    id: str
    rank: Rank
    deadline: timedelta


@final
@dataclass(frozen=True, slots=True)
class Admitted:
    """The request holds a slot until it is released."""

    ticket: Ticket


@final
@dataclass(frozen=True, slots=True)
class Queued:
    """The request waits; a later decision names its ticket."""

    ticket: Ticket


@final
@dataclass(frozen=True, slots=True)
class Refused:
    """The request was refused before it ran."""

    ticket: Ticket
    failure: Failure


AdmissionDecision = Admitted | Queued | Refused
AdmissionDecisions = tuple[AdmissionDecision, ...]


@final
@dataclass(frozen=True, slots=True)
class AdmissionSetup:
    """What an admission discipline is built from.

    :param slots: the instance's grant for the service.
    :param service_time: usual time of one request in a slot.
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
        """Free the slot of an admitted request; decide on queued ones.

        :param latency: time that the request spent at its upstream.
        """
        ...

    def cancel(self, ticket: Ticket) -> None:
        """Forget a queued request whose caller has gone."""
        ...

    def expire(self, now: timedelta) -> AdmissionDecisions:
        """Refuse the queued requests that can no longer be served in time."""
        ...

    def resize(self, slots: int, now: timedelta) -> AdmissionDecisions:
        """Replace the grant; decide on queued requests."""
        ...


@admission_disciplines.register("unlimited")
@final
class UnlimitedAdmission:
    """Admits every request; a baseline for measurements."""

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
        """Do nothing; no request waits."""

    def expire(self, now: timedelta) -> AdmissionDecisions:
        """Decide nothing; no request waits."""
        return ()

    def resize(self, slots: int, now: timedelta) -> AdmissionDecisions:
        """Decide nothing; the grant is not used."""
        return ()


@admission_disciplines.register("ranked")
@final
class RankedAdmission:
    """Serves the urgent rank first and keeps a floor for every rank.

    A free slot is never withheld. While requests wait, each slot that becomes
    free adds the floor of each waiting rank to that rank's credit. A rank with
    a whole credit goes first and pays it; otherwise the most urgent rank
    goes. So each waiting rank starts at least its floor's share of requests,
    for any number of slots.
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
        """The number of requests that may run now."""
        return self._limit.limit

    @property
    def queued(self) -> int:
        """The number of requests that wait."""
        return sum(map(len, self._queues.values()))

    def offer(self, ticket: Ticket, now: timedelta) -> AdmissionDecision:
        """Admit, queue or refuse a new request."""
        if self._total_running < self.limit and not self.queued:
            return self._start(ticket, now)
        wait = self._expected_wait(ticket.rank)
        patience = ticket.deadline - now
        if wait is None or len(self._queues[ticket.rank]) >= MAXIMUM_QUEUED:
            detail = "the queue of the rank is full"
            return _refuse(ticket, ErrorKind.OVERLOADED, detail, wait)
        if wait + self._latency > patience:
            detail = "the wait would last beyond the deadline"
            return _refuse(ticket, ErrorKind.DEADLINE_HOPELESS, detail, wait)
        if wait > patience * QUEUE_SHARE:
            detail = "the wait would use too much of the time limit"
            return _refuse(ticket, ErrorKind.OVERLOADED, detail, wait)
        self._queues[ticket.rank][ticket.id] = ticket
        return Queued(ticket)

    def release(
        self, ticket: Ticket, latency: timedelta, outcome: Outcome, now: timedelta
    ) -> AdmissionDecisions:
        """Free the slot of an admitted request; decide on queued ones."""
        self.running[ticket.rank] -= 1
        self._total_running -= 1
        self._limit.observe(latency, outcome)
        held = now - self._started.pop(ticket.id)
        if outcome is Outcome.ANSWERED:
            # A slot is held during the claim too, not only at the upstream.
            change = held.total_seconds() - self._latency_s
            self._latency_s += LATENCY_WEIGHT * change
        return self._fill(now)

    def cancel(self, ticket: Ticket) -> None:
        """Forget a queued request whose caller has gone."""
        self._queues[ticket.rank].pop(ticket.id, None)

    def expire(self, now: timedelta) -> AdmissionDecisions:
        """Refuse the queued requests that can no longer be served in time."""
        hopeless = [
            ticket
            for queue in self._queues.values()
            for ticket in queue.values()
            if self._is_hopeless(ticket, now)
        ]
        for ticket in hopeless:
            del self._queues[ticket.rank][ticket.id]
        return (*map(self._refuse_hopeless, hopeless), *self._fill(now))

    def resize(self, slots: int, now: timedelta) -> AdmissionDecisions:
        """Replace the grant; decide on queued requests."""
        self._limit.resize(slots)
        return self._fill(now)

    @property
    def _latency(self) -> timedelta:
        return timedelta(seconds=self._latency_s)

    def _start(self, ticket: Ticket, now: timedelta) -> Admitted:
        self.running[ticket.rank] += 1
        self._total_running += 1
        self._started[ticket.id] = now
        return Admitted(ticket)

    def _fill(self, now: timedelta) -> AdmissionDecisions:
        return tuple(self._decide_queued(now))

    def _decide_queued(self, now: timedelta) -> Iterator[AdmissionDecision]:
        while self._total_running < self.limit:
            yield from self._drop_hopeless_heads(now)
            waiting = [rank for rank, queue in self._queues.items() if queue]
            if not waiting:
                return
            rank = self._next_rank(waiting)
            _, ticket = self._queues[rank].popitem(last=False)
            if self._keeps_floors(rank, waiting):
                yield self._start(ticket, now)
            else:
                detail = "the floor of another rank would be broken"
                yield _refuse(ticket, ErrorKind.INVARIANT, detail, None)

    def _drop_hopeless_heads(self, now: timedelta) -> Iterator[AdmissionDecision]:
        for queue in self._queues.values():
            while queue and self._is_hopeless(next(iter(queue.values())), now):
                _, ticket = queue.popitem(last=False)
                yield self._refuse_hopeless(ticket)

    def _next_rank(self, waiting: list[Rank]) -> Rank:
        for rank in self._queues:
            # A rank without waiting requests gives up the credit it has saved.
            earned = self._credits[rank] + self._ranks[rank].floor
            self._credits[rank] = earned if rank in waiting else 0.0
        due = [rank for rank in waiting if self._credits[rank] >= 1]
        chosen = due[0] if due else waiting[0]
        self._credits[chosen] = max(0.0, self._credits[chosen] - 1)
        return chosen

    def _keeps_floors(self, chosen: Rank, waiting: list[Rank]) -> bool:
        owed = {rank.label: round(self._credits[rank], 3) for rank in waiting}
        kept = all(credit < CREDIT_LIMIT for credit in owed.values())
        detail = f"slot given to {chosen.label}; credits {owed}"
        return self._invariants.holds(Invariant.I10, kept, detail)

    def _expected_wait(self, rank: Rank) -> timedelta | None:
        if not self.limit:
            return None
        per_start_s = self._latency_s / self.limit
        ahead = sum(len(queue) for r, queue in self._queues.items() if r <= rank) + 1
        own = len(self._queues[rank]) + 1
        floor = self._ranks[rank].floor
        starts = min(ahead, own / floor) if floor else ahead
        # The floors of the less urgent ranks slow down those before them.
        below = sum(
            self._ranks[other].floor
            for other, queue in self._queues.items()
            if other > rank and queue
        )
        slowed = starts / max(1 - below, MINIMUM_SHARE)
        return timedelta(seconds=slowed * per_start_s)

    def _is_hopeless(self, ticket: Ticket, now: timedelta) -> bool:
        return now + self._latency > ticket.deadline

    def _refuse_hopeless(self, ticket: Ticket) -> Refused:
        wait = self._expected_wait(ticket.rank)
        detail = "the request waited until its deadline was out of reach"
        return _refuse(ticket, ErrorKind.DEADLINE_HOPELESS, detail, wait)


def _refuse(
    ticket: Ticket, kind: ErrorKind, detail: str, wait: timedelta | None
) -> Refused:
    later = MAXIMUM_RETRY_AFTER if wait is None else wait
    retry_after = min(max(later, MINIMUM_RETRY_AFTER), MAXIMUM_RETRY_AFTER)
    return Refused(ticket, Failure(kind, detail, Ran.NO, retry_after))
