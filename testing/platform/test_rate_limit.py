"""Tests of workers that name a limit on the requests of all instances together."""

from __future__ import annotations

import time

import pytest
from testing.platform.conftest import build_gateway
from testing.platform.conftest import configuration
from testing.platform.standins import StandInStore
from testing.platform.standins import StandInWorker
from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.internet.defer import gatherResults
from twisted.internet.task import deferLater

from sycamorenotch_gateway import Gateway
from sycamorenotch_transport import Http1Pool
from sycamorenotch_transport import HttpRequest

INSTANCES = 4
START_S = 1.0
CALL_INTERVAL_S = 0.1
LIMIT = 2.0
# The users' rule: one and a half times the limit and five requests in four seconds,
# of instances that have known the limit for half a second.
WINDOW_S = 4.0
ALLOWED = 1.5 * LIMIT * WINDOW_S + 5
LEARNING_S = 1.5


def test_changes_of_a_rate_limit_are_logged_once_each(run_on_site) -> None:
    async def scenario(site) -> None:
        (worker,) = site.workers
        for limit in ("80", "80", "40", "", ""):
            worker.rate_limit = limit
            assert (await site.call()).status == 200
            # Longer than a worker that takes 40 a second makes its only sender wait.
            await deferLater(reactor, 0.05, lambda: None)
        changes = site.events("worker.rate-limit-changed")
        assert [(change.previous, change.limit) for change in changes] == [
            (None, 80.0),
            (80.0, 40.0),
            (40.0, None),
        ]

    run_on_site(scenario, count=1)


# A worker that sheds a request names no limit with it; taken for the end of its limit,
# that let all instances send again.
def test_shed_request_does_not_end_a_rate_limit(run_on_site) -> None:
    async def scenario(site) -> None:
        (worker,) = site.workers
        worker.rate_limit = "20"
        await site.call()
        worker.mode = "shed"
        await deferLater(reactor, 0.1, lambda: None)
        assert (await site.call()).status == 503
        assert len(worker.requests) == 2
        (change,) = site.events("worker.rate-limit-changed")
        assert change.limit == 20.0

    run_on_site(scenario, count=1)


class Fleet:
    """Gateways on one store, each with callers that send at a steady rate."""

    def __init__(self, workers: list[StandInWorker]) -> None:
        self.store = StandInStore()
        self.store.put("config", "main", configuration())
        self.workers = workers
        for worker in workers:
            self.store.put("servers", worker.name, worker.entry)
        self.gateways = [build_gateway(self.store, f"g-{n}") for n in range(INSTANCES)]
        self.statuses: list[int] = []
        self._sent = 0

    async def start(self) -> None:
        for gateway in self.gateways:
            gateway.start()
        await deferLater(reactor, START_S, lambda: None)

    async def stop(self) -> None:
        for gateway in self.gateways:
            await gateway.stop()
        for server in (self.store.server, *(w.server for w in self.workers)):
            await server.stop(0)

    async def call_for(self, seconds: float) -> None:
        """Send requests through every gateway and wait for their answers."""
        calls = []
        for _ in range(int(seconds / CALL_INTERVAL_S)):
            calls += [self._call(gateway) for gateway in self.gateways]
            await deferLater(reactor, CALL_INTERVAL_S, lambda: None)
        await gatherResults(calls)

    def _call(self, gateway: Gateway) -> Deferred[None]:
        self._sent += 1
        headers = (
            ("Host", "h"),
            ("X-Attempt-Id", f"f{self._sent}"),
            ("X-Affinity-Key", str(self._sent)),
            ("X-Remaining-Milliseconds", "3000"),
        )
        request = HttpRequest("GET", "/safe/1", headers)
        pool = Http1Pool(reactor, gateway.addresses["callers"], time.monotonic)

        async def exchange() -> None:
            try:
                self.statuses.append((await pool.exchange(request, 1.0)).status)
            finally:
                pool.close()

        return Deferred.fromCoroutine(exchange())


@pytest.fixture
def run_fleet(run_in_reactor):
    def run(scenario) -> None:
        async def main() -> None:
            fleet = Fleet([StandInWorker("i-0"), StandInWorker("i-1")])
            try:
                await fleet.start()
                await scenario(fleet)
            finally:
                await fleet.stop()

        run_in_reactor(main())

    return run


def most_in_window(arrivals: list[float]) -> int:
    """Return the largest number of arrivals in a window of ``WINDOW_S``."""
    return max(
        (sum(at <= other < at + WINDOW_S for other in arrivals) for at in arrivals),
        default=0,
    )


# A worker names the rate that it takes from all instances together. Instances that
# ignore it, or keep it each by itself, send several times as much.
def test_instances_keep_the_rate_limit_of_a_worker_together(run_fleet) -> None:
    async def scenario(fleet) -> None:
        limited, other = fleet.workers
        limited.rate_limit = str(LIMIT)
        await fleet.call_for(LEARNING_S)
        limited.arrivals.clear()
        fleet.statuses.clear()
        await fleet.call_for(WINDOW_S + 1.0)
        assert most_in_window(limited.arrivals) <= ALLOWED
        # What the limited worker cannot take goes to the other one.
        assert set(fleet.statuses) == {200}
        assert limited.arrivals
        assert other.arrivals

    run_fleet(scenario)


# An instance without a share sends the worker nothing, so that no answer shows it the
# end of the limit.
def test_end_of_a_rate_limit_reaches_instances_without_a_share(run_fleet) -> None:
    async def scenario(fleet) -> None:
        limited, _ = fleet.workers
        limited.rate_limit = "0.5"
        await fleet.call_for(LEARNING_S)
        limited.rate_limit = ""
        await fleet.call_for(2 * WINDOW_S)
        for gateway in fleet.gateways:
            changes = [
                event.limit
                for event in gateway.node.sink.events
                if event.name == "worker.rate-limit-changed"
            ]
            assert changes == [0.5, None]
        limited.arrivals.clear()
        await fleet.call_for(1.0)
        assert len(limited.arrivals) > INSTANCES

    run_fleet(scenario)
