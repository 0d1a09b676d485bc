"""Tests that crowds of clients neither end a gateway nor use up its machine.

The crowds and the bounds are those that the code before the memory budget of clients
did not keep. No times and no share of served requests are checked.
"""

from __future__ import annotations

from testing.platform.crowds import Client
from testing.platform.crowds import GatewayProcess
from testing.platform.crowds import TricklingClient

GET = b"GET /safe/1 HTTP/1.1\r\nHost: h\r\n\r\n"
LARGE_GET = b"GET /load/1 HTTP/1.1\r\nHost: h\r\n\r\n"
BODY_BYTES = 12 * 1_048_576


def post(length: int) -> bytes:
    head = f"POST /once/1 HTTP/1.1\r\nHost: h\r\nContent-Length: {length}\r\n\r\n"
    return head.encode()


def test_clients_that_send_ahead_and_never_read(run_crowd) -> None:
    # All requests that were sent ahead were held in memory.
    requests = GET * (6 * 1_048_576 // len(GET))
    run_crowd(
        lambda gateway, _: gateway.enter(lambda: Client(requests, reads=False)),
        count=20,
        served_meanwhile=True,
    )


def test_clients_that_never_read_large_responses(run_crowd) -> None:
    # Responses that nobody read were held in memory.
    requests = LARGE_GET * 20_000
    run_crowd(
        lambda gateway, _: gateway.enter(lambda: Client(requests, reads=False)),
        count=20,
        served_meanwhile=True,
    )


def test_clients_that_stop_within_the_headers(run_crowd) -> None:
    # Each takes a descriptor and what it sent until the timeout.
    head = GET[:-2] + b"X-Long: " + b"a" * 12_000
    run_crowd(
        lambda gateway, _: gateway.enter(lambda: Client(head, reads=True)),
        count=700,
        served_meanwhile=True,
    )


def test_clients_that_send_long_bodies(run_crowd) -> None:
    # Bodies were held several times, while they were received and while they were sent.
    whole, begin = post(BODY_BYTES) + bytes(BODY_BYTES), bytes(BODY_BYTES // 2)

    def enter(gateway: GatewayProcess, number: int) -> None:
        if number % 4:
            gateway.enter(lambda: Client(whole, reads=True))
        else:
            data = post(BODY_BYTES) + begin
            gateway.enter(lambda: TricklingClient(data, bytes(4_096)))

    run_crowd(enter, count=16, served_meanwhile=False)


def test_connections_up_to_the_limit_of_descriptors(run_crowd) -> None:
    # Without descriptors for workers and the store no request is served.
    def enter(gateway: GatewayProcess, number: int) -> None:
        data = GET if number % 2 else b""
        gateway.enter(lambda: Client(data, reads=True))

    run_crowd(enter, count=700, served_meanwhile=True)
