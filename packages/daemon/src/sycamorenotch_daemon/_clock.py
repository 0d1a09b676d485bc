"""Clocks of the operating system and of a reactor."""

from __future__ import annotations

import time
from datetime import UTC
from datetime import datetime
from datetime import timedelta
from typing import final

from twisted.internet.interfaces import IReactorTime


@final
class SystemClock:
    """Reads the clocks of the operating system."""

    def now(self) -> datetime:
        """Return the wall clock time in UTC."""
        return datetime.now(UTC)

    def monotonic(self) -> timedelta:
        """Return the time since an arbitrary origin."""
        return timedelta(seconds=time.monotonic())


@final
class ReactorClock:
    """Clock that follows a reactor, for runs under a virtual clock.

    :param reactor: source of the monotonic time in seconds.
    :param start: wall clock time at the reactor's origin, in UTC.
    """

    def __init__(
        self,
        reactor: IReactorTime,
        start: datetime = datetime(2026, 1, 1, tzinfo=UTC),
    ) -> None:
        self._reactor = reactor
        self._start = start

    def now(self) -> datetime:
        """Return the start time plus the reactor's time."""
        return self._start + self.monotonic()

    def monotonic(self) -> timedelta:
        """Return the reactor's time."""
        return timedelta(seconds=self._reactor.seconds())
