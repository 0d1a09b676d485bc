"""Fixtures: one gateway with a stand-in store and stand-in workers."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any

import pytest
from testing.platform.standins import StandInStore
from testing.platform.standins import StandInWorker
from twisted.internet import reactor
from twisted.internet.task import deferLater

from sycamorenotch_gateway import Gateway
from sycamorenotch_gateway import GatewayNode
from sycamorenotch_gateway import parse_gateway_settings
from sycamorenotch_gateway._node import read_boot_clock
from sycamorenotch_kernel import EventList
from sycamorenotch_kernel import dialects
from sycamorenotch_kernel import object_feeds
from sycamorenotch_transport import Http1Pool
from sycamorenotch_transport import HttpRequest
from sycamorenotch_transport import HttpResponse

SETTINGS = """
[instance]
id = me
region = west
data_centre = a

[data_centre a]
region = west

[data_centre b]
region = east

[listen]
callers = 127.0.0.1:0
readiness = 127.0.0.1:0
lookups = 127.0.0.1:0
gossip = 127.0.0.1:0
metrics = 127.0.0.1:0

[platform]
feed = platform
dialect = platform
store = {store}

[bounds]
grace = 800ms
"""
ROUTES = {"/safe/": "safe", "/once/": "unsafe", "/load/": "download"}
POLL_INTERVAL_S = 0.01
MAX_POLLS = 500


def route(prefix: str, kind: str, **changes: Any) -> dict[str, Any]:
    specification = {
        "host": "h",
        "path_prefix": prefix,
        "kind": kind,
        "timeout": "2s",
        "service": "s",
        "max_attempts": 2,
        "sticky_sessions": True,
        **changes,
    }
    return {
        "resource_kind": "routes",
        "metadata": {"name": prefix.strip("/")},
        "specification": specification,
    }


def configuration(version: int = 1, **changes: Any) -> dict[str, Any]:
    routes = [route(prefix, kind, **changes) for prefix, kind in ROUTES.items()]
    service = {
        "resource_kind": "services",
        "metadata": {"name": "s"},
        "specification": {"cold_start": "3s", "cold_per_s": 4},
    }
    return {"version": version, "resources": [*routes, service]}


@dataclass
class Site:
    """A store, workers, one gateway and a client."""

    store: StandInStore
    workers: list[StandInWorker]
    gateway: Gateway
    sink: EventList
    sent: int = 0

    async def wait_until(self, condition) -> None:
        for _ in range(MAX_POLLS):
            if condition():
                return
            await deferLater(reactor, POLL_INTERVAL_S, lambda: None)
        raise AssertionError("timed out before the condition became true")

    async def wait_until_ready(self) -> None:
        async def answered() -> bool:
            return (await self.fetch("readiness", "/api/readiness")).status == 200

        for _ in range(MAX_POLLS):
            if await answered():
                return
            await deferLater(reactor, POLL_INTERVAL_S, lambda: None)
        raise AssertionError("the gateway is not ready")

    async def fetch(self, listener: str, target: str) -> HttpResponse:
        pool = Http1Pool(reactor, self.gateway.addresses[listener], time.monotonic)
        request = HttpRequest("GET", target, (("Host", "h"),))
        response = await pool.exchange(request, 1.0)
        pool.close()
        return response

    def request(self, path: str = "/safe/1", key: str = "7", **headers: str):
        self.sent += 1
        pairs = (
            ("Host", headers.pop("host", "h")),
            ("X-Attempt-Id", f"t{self.sent}"),
            ("X-Affinity-Key", key),
            ("X-Remaining-Milliseconds", headers.pop("patience", "3000")),
            *headers.pop("pairs", ()),
        )
        return HttpRequest(headers.pop("method", "GET"), path, pairs)

    async def call(self, path: str = "/safe/1", key: str = "7", **headers: str):
        pool = Http1Pool(reactor, self.gateway.addresses["callers"], time.monotonic)
        try:
            return await pool.exchange(self.request(path, key, **headers), 1.0)
        finally:
            pool.close()

    def events(self, name: str) -> list:
        return [event for event in self.sink.events if event.name == name]


async def build_site(
    workers: list[StandInWorker], main: dict[str, Any] | None = None, **options: Any
) -> Site:
    store = StandInStore()
    store.put("config", "main", main or configuration())
    for worker in workers:
        store.put("servers", worker.name, worker.entry)
    gateway = build_gateway(store, **options)
    gateway.start()
    return Site(store, workers, gateway, gateway.node.sink)


def build_gateway(
    store: StandInStore,
    name: str = "me",
    bounds: str = "",
    boot_clock: Callable[[], float] = read_boot_clock,
) -> Gateway:
    text = SETTINGS.format(store=store.server.address) + bounds
    settings = parse_gateway_settings(text.replace("id = me", f"id = {name}"))
    sink = EventList()
    node = GatewayNode(
        settings=settings,
        reactor=reactor,
        clock=time.monotonic,
        started=1,
        random=Random(1),
        sink=sink,
        feed=object_feeds.get("platform")(settings.store, reactor, time.monotonic),
        dialect=dialects.get("platform")(),
        processor_clock=time.process_time,
        boot_clock=boot_clock,
    )
    return Gateway(node)


@pytest.fixture
def run_on_site(run_in_reactor):
    """Return a function that runs a scenario on a new site.

    The function's ``count`` is the number of workers, ``main`` the configuration and
    ``options`` are those of :func:`build_gateway`; further keyword arguments are passed
    to each :class:`StandInWorker`.
    """

    def run(
        scenario,
        count: int = 2,
        main: dict[str, Any] | None = None,
        options: dict[str, Any] | None = None,
        **changes: Any,
    ) -> None:
        async def run_scenario() -> None:
            workers = [StandInWorker(f"i-{n}", **changes) for n in range(count)]
            site = await build_site(workers, main, **(options or {}))
            try:
                await site.wait_until_ready()
                await scenario(site)
            finally:
                await site.gateway.stop()
                for server in [site.store.server, *(w.server for w in workers)]:
                    await server.stop(0)

        run_in_reactor(run_scenario())

    return run


@pytest.fixture
def run_crowd(run_in_reactor, tmp_path):
    """Return a function that plays a crowd; see :class:`testing.platform.crowds.Crowd`.

    Its ``machine`` are the arguments of the class, the others those of ``play``.
    """
    from testing.platform.crowds import Crowd

    def run(enter, count: int, machine: dict[str, Any] | None = None, **play) -> None:
        crowd = Crowd(tmp_path, **(machine or {}))
        run_in_reactor(crowd.play(enter, count, **play))

    return run
