"""Deadlines, retries, a rate limit and a circuit breaker around a store adapter."""

from __future__ import annotations

from collections import Counter
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from datetime import timedelta
from random import Random
from typing import Any
from typing import Protocol
from typing import TypeVar
from typing import final

from expression import Error
from expression import Result
from twisted.internet.defer import CancelledError
from twisted.internet.defer import Deferred
from twisted.internet.error import TimeoutError
from twisted.internet.task import deferLater

from sycamorenotch_daemon._breaker import CircuitBreaker
from sycamorenotch_daemon._store_events import StoreBreakerClosed
from sycamorenotch_daemon._store_events import StoreBreakerOpened
from sycamorenotch_daemon._store_events import StoreBudgetExceeded
from sycamorenotch_kernel import Clock
from sycamorenotch_kernel import Directory
from sycamorenotch_kernel import EventSink
from sycamorenotch_kernel import ListedInstance
from sycamorenotch_kernel import Store
from sycamorenotch_kernel import StoredObject
from sycamorenotch_kernel import StoreError
from sycamorenotch_kernel import StoreFault
from sycamorenotch_kernel import Version
from sycamorenotch_kernel import WatchResult

T = TypeVar("T")

READ_ATTEMPTS = 3
READ_BACKOFF = timedelta(milliseconds=50)
# Added to the timeout of a watch, as the store answers a watch without a change
# only when that timeout expires.
WATCH_MARGIN = timedelta(seconds=5)
BURST_DURATION = timedelta(seconds=2)
FAILURE_FAULTS = frozenset({StoreFault.UNAVAILABLE, StoreFault.UNKNOWN})


class GuardedStore(Store, Directory, Protocol):
    """A store adapter that also reads the platform's list of instances."""


@final
@dataclass(slots=True)
class StoreCalls:
    """Counts of store calls by kind, for metrics.

    :param made: calls sent to the adapter.
    :param failed: calls that were unavailable or of unknown outcome.
    :param refused: calls rejected by the rate limit or the circuit breaker.
    """

    made: Counter[str] = field(default_factory=Counter)
    failed: Counter[str] = field(default_factory=Counter)
    refused: Counter[str] = field(default_factory=Counter)


@final
class CallRateLimit:
    """Token bucket that limits the rate of store calls.

    :param rate: average number of calls per second.
    """

    def __init__(self, rate: float, clock: Clock) -> None:
        self._rate = rate
        self._clock = clock
        self._max_tokens = max(1.0, rate * BURST_DURATION.total_seconds())
        self._tokens = self._max_tokens
        self._refilled_at = clock.monotonic()

    def try_acquire(self) -> bool:
        """Take one token; return whether one was available."""
        now = self._clock.monotonic()
        refill = (now - self._refilled_at).total_seconds() * self._rate
        self._tokens = min(self._max_tokens, self._tokens + refill)
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


@final
class StoreGuard:
    """Store and directory with bounded, rate-limited and counted calls.

    Only reads are retried. A write without an answer at its deadline is
    reported as :attr:`StoreFault.UNKNOWN`.

    :param calls_per_second: rate limit of this daemon's calls.
    """

    def __init__(
        self,
        adapter: Any,
        reactor: Any,
        clock: Clock,
        random: Random,
        sink: EventSink,
        calls_per_second: float,
    ) -> None:
        self.calls = StoreCalls()
        self._adapter: GuardedStore = adapter
        self._reactor = reactor
        self._random = random
        self._sink = sink
        self._rate_limit = CallRateLimit(calls_per_second, clock)
        self._breaker = CircuitBreaker(clock, random)

    async def get(
        self, kind: str, name: str, timeout: timedelta
    ) -> Result[StoredObject, StoreError]:
        """Read one object."""
        return await self._read(
            "get", timeout, lambda: self._adapter.get(kind, name, timeout)
        )

    async def list(
        self, kind: str, timeout: timedelta
    ) -> Result[tuple[StoredObject, ...], StoreError]:
        """Read every object of a kind."""
        return await self._read(
            "list", timeout, lambda: self._adapter.list(kind, timeout)
        )

    async def instances(
        self, timeout: timedelta
    ) -> Result[tuple[ListedInstance, ...], StoreError]:
        """Read the platform's list of instances."""
        return await self._read(
            "instances", timeout, lambda: self._adapter.instances(timeout)
        )

    async def create(
        self, kind: str, name: str, value: bytes, timeout: timedelta
    ) -> Result[StoredObject, StoreError]:
        """Write an object that must not exist yet."""
        return await self._call(
            "create",
            timeout,
            lambda: self._adapter.create(kind, name, value, timeout),
            StoreFault.UNKNOWN,
        )

    async def update(
        self, kind: str, name: str, value: bytes, expected: Version, timeout: timedelta
    ) -> Result[StoredObject, StoreError]:
        """Replace an object if it has the expected version."""
        return await self._call(
            "update",
            timeout,
            lambda: self._adapter.update(kind, name, value, expected, timeout),
            StoreFault.UNKNOWN,
        )

    async def delete(
        self, kind: str, name: str, expected: Version, timeout: timedelta
    ) -> Result[None, StoreError]:
        """Remove an object if it has the expected version."""
        return await self._call(
            "delete",
            timeout,
            lambda: self._adapter.delete(kind, name, expected, timeout),
            StoreFault.UNKNOWN,
        )

    async def watch(
        self, kind: str, after: Version, timeout: timedelta
    ) -> Result[WatchResult, StoreError]:
        """Wait until an object changes after a version, or until the timeout."""
        return await self._call(
            "watch",
            timeout + WATCH_MARGIN,
            lambda: self._adapter.watch(kind, after, timeout),
            StoreFault.UNAVAILABLE,
        )

    async def _read(
        self,
        call: str,
        timeout: timedelta,
        perform: Callable[[], Awaitable[Result[T, StoreError]]],
    ) -> Result[T, StoreError]:
        deadline = self._reactor.seconds() + timeout.total_seconds()
        for attempt in range(READ_ATTEMPTS):
            remaining = timedelta(seconds=deadline - self._reactor.seconds())
            result = await self._call(call, remaining, perform, StoreFault.UNAVAILABLE)
            is_last = attempt == READ_ATTEMPTS - 1
            if is_last or result.is_ok() or result.error.fault not in FAILURE_FAULTS:
                return result
            delay = self._random.random() * READ_BACKOFF.total_seconds() * 2**attempt
            if self._reactor.seconds() + delay >= deadline:
                return result
            await deferLater(self._reactor, delay)
        raise AssertionError("unreachable")

    async def _call(
        self,
        call: str,
        timeout: timedelta,
        perform: Callable[[], Awaitable[Result[T, StoreError]]],
        no_answer_fault: StoreFault,
    ) -> Result[T, StoreError]:
        if not self._breaker.allows_call():
            self.calls.refused[call] += 1
            return Error(
                StoreError(
                    StoreFault.UNAVAILABLE, "the circuit breaker of the store is open"
                )
            )
        if not self._rate_limit.try_acquire():
            self.calls.refused[call] += 1
            self._sink.emit(StoreBudgetExceeded(call))
            return Error(StoreError(StoreFault.REFUSED, "the rate limit is reached"))
        self.calls.made[call] += 1
        result = await self._call_with_timeout(timeout, perform, no_answer_fault)
        self._record_result(call, result)
        return result

    async def _call_with_timeout(
        self,
        timeout: timedelta,
        perform: Callable[[], Awaitable[Result[T, StoreError]]],
        no_answer_fault: StoreFault,
    ) -> Result[T, StoreError]:
        pending = Deferred.fromCoroutine(_coroutine(perform()))
        pending.addTimeout(timeout.total_seconds(), self._reactor)
        try:
            return await pending
        except TimeoutError:
            return Error(StoreError(no_answer_fault, "no answer before the deadline"))
        except CancelledError:
            raise
        except Exception as exc:
            return Error(StoreError(no_answer_fault, f"{type(exc).__name__}: {exc}"))

    def _record_result(self, call: str, result: Result[Any, StoreError]) -> None:
        if result.is_ok() or result.error.fault not in FAILURE_FAULTS:
            if self._breaker.record_success():
                self._sink.emit(StoreBreakerClosed())
            return
        self.calls.failed[call] += 1
        if self._breaker.record_failure():
            self._sink.emit(StoreBreakerOpened(result.error.detail))


async def _coroutine(awaitable: Awaitable[T]) -> T:
    return await awaitable
