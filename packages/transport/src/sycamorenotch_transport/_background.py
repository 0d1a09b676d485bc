"""Periodic work of components on the reactor."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from datetime import timedelta
from typing import Any
from typing import final

from twisted.internet.defer import CancelledError
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

FAILURE_DELAY = timedelta(seconds=5)

PeriodicFunction = Callable[[], Awaitable[timedelta]]
ReportFailure = Callable[[str, str], None]


@final
class PeriodicTask:
    """Runs a coroutine function periodically, one call at a time.

    :param function: does the work and returns the delay before the next call.
    :param report: receives the qualified name of a function that raised, and the
        error.
    :param failure_delay: delay after a call that raised.
    """

    def __init__(
        self,
        reactor: Any,
        function: PeriodicFunction,
        report: ReportFailure,
        failure_delay: timedelta = FAILURE_DELAY,
    ) -> None:
        self._reactor = reactor
        self._function = function
        self._report = report
        self._failure_delay = failure_delay
        self._run_fut: Deferred[None] | None = None
        self._delay_fut: Deferred[None] | None = None
        self._wake_requested = False

    def start(self, delay: timedelta = timedelta()) -> None:
        """Schedule the first call after a delay."""
        self._run_fut = Deferred.fromCoroutine(self._run(delay))
        self._run_fut.addErrback(_ignore_cancelled)

    def stop(self) -> None:
        """Cancel the current call or delay."""
        run_fut, self._run_fut = self._run_fut, None
        if run_fut is not None:
            run_fut.cancel()

    def wake(self) -> None:
        """End the current delay, or skip the one after the current call."""
        self._wake_requested = True
        if self._delay_fut is not None and not self._delay_fut.called:
            self._delay_fut.callback(None)

    async def _run(self, delay: timedelta) -> None:
        while True:
            if not self._wake_requested:
                await self._sleep(delay)
            self._wake_requested = False
            delay = await self._call_function()

    async def _call_function(self) -> timedelta:
        try:
            return await self._function()
        except CancelledError:
            raise
        except Exception as exc:
            self._report(self._function.__qualname__, f"{type(exc).__name__}: {exc}")
            return self._failure_delay

    async def _sleep(self, delay: timedelta) -> None:
        delay_fut: Deferred[None] = Deferred()
        timer = self._reactor.callLater(delay.total_seconds(), self.wake)
        self._delay_fut = delay_fut
        try:
            await delay_fut
        finally:
            self._delay_fut = None
            if timer.active():
                timer.cancel()


def _ignore_cancelled(failure: Failure) -> None:
    failure.trap(CancelledError)  # type: ignore[no-untyped-call]
