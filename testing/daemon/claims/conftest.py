"""Fakes for the tests of claims: a store and an upstream with injected faults."""

from __future__ import annotations

from collections import Counter
from collections import deque
from collections.abc import Callable
from dataclasses import replace
from datetime import timedelta
from enum import Enum
from pathlib import Path
from random import Random
from typing import Any

import pytest
from expression import Error
from expression import Ok
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from sycamorenotch_daemon._claim_settler import ClaimSettler
from sycamorenotch_daemon._claim_stage import ClaimStage
from sycamorenotch_daemon._clock import ReactorClock
from sycamorenotch_daemon._node import Node
from sycamorenotch_daemon._node import ServedConfiguration
from sycamorenotch_documents import parse_environment
from sycamorenotch_documents import parse_settings
from sycamorenotch_kernel import Call
from sycamorenotch_kernel import CallAnswer
from sycamorenotch_kernel import CallResult
from sycamorenotch_kernel import ErrorKind
from sycamorenotch_kernel import EventList
from sycamorenotch_kernel import Failure
from sycamorenotch_kernel import InvariantMonitor
from sycamorenotch_kernel import RecentDecisions
from sycamorenotch_kernel import StoreError
from sycamorenotch_kernel import StoreFault
from sycamorenotch_standins import ObjectTable

DOCUMENT = (Path(__file__).parents[3] / "examples" / "vatukoula.ini").read_text()
ENVIRONMENT = parse_environment(DOCUMENT)
ROUTE = next(route for route in ENVIRONMENT.routes if not route.idempotent)
SETTINGS = """\
[instance]
id = {name}
environment = production
region = viti-west
data_centre = nadi
[listen]
callers = 127.0.0.1:1
peers = 127.0.0.1:2
[store]
[secrets]
operator_token_file = none
"""


class Loss(Enum):
    """Injected fault of one store call."""

    NONE = "none"
    DOWN = "down"
    LOST_BEFORE = "no effect, answer lost"
    LOST_AFTER = "took effect, answer lost"
    LATE = "answer lost, takes effect later"
    HUNG_BEFORE = "waits, then takes effect"
    HUNG_AFTER = "takes effect, then waits"


class FaultyStore:
    """Store over a shared table with injected faults.

    ``losses`` holds the faults of the next calls and ``always`` the fault of
    every later one.
    """

    def __init__(self, table: ObjectTable) -> None:
        self.table = table
        self.losses: deque[Loss] = deque()
        self.always = Loss.NONE
        self.calls: Counter[str] = Counter()
        self.suspended: list[Deferred[None]] = []
        self.late: list[Callable[[], object]] = []

    async def get(self, kind: str, name: str, timeout: timedelta) -> Any:
        return await self._read("get", lambda: self.table.get(kind, name))

    async def list(self, kind: str, timeout: timedelta) -> Any:
        return await self._read("list", lambda: Ok(self.table.list(kind)))

    async def create(
        self, kind: str, name: str, value: bytes, timeout: timedelta
    ) -> Any:
        return await self._write("create", lambda: self.table.create(kind, name, value))

    async def update(
        self, kind: str, name: str, value: bytes, expected: Any, timeout: timedelta
    ) -> Any:
        return await self._write(
            "update", lambda: self.table.update(kind, name, value, expected)
        )

    async def delete(
        self, kind: str, name: str, expected: Any, timeout: timedelta
    ) -> Any:
        return await self._write(
            "delete", lambda: self.table.delete(kind, name, expected)
        )

    async def watch(self, kind: str, after: Any, timeout: timedelta) -> Any:
        await Deferred()

    def resume(self) -> None:
        """Resume every suspended call."""
        suspended, self.suspended = self.suspended, []
        for waiting in suspended:
            waiting.callback(None)

    def apply_late_writes(self) -> None:
        """Apply every delayed write."""
        late, self.late = self.late, []
        for perform in late:
            perform()

    def _next(self, call: str) -> Loss:
        self.calls[call] += 1
        return self.losses.popleft() if self.losses else self.always

    async def _hang(self) -> None:
        waiting: Deferred[None] = Deferred()
        self.suspended.append(waiting)
        await waiting

    async def _read(self, call: str, perform: Callable[[], Any]) -> Any:
        loss = self._next(call)
        if loss in (Loss.HUNG_BEFORE, Loss.HUNG_AFTER):
            await self._hang()
        elif loss is not Loss.NONE:
            return Error(StoreError(StoreFault.UNAVAILABLE, loss.value))
        return perform()

    async def _write(self, call: str, perform: Callable[[], Any]) -> Any:
        loss = self._next(call)
        if loss is Loss.DOWN:
            return Error(StoreError(StoreFault.UNAVAILABLE, loss.value))
        if loss is Loss.HUNG_BEFORE:
            await self._hang()
        if loss is Loss.LATE:
            self.late.append(perform)
        if loss in (Loss.LATE, Loss.LOST_BEFORE):
            return Error(StoreError(StoreFault.UNKNOWN, loss.value))
        result = perform()
        if loss is Loss.HUNG_AFTER:
            await self._hang()
        if loss is Loss.LOST_AFTER:
            return Error(StoreError(StoreFault.UNKNOWN, loss.value))
        return result


class Outcome(Enum):
    """Reaction of the upstream to a request."""

    WHOLE = "runs and answers"
    SHED = "states that it did not run"
    UNREACHED = "no connection"
    CUT = "runs, answer cut short"
    CROSSED = "runs, answer of another request"
    LATE = "runs, answer too late"
    LOST = "unknown, did not run"
    HUNG = "waits, then runs and answers"


FAILURES = {
    Outcome.SHED: Failure(ErrorKind.UPSTREAM_SHED, "shed"),
    Outcome.UNREACHED: Failure(ErrorKind.NO_UPSTREAM, "no worker"),
    Outcome.CUT: Failure(ErrorKind.UPSTREAM_FAILED, "cut short"),
    Outcome.CROSSED: Failure(ErrorKind.INVARIANT, "I4"),
    Outcome.LATE: Failure(ErrorKind.DEADLINE_PASSED, "late"),
    Outcome.LOST: Failure(ErrorKind.UPSTREAM_FAILED, "connection lost"),
}


class Upstream:
    """Upstream that counts the executions by key and by call."""

    def __init__(self) -> None:
        self.outcomes: deque[Outcome] = deque()
        self.by_key: Counter[str] = Counter()
        self.by_call: Counter[str] = Counter()
        self.suspended: list[Deferred[None]] = []

    async def proceed(self, call: Call) -> CallResult:
        outcome = self.outcomes.popleft() if self.outcomes else Outcome.WHOLE
        if outcome is Outcome.HUNG:
            waiting: Deferred[None] = Deferred()
            self.suspended.append(waiting)
            await waiting
        if outcome not in (Outcome.SHED, Outcome.UNREACHED, Outcome.LOST):
            self.by_key[call.key or ""] += 1
            self.by_call[call.id] += 1
        if outcome in FAILURES:
            return Error(FAILURES[outcome])
        headers = (("Content-Type", "text/plain"),)
        return Ok(CallAnswer(200, headers, f"answer to {call.key}".encode()))

    def resume(self) -> None:
        """Run every suspended request."""
        suspended, self.suspended = self.suspended, []
        for waiting in suspended:
            waiting.callback(None)


class Instance:
    """Instance with a claim stage and its own connection to the store."""

    def __init__(self, name: str, table: ObjectTable, clock: Clock) -> None:
        self.store = FaultyStore(table)
        self.sink = EventList()
        self.node = Node(
            settings=parse_settings(SETTINGS.format(name=name)),
            reactor=clock,
            clock=ReactorClock(clock),
            random=Random(name),
            sink=self.sink,
            decisions=RecentDecisions(),
            invariants=InvariantMonitor(self.sink, strict=True),
            store=self.store,
            directory=self.store,  # type: ignore[arg-type]
            token="",
        )
        self.node.configuration.put(ServedConfiguration(ENVIRONMENT, 1, "", DOCUMENT))
        self.settler = ClaimSettler(self.node)
        self.stage = ClaimStage(self.node)

    def call(
        self, key: str = "key", timeout: float = 2.0, body: bytes = b"body"
    ) -> Call:
        return Call(
            id=self.node.ids.decision(),
            route=ROUTE,
            method="POST",
            path=f"{ROUTE.prefix}/1",
            headers=(),
            body=body,
            client="127.0.0.1",
            key=key,
            deadline=self.node.clock.monotonic() + timedelta(seconds=timeout),
            generation=1,
        )

    def send(self, upstream: Upstream, call: Call | None = None) -> RequestInFlight:
        return RequestInFlight(self, upstream, call or self.call())


class RequestInFlight:
    """Request in flight, and its result when it has ended."""

    def __init__(self, instance: Instance, upstream: Upstream, call: Call) -> None:
        self.instance = instance
        self.call = call
        self.result: Any = None
        coroutine = instance.stage.run(call, upstream.proceed)
        self.deferred = Deferred.fromCoroutine(coroutine)
        self.deferred.addBoth(self._done)

    def _done(self, result: Any) -> None:
        self.result = result

    @property
    def statement(self) -> tuple[str, str]:
        """Error kind of a refusal and what it states about the execution."""
        failure = self.result.error
        return failure.kind.value, failure.stated_ran.value


class Fleet:
    """Instances that share one table, one virtual clock and one upstream."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.table = ObjectTable()
        self.upstream = Upstream()
        self.first = self.instance("first")
        self.second = self.instance("second")

    def instance(self, name: str) -> Instance:
        return Instance(name, self.table, self.clock)

    def advance_time(self, seconds: float) -> None:
        self.clock.pump([0.05] * round(seconds / 0.05))

    def send(self, instance: Instance, **call: Any) -> RequestInFlight:
        """Send a request and advance the clock past its deadline."""
        sending = instance.send(self.upstream, instance.call(**call))
        self.advance_time(call.get("timeout", 2.0) + 0.5)
        return sending


@pytest.fixture
def fleet() -> Fleet:
    return Fleet()


@pytest.fixture
def loss() -> type[Loss]:
    return Loss


@pytest.fixture
def outcome() -> type[Outcome]:
    return Outcome


@pytest.fixture
def new_fleet() -> type[Fleet]:
    return Fleet


@pytest.fixture
def idempotent_call() -> Callable[[Call], Call]:
    return lambda call: replace(call, route=replace(ROUTE, idempotent=True), key=None)
