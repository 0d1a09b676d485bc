"""Tests that a watch on a connection that has gone silent ends in time."""

from __future__ import annotations

from types import SimpleNamespace

from testing.platform.conftest import Site
from testing.platform.conftest import build_gateway
from testing.platform.conftest import configuration
from testing.platform.proxies import Proxy
from testing.platform.standins import StandInStore
from testing.platform.standins import StandInWorker
from twisted.internet import reactor
from twisted.internet.task import deferLater

from sycamorenotch_gateway._workers import Workers


def silence_open_connections(proxy: Proxy) -> None:
    """Drop what the open connections carry from now on, without closing them."""
    for side in proxy.sides:
        side.dataReceived = lambda data: None  # type: ignore[method-assign]


# The watch after a change goes out a second later. If its connection has gone silent in
# between, it ended only a stability window after it was sent; see review/5.
def test_silence_between_two_watches_hides_no_drain_beyond_the_window(
    run_in_reactor,
) -> None:
    async def main() -> None:
        store, worker = StandInStore(), StandInWorker("i-0")
        proxy = Proxy(store.server.address)
        store.put("config", "main", configuration())
        store.put("servers", "i-0", worker.entry)
        gateway = build_gateway(SimpleNamespace(server=proxy))
        gateway.start()
        site = Site(store, [worker], gateway, gateway.node.sink)
        await site.wait_until_ready()
        # No watch has been waiting for the silence to come.
        await deferLater(reactor, 1.5, lambda: None)
        window_s = gateway.node.settings.bounds.stability_window.total_seconds()
        directory = gateway.node.require(Workers).directory
        worker.slots = 5
        store.put("servers", "i-0", worker.entry)
        await site.wait_until(lambda: directory.get("i-0").entry.slots == 5)
        await deferLater(reactor, 0.1, lambda: None)
        silence_open_connections(proxy)
        silent_at = reactor.seconds()
        worker.state = "draining"
        store.put("servers", "i-0", worker.entry)
        await site.wait_until(lambda: directory.get("i-0").entry.draining)
        known_after_s = reactor.seconds() - silent_at
        await gateway.stop()
        for server in (store.server, worker.server):
            await server.stop(0)
        proxy._port.stopListening()
        assert known_after_s <= window_s

    run_in_reactor(main())
