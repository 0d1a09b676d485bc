"""Serves a gateway with a stand-in store and workers until it is interrupted."""

from __future__ import annotations

import json

from testing.platform.conftest import ROUTES
from testing.platform.conftest import build_site
from testing.platform.standins import StandInWorker
from twisted.internet import reactor
from twisted.internet.defer import Deferred

from sycamorenotch_kernel import load_plugins
from sycamorenotch_transport import install_literal_resolver

WORKERS = 3


async def serve() -> None:
    """Start all parts, and print their addresses as JSON once the gateway is ready."""
    workers = [StandInWorker(f"i-{number}") for number in range(WORKERS)]
    site = await build_site(workers)
    await site.wait_until_ready()
    addresses = site.gateway.addresses
    description = {
        "ready": True,
        "host": "h",
        "routes": ROUTES,
        "store": site.store.server.address,
        "workers": [worker.server.address for worker in workers],
        **addresses,
    }
    print(json.dumps(description), flush=True)


def main() -> None:
    """Run until the process is interrupted."""
    load_plugins()
    install_literal_resolver(reactor)
    reactor.callWhenRunning(lambda: Deferred.fromCoroutine(serve()))
    reactor.run()


if __name__ == "__main__":
    main()
