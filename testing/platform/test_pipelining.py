"""Tests of requests that a caller sends ahead on one connection to a gateway."""

from __future__ import annotations

import re

from testing.platform.crowds import CrowdFactory
from twisted.internet import reactor
from twisted.internet.protocol import Protocol

REQUESTS = 8


class Caller(Protocol):
    """Sends requests ahead and keeps what it reads."""

    def __init__(self) -> None:
        self.received = b""

    def connectionMade(self) -> None:
        for number in range(REQUESTS):
            head = f"GET /safe/{number} HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: p{number}"
            self.transport.write(f"{head}\r\nX-Affinity-Key: {number}\r\n\r\n".encode())

    def dataReceived(self, data: bytes) -> None:
        self.received += data


def test_requests_sent_ahead_run_together_and_are_answered_in_order(
    run_on_site,
) -> None:
    # Run one by one, half of them were late while workers were free.
    async def scenario(site) -> None:
        caller = Caller()
        host, _, port = site.gateway.addresses["callers"].rpartition(":")
        reactor.connectTCP(host, int(port), CrowdFactory(lambda: caller))
        await site.wait_until(
            lambda: sum(len(worker.requests) for worker in site.workers) == REQUESTS
        )
        assert caller.received == b""
        await site.wait_until(
            lambda: caller.received.count(b"HTTP/1.1 200") == REQUESTS
        )
        ids = re.findall(rb"X-Attempt-Id: (p\d)", caller.received)
        assert ids == [b"p%d" % number for number in range(REQUESTS)]
        caller.transport.loseConnection()

    run_on_site(scenario, slots=REQUESTS, mode="slow", delay_s=0.5)
