"""Tests that crowds of clients neither end a gateway nor use up its machine.

The crowds and the bounds are those that the code before the memory budget of clients
did not keep. No times and no share of served requests are checked.
"""

from __future__ import annotations

import pytest
from testing.platform.crowds import Client
from testing.platform.crowds import GatewayProcess
from testing.platform.crowds import TricklingClient
from twisted.internet import reactor
from twisted.internet.task import deferLater

# The process uses about 85 MB before it serves.
MEMORY_MB = 150
DESCRIPTORS = 600
MOST_DESCRIPTORS = 500
HOLD_S = 5.0
GET = b"GET /safe/1 HTTP/1.1\r\nHost: h\r\n\r\n"
LARGE_GET = b"GET /load/1 HTTP/1.1\r\nHost: h\r\n\r\n"
BODY_BYTES = 12 * 1_048_576


def post(length: int) -> bytes:
    head = f"POST /once/1 HTTP/1.1\r\nHost: h\r\nContent-Length: {length}\r\n\r\n"
    return head.encode()


@pytest.fixture
def run_crowd(run_in_reactor, tmp_path):
    """Return a function that plays a crowd against a gateway and checks its bounds."""

    def run(enter, count: int, *, served_meanwhile: bool) -> None:
        gateway = GatewayProcess(tmp_path, MEMORY_MB, DESCRIPTORS)

        async def main() -> None:
            gateway.start()
            try:
                await play(gateway)
            finally:
                await gateway.stop()

        async def play(gateway: GatewayProcess) -> None:
            assert await gateway.serves()
            for number in range(count):
                enter(gateway, number)
            await deferLater(reactor, HOLD_S, lambda: None)
            served = not served_meanwhile or await gateway.serves()
            gateway.leave()
            served_after = await gateway.serves()
            seen = (
                f"{gateway.largest_mb:.0f} MB, {gateway.most_descriptors} descriptors"
            )
            print(seen, served, served_after)
            assert gateway.alive, seen
            assert gateway.largest_mb < MEMORY_MB, seen
            assert gateway.most_descriptors < MOST_DESCRIPTORS, seen
            assert served, seen
            assert served_after, seen

        run_in_reactor(main())

    return run


def test_clients_that_send_ahead_and_never_read(run_crowd) -> None:
    # All requests that were sent ahead were held in memory.
    requests = GET * (6 * 1_048_576 // len(GET))
    run_crowd(
        lambda gateway, _: gateway.enter(Client(requests, reads=False)),
        count=20,
        served_meanwhile=True,
    )


def test_clients_that_never_read_large_responses(run_crowd) -> None:
    # Responses that nobody read were held in memory.
    requests = LARGE_GET * 20_000
    run_crowd(
        lambda gateway, _: gateway.enter(Client(requests, reads=False)),
        count=20,
        served_meanwhile=True,
    )


def test_clients_that_stop_within_the_headers(run_crowd) -> None:
    # Each takes a descriptor and what it sent until the timeout.
    head = GET[:-2] + b"X-Long: " + b"a" * 12_000
    run_crowd(
        lambda gateway, _: gateway.enter(Client(head, reads=True)),
        count=700,
        served_meanwhile=True,
    )


def test_clients_that_send_long_bodies(run_crowd) -> None:
    # Bodies were held several times, while they were received and while they were sent.
    whole, begin = post(BODY_BYTES) + bytes(BODY_BYTES), bytes(BODY_BYTES // 2)

    def enter(gateway: GatewayProcess, number: int) -> None:
        if number % 4:
            gateway.enter(Client(whole, reads=True))
        else:
            gateway.enter(TricklingClient(post(BODY_BYTES) + begin, bytes(4_096)))

    run_crowd(enter, count=16, served_meanwhile=False)


def test_connections_up_to_the_limit_of_descriptors(run_crowd) -> None:
    # Without descriptors for workers and the store no request is served.
    def enter(gateway: GatewayProcess, number: int) -> None:
        gateway.enter(Client(GET if number % 2 else b"", reads=True))

    run_crowd(enter, count=700, served_meanwhile=True)
