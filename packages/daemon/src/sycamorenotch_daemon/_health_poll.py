"""Polls the health and load endpoints of the workers nearby."""

from __future__ import annotations

from datetime import timedelta
from typing import ClassVar
from typing import final

import treq
from pydantic import ValidationError
from treq.client import HTTPClient
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IDelayedCall

from sycamorenotch_daemon._call_events import HealthReportMissing
from sycamorenotch_daemon._health_signals import HealthSignal
from sycamorenotch_daemon._node import Node
from sycamorenotch_daemon._upstreams import Upstreams
from sycamorenotch_kernel import Worker
from sycamorenotch_kernel import components
from sycamorenotch_kernel import health_signals

POLL_TIMEOUT = timedelta(seconds=1)
SHORTEST_INTERVAL = timedelta(milliseconds=20)
LONGEST_ROUND = timedelta(seconds=2)
# A leaving worker is seen in the first third of the bound for new work.
ROUNDS_PER_LEAVING_BOUND = 3
IDLE_INTERVAL = timedelta(seconds=1)
MAXIMUM_REPORT_BYTES = 4096


@components.register("health-poll")
@final
class HealthPoll:
    """Asks one worker after the other, at a bounded rate and with jitter."""

    after: ClassVar[tuple[str, ...]] = ("upstreams",)

    def __init__(self, node: Node) -> None:
        self._node = node
        self._upstreams = node.require(Upstreams)
        self._client = HTTPClient(self._upstreams.client.agent)
        self._signals: tuple[HealthSignal, ...] = tuple(
            entry.value() for entry in health_signals
        )
        self._round: list[Worker] = []
        self._next: IDelayedCall | None = None
        self._running: set[Deferred[None]] = set()
        self._missing: set[str] = set()

    async def start(self) -> None:
        """Start polling."""
        self._schedule(SHORTEST_INTERVAL)

    async def stop(self) -> None:
        """Stop polling and give up the polls that wait."""
        if self._next is not None and self._next.active():
            self._next.cancel()
        for running in tuple(self._running):
            running.cancel()

    def _schedule(self, interval: timedelta) -> None:
        # The mean stays the interval, while instances never fall into step.
        delay_s = interval.total_seconds() * (0.5 + self._node.random.random())
        self._next = self._node.reactor.callLater(delay_s, self._poll_next)

    def _poll_next(self) -> None:
        if not self._round:
            self._round = list(self._upstreams.nearby())
            self._node.random.shuffle(self._round)
        if not self._round:
            self._schedule(IDLE_INTERVAL)
            return
        worker = self._round.pop()
        polling = Deferred.fromCoroutine(self._poll(worker))
        self._running.add(polling)
        polling.addBoth(lambda _: self._running.discard(polling))
        self._schedule(self._interval())

    def _interval(self) -> timedelta:
        current = self._node.configuration.current
        assert current is not None
        bound = current.environment.bounds.leaving / ROUNDS_PER_LEAVING_BOUND
        workers = max(1, len(self._upstreams.nearby()))
        return max(SHORTEST_INTERVAL, min(LONGEST_ROUND, bound) / workers)

    async def _poll(self, worker: Worker) -> None:
        for signal in self._signals:
            try:
                body = await self._read(worker, signal.path)
                now = self._node.clock.monotonic()
                signal.apply(body, worker, self._upstreams, now)
            except ValidationError:
                self._report_missing(worker, "malformed")
                return
            except Exception as exc:
                self._report_missing(worker, type(exc).__name__)
                return
        self._missing.discard(worker.name)

    async def _read(self, worker: Worker, path: str) -> bytes:
        url = f"http://{worker.address}{path}"
        reading = Deferred.fromCoroutine(self._fetch(url))
        reading.addTimeout(POLL_TIMEOUT.total_seconds(), self._node.reactor)
        return await reading

    async def _fetch(self, url: str) -> bytes:
        response = await self._client.get(
            url, reactor=self._node.reactor, allow_redirects=False
        )
        content: bytes = await treq.content(response)
        return content[:MAXIMUM_REPORT_BYTES]

    def _report_missing(self, worker: Worker, reason: str) -> None:
        # Without a new report the last one loses its weight with age, and the
        # worker keeps the state that it had.
        if worker.name not in self._missing:
            self._missing.add(worker.name)
            self._node.sink.emit(HealthReportMissing(worker.name, reason))
