"""Tests of instances that follow the store through the watchers of their region."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

import pytest
from testing.platform.conftest import build_gateway
from testing.platform.conftest import configuration
from testing.platform.conftest import route
from testing.platform.proxies import Proxy
from testing.platform.standins import StandInStore
from testing.platform.standins import StandInWorker
from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from sycamorenotch_gateway import Gateway
from sycamorenotch_gateway._relay import Relay
from sycamorenotch_gateway._routes import Routes
from sycamorenotch_gateway._sources import Sources
from sycamorenotch_gateway._workers import Workers
from sycamorenotch_policies import choose_watchers
from sycamorenotch_transport import Http1Pool

SIZE = 8
POLL_INTERVAL_S = 0.01
# The users' tightest bound on a configuration and on a drain.
IN_FORCE_S = 2.0
# The users' bounds hold again this long after an outage of the store.
STABLE_S = 3.0
START_S = 4.0
# Instances of a region, and the narrowest link of an instance, in the users' sheets.
REGION_SIZE = 22
NARROW_LINK_BYTES_PER_S = 5e6 / 8
# The users' bound on a configuration where links are narrow.
NARROW_IN_FORCE_S = 3.0
# Routes by which a configuration may grow at once, and their options in clear.
ADDED_ROUTES = 1_400
ROUTE_OPTIONS = {"target_latency": "800ms", "priority": 1, "home_regions": []}


class Fleet:
    """Gateways of one region on one store.

    :param link_bytes_per_s: bandwidth of what each gateway sends to the others, and of
        what it gets from the store; no limit if none is given.
    """

    def __init__(
        self,
        main: dict[str, Any] | None = None,
        bounds: str = "",
        size: int = SIZE,
        link_bytes_per_s: float | None = None,
    ) -> None:
        self.bounds = bounds
        self._size = size
        self._link_bytes_per_s = link_bytes_per_s
        self._links: dict[str, Proxy] = {}
        self.store = StandInStore()
        self.store.put("config", "main", main or configuration())
        self.worker = StandInWorker("i-0")
        self.store.put("servers", "i-0", self.worker.entry)
        self.gateways: dict[str, Gateway] = {}

    async def start(self) -> None:
        for number in range(self._size):
            name = f"g-{number}"
            gateway = build_gateway(self.store, name, self.bounds)
            self.gateways[name] = gateway
            if self._link_bytes_per_s is not None:
                self._narrow_links(gateway)
            gateway.start()
        await self.wait_until(lambda: all(map(self.is_ready, self.gateways)), START_S)
        # The watches that were begun before the others were known end.
        self.store.cut_watches()
        await self.wait_until(lambda: len(self.watching()) == 2, START_S)

    def _narrow_links(self, gateway: Gateway) -> None:
        def link_to(address: str, server: str) -> Proxy:
            if server not in self._links:
                self._links[server] = Proxy(address, self._link_bytes_per_s)
            return self._links[server]

        relay, node = gateway.node.require(Relay), gateway.node

        def create_pool(peer: Any) -> Http1Pool:
            link = link_to(peer.gossip, peer.gossip)
            return Http1Pool(reactor, link.address, node.clock)

        relay._create_pool = create_pool  # type: ignore[method-assign]
        store = link_to(
            self.store.server.address, f"store for {node.settings.instance}"
        )
        node.feed._pool = Http1Pool(reactor, store.address, node.clock)

    async def stop(self) -> None:
        for gateway in self.gateways.values():
            await gateway.stop()
        for server in (self.store.server, self.worker.server):
            await server.stop(0)
        for link in self._links.values():
            await link.stop()

    async def wait_until(self, condition: Callable[[], bool], limit_s: float) -> None:
        for _ in range(int(limit_s / POLL_INTERVAL_S)):
            if condition():
                return
            await deferLater(reactor, POLL_INTERVAL_S, lambda: None)
        raise AssertionError("timed out before the condition became true")

    def part(self, name: str, kind: type) -> Any:
        return self.gateways[name].node.require(kind)

    def is_ready(self, name: str) -> bool:
        table = self.part(name, Routes).table
        return table is not None and self.part(name, Workers).complete

    def watching(self) -> frozenset[str]:
        """Return the instances whose configuration follower watches the store."""
        return frozenset(
            name
            for name in self.gateways
            if self.part(name, Routes)._follower._watching
        )

    def watchers(self) -> frozenset[str]:
        return choose_watchers(frozenset(self.gateways))

    def followers_of(self, watcher: str) -> list[str]:
        chosen = {n: self.part(n, Sources).choose() for n in self.gateways}
        return [n for n, peer in chosen.items() if peer and peer.id == watcher]

    def put_configuration(self, version: int) -> None:
        self.store.put("config", "main", configuration(version))

    async def apply_configuration(self, version: int) -> None:
        """Write a configuration and wait until all have it in force in time."""
        self.put_configuration(version)
        await self.wait_until(lambda: self.in_force(version), IN_FORCE_S)

    def in_force(self, version: int, names=None) -> bool:
        return all(
            self.part(name, Routes).version == version
            for name in (self.gateways if names is None else names)
        )

    def sent_bytes(self) -> dict[str, int]:
        """Return what passed each narrow link so far."""
        return {server: link.sent_bytes for server, link in self._links.items()}

    def others(self, name: str) -> list[str]:
        return [other for other in self.gateways if other != name]


@pytest.fixture
def run_fleet(run_in_reactor):
    def run(scenario, **options: Any) -> None:
        async def main() -> None:
            fleet = Fleet(**options)
            try:
                await fleet.start()
                await scenario(fleet)
            finally:
                await fleet.stop()

        run_in_reactor(main())

    return run


def test_two_instances_watch_and_a_change_is_in_force_on_all(run_fleet) -> None:
    async def scenario(fleet) -> None:
        assert fleet.watching() == fleet.watchers()
        calls = len(fleet.store.calls)
        fleet.put_configuration(2)
        await fleet.wait_until(lambda: fleet.in_force(2), 1.0)
        watches = [c for c in fleet.store.calls[calls:] if c == "GET config"]
        assert len(watches) <= 4

    run_fleet(scenario)


# A watcher sent a large configuration in full to each follower, for longer than a poll
# lasts, and the followers asked again from the start.
def test_large_configuration_passes_narrow_links_in_time(run_fleet) -> None:
    async def scenario(fleet) -> None:
        large = configuration(2)
        large["resources"] += [
            route(f"/{Random(number).getrandbits(32):x}/", "safe", **ROUTE_OPTIONS)
            for number in range(ADDED_ROUTES)
        ]
        sent_before = fleet.sent_bytes()
        fleet.store.put("config", "main", large)
        await fleet.wait_until(lambda: fleet.in_force(2), NARROW_IN_FORCE_S)
        most = max(
            sent - sent_before.get(server, 0)
            for server, sent in fleet.sent_bytes().items()
        )
        assert most < NARROW_LINK_BYTES_PER_S * NARROW_IN_FORCE_S

    run_fleet(scenario, size=REGION_SIZE, link_bytes_per_s=NARROW_LINK_BYTES_PER_S)


def test_removed_and_unreadable_entries_reach_the_followers(run_fleet) -> None:
    async def scenario(fleet) -> None:
        fleet.store.put("servers", "i-bad", {"service": 5})
        fleet.store.remove("servers", "i-0")
        await fleet.wait_until(
            lambda: all(
                fleet.part(name, Workers).directory.get("i-0") is None
                for name in fleet.gateways
            ),
            IN_FORCE_S,
        )
        for name, gateway in fleet.gateways.items():
            names = {event.name for event in gateway.node.sink.events}
            assert "worker.entry-ignored" in names, (name, fleet.watchers(), names)

    run_fleet(scenario)


@pytest.mark.parametrize("how", ["dead", "frozen", "cut from the store"])
def test_change_is_in_force_in_time_when_a_watcher_is_lost(run_fleet, how) -> None:
    async def scenario(fleet) -> None:
        lost = next(w for w in sorted(fleet.watchers()) if fleet.followers_of(w))
        gateway = fleet.gateways[lost]
        relay = gateway.node.require(Relay)
        if how == "dead":
            lose_process(gateway)
        elif how == "frozen":
            never: Deferred[None] = Deferred()
            freeze(gateway, relay, never)
        else:
            gateway.node.feed._pool.close()
            gateway.node.feed.read = gateway.node.feed.watch = lambda *_, **__: (
                Deferred()
            )
            fleet.store.cut_watches()
            await deferLater(reactor, 0, lambda: None)
        fleet.put_configuration(2)
        others = fleet.others(lost)
        await fleet.wait_until(lambda: fleet.in_force(2, others), IN_FORCE_S)

    run_fleet(scenario)


def test_changes_arrive_after_an_outage_of_the_store(run_fleet) -> None:
    async def scenario(fleet) -> None:
        fleet.store.down = True
        fleet.store.cut_watches(503)
        await deferLater(reactor, 1.5, lambda: None)
        fleet.store.down = False
        fleet.put_configuration(2)
        await fleet.wait_until(lambda: fleet.in_force(2), STABLE_S)

    run_fleet(scenario)


def test_changes_arrive_when_the_history_is_gone(run_fleet) -> None:
    async def scenario(fleet) -> None:
        watches, fleet.store._pending_watches = fleet.store._pending_watches, []
        fleet.put_configuration(2)
        fleet.store._pending_watches = watches
        fleet.store.discard_history()
        await fleet.wait_until(lambda: fleet.in_force(2), IN_FORCE_S)

    run_fleet(scenario)


# Followers compared the revisions of a restored store with those of the lost history.
def test_changes_arrive_after_the_store_went_back(run_fleet) -> None:
    async def scenario(fleet) -> None:
        copy = fleet.store.copy()
        for version in (2, 3, 4):
            await fleet.apply_configuration(version)
        fleet.store.restore(copy)
        fleet.put_configuration(4)
        await deferLater(reactor, STABLE_S, lambda: None)
        await fleet.apply_configuration(5)

    run_fleet(scenario)


# A watcher that had read the restored store answered polls from the lost history as if
# the numbers of both were one.
def test_followers_learn_of_changes_when_only_watchers_see_the_store_go_back(
    run_fleet,
) -> None:
    async def scenario(fleet) -> None:
        copy = fleet.store.copy()
        for version in (2, 3, 4):
            await fleet.apply_configuration(version)
        await deferLater(reactor, IN_FORCE_S, lambda: None)
        fleet.store.restore(copy, cut_watches=False)
        fleet.put_configuration(4)
        await deferLater(reactor, STABLE_S, lambda: None)
        await fleet.apply_configuration(5)

    run_fleet(scenario)


def test_instance_that_the_store_refuses_follows_a_watcher(run_fleet) -> None:
    async def scenario(fleet) -> None:
        refused = min(fleet.gateways.keys() - fleet.watchers())
        node = fleet.gateways[refused].node
        node.feed.read = node.feed.watch = lambda *_, **__: Deferred()
        fleet.put_configuration(2)
        await fleet.wait_until(lambda: fleet.in_force(2), IN_FORCE_S)

    run_fleet(scenario)


def lose_process(gateway: Gateway) -> None:
    """End an instance without a farewell: nothing is sent or answered any more."""
    for component in gateway._components:
        for task in vars(component).values():
            if hasattr(task, "wake"):
                task.stop()
    workers, routes = (gateway.node.require(kind) for kind in (Workers, Routes))
    for follower in (workers._follower, workers._evacuations, routes._follower):
        follower.stop()
    relay = gateway.node.require(Relay)
    relay._server.buildProtocol = lambda address: None  # type: ignore[method-assign]
    for connection in tuple(relay._server.connections):
        connection.transport.abortConnection()


def freeze(gateway: Gateway, relay: Relay, never: Deferred[None]) -> None:
    """Stop an instance with its connections open: polls get no answer."""

    async def wait(request: Any, topic: Any, query: Any) -> Any:
        return await never

    relay._serve_poll = wait  # type: ignore[method-assign]
    relay.answer_polls = lambda topic: None  # type: ignore[method-assign]
    relay._polls.clear()
    workers, routes = (gateway.node.require(kind) for kind in (Workers, Routes))
    for follower in (workers._follower, workers._evacuations, routes._follower):
        follower.stop()
