"""Polls the health and load endpoints of the workers that the instance uses."""

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
MIN_POLL_INTERVAL = timedelta(milliseconds=20)
MAX_ROUND_DURATION = timedelta(seconds=2)
# A leaving worker is detected within a third of the bound for new requests.
ROUNDS_PER_LEAVING_BOUND = 3
NO_WORKERS_INTERVAL = timedelta(seconds=1)
MAX_REPORT_BYTES = 4096


@components.register("health-poll")
@final
class HealthPoll:
    """Polls one worker after the other, at a bounded rate and with jitter."""

    after: ClassVar[tuple[str, ...]] = ("upstreams",)

    def __init__(self, node: Node) -> None:
        self._node = node
        self._upstreams = node.require(Upstreams)
        self._client = HTTPClient(self._upstreams.client.agent)
        self._signals: tuple[HealthSignal, ...] = tuple(
            entry.value() for entry in health_signals
        )
        self._remaining_workers: list[Worker] = []
        self._next_poll: IDelayedCall | None = None
        self._in_flight: set[Deferred[None]] = set()
        self._without_report: set[str] = set()

    async def start(self) -> None:
        """Schedule the first poll."""
        self._schedule(MIN_POLL_INTERVAL)

    async def stop(self) -> None:
        """Stop polling and cancel the polls in flight."""
        if self._next_poll is not None and self._next_poll.active():
            self._next_poll.cancel()
        for poll in tuple(self._in_flight):
            poll.cancel()

    def _schedule(self, interval: timedelta) -> None:
        # The jitter keeps instances from polling in step and leaves the mean
        # interval unchanged.
        delay_s = interval.total_seconds() * (0.5 + self._node.random.random())
        self._next_poll = self._node.reactor.callLater(delay_s, self._poll_next)

    def _poll_next(self) -> None:
        if not self._remaining_workers:
            self._remaining_workers = list(self._upstreams.target_workers())
            self._node.random.shuffle(self._remaining_workers)
        if not self._remaining_workers:
            self._schedule(NO_WORKERS_INTERVAL)
            return
        worker = self._remaining_workers.pop()
        polling = Deferred.fromCoroutine(self._poll(worker))
        self._in_flight.add(polling)
        polling.addBoth(lambda _: self._in_flight.discard(polling))
        self._schedule(self._interval())

    def _interval(self) -> timedelta:
        current = self._node.configuration.current
        assert current is not None
        bound = current.environment.bounds.leaving / ROUNDS_PER_LEAVING_BOUND
        workers = max(1, len(self._upstreams.target_workers()))
        return max(MIN_POLL_INTERVAL, min(MAX_ROUND_DURATION, bound) / workers)

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
        self._without_report.discard(worker.name)

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
        return content[:MAX_REPORT_BYTES]

    def _report_missing(self, worker: Worker, reason: str) -> None:
        # Without a new report the last one loses weight with age, and the
        # worker keeps its state.
        if worker.name not in self._without_report:
            self._without_report.add(worker.name)
            self._node.sink.emit(HealthReportMissing(worker.name, reason))
