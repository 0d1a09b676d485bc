"""Timeout of an exchange that goes on while its response makes progress."""

from __future__ import annotations

from typing import Any
from typing import final

from twisted.internet.defer import CancelledError
from twisted.internet.defer import Deferred
from twisted.internet.defer import TimeoutError as DeferredTimeoutError
from twisted.python.failure import Failure

from sycamorenotch_transport._http1_messages import HttpResponse


@final
class ResponseTimeout:
    """Ends an exchange whose response does not begin in time, or pauses.

    A limit on the whole exchange would end a long response on a slow link, and the next
    attempt would send it from the start. All times are in seconds.

    :param start_s: time within which the response begins.
    :param pause_s: longest time between two pieces of the response.
    :param total_s: time within which the response is complete.
    """

    def __init__(
        self, reactor: Any, start_s: float, pause_s: float, total_s: float
    ) -> None:
        self._reactor = reactor
        self._start_s = start_s
        self._pause_s = pause_s
        self._total_s = total_s
        self._timers: tuple[Any, ...] = ()
        self._expired = False

    def record_progress(self) -> None:
        """Record that a piece of the response has arrived."""
        if not self._timers or not self._timers[0].active():
            return
        timer, now = self._timers[0], self._reactor.seconds()
        if timer.getTime() < now + self._pause_s:
            timer.reset(self._pause_s)

    def watch(self, exchange: Deferred[HttpResponse]) -> Deferred[HttpResponse]:
        """Cancel the exchange when its time is over.

        :return: the exchange, which fails with Twisted's ``TimeoutError`` then.
        """

        def expire() -> None:
            self._expired = True
            exchange.cancel()

        self._timers = tuple(
            self._reactor.callLater(seconds, expire)
            for seconds in (self._start_s, self._total_s)
        )
        return exchange.addBoth(self._finish)

    def _finish(self, result: HttpResponse | Failure) -> HttpResponse | Failure:
        for timer in self._timers:
            if timer.active():
                timer.cancel()
        if (
            self._expired
            and isinstance(result, Failure)
            and result.check(CancelledError) is not None
        ):
            raise DeferredTimeoutError("the response did not begin or paused")
        return result
