"""Attempts of one request at several workers at the same time."""

from __future__ import annotations

from dataclasses import dataclass
from typing import final

from twisted.internet.defer import Deferred
from twisted.internet.defer import DeferredQueue
from twisted.python.failure import Failure

from sycamorenotch_gateway._attempts import AttemptOutcome
from sycamorenotch_gateway._attempts import Attempts
from sycamorenotch_kernel import ForwardCall
from sycamorenotch_kernel import ForwardingRoute
from sycamorenotch_policies import ChosenWorker


@final
@dataclass(frozen=True, slots=True)
class AttemptEnd:
    """End of one attempt.

    :param worker: identifier of the worker that got the request.
    """

    worker: str
    outcome: AttemptOutcome


@final
class AttemptRace:
    """Attempts that run until the first one settles the request.

    :param customer: name of the customer, as in :meth:`Dialect.encode_attempt`.
    :ivar deadline: end of all attempts on the monotonic clock, in seconds.
    """

    def __init__(
        self,
        attempts: Attempts,
        call: ForwardCall,
        route: ForwardingRoute,
        deadline: float,
        customer: str | None = None,
    ) -> None:
        self._attempts = attempts
        self.call = call
        self.route = route
        self.deadline = deadline
        self._customer = customer
        self._running: list[Deferred[AttemptOutcome]] = []
        self._events: DeferredQueue[AttemptEnd | Failure | None] = DeferredQueue()
        self._cancelled = False

    @property
    def running(self) -> bool:
        """Whether any attempt is in flight."""
        return bool(self._running)

    @property
    def has_events(self) -> bool:
        """Whether :meth:`next_event` will return; an attempt may end as it starts."""
        return self.running or bool(self._events.pending)

    def start(self, chosen: ChosenWorker) -> None:
        """Send the request to a worker."""
        attempt = Deferred.fromCoroutine(
            self._attempts.send(
                self.call,
                self.route,
                chosen,
                self.deadline,
                lambda: self._events.put(None),
                self._customer,
            )
        )
        self._running.append(attempt)
        attempt.addBoth(self._record_end, attempt, chosen.view.entry.id)

    async def next_event(self) -> AttemptEnd | None:
        """Wait until an attempt ends or becomes overdue.

        :return: the end of an attempt, or ``None`` if one is overdue and continues.
        """
        event = await self._events.get()
        if isinstance(event, Failure):
            event.raiseException()
        return event

    def cancel(self) -> None:
        """Cancel the attempts in flight."""
        self._cancelled = True
        for attempt in tuple(self._running):
            attempt.cancel()

    def _record_end(
        self,
        result: AttemptOutcome | Failure,
        attempt: Deferred[AttemptOutcome],
        worker: str,
    ) -> None:
        self._running.remove(attempt)
        if self._cancelled:
            return
        if isinstance(result, Failure):
            self._events.put(result)
        else:
            self._events.put(AttemptEnd(worker, result))
