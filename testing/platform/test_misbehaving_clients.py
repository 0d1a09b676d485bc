"""Tests that misbehaving clients neither stop a gateway nor shut out other callers.

Each crowd does one thing that the published limits rule out, or that they allow and no
ordinary client does. Neither times nor the share of served requests are checked.
"""

from __future__ import annotations

import signal

import pytest
from testing.platform.crowds import CHUNKED
from testing.platform.crowds import ENDLESS
from testing.platform.crowds import GET
from testing.platform.crowds import LONG_BODY
from testing.platform.crowds import TINY_CHUNK
from testing.platform.crowds import Client
from testing.platform.crowds import EndlessClient
from testing.platform.crowds import GatewayProcess
from testing.platform.crowds import ResettingClient
from testing.platform.crowds import TricklingClient

HEAD = GET.replace(b"GET", b"HEAD")
# The memory for responses is lowered, so that most of the machine is for clients.
FEW_RESPONSES = "[answers]\nbuffered_bytes = 1000000\n"
LITTLE_MEMORY = "[clients]\nmax_bytes = 8000000\n"
SLOW_ANSWER_S = 1.0
CALLER_LISTENERS = ("callers", "lookups", "readiness", "metrics")
# Parts of a body after which clients pause, and how many of them.
PAUSED_PARTS = ((1_000_000, 10), (64_000, 150), (8_000, 40), (1, 40))
PAUSED_CLIENTS = sum(count for _, count in PAUSED_PARTS)


def enter_paused(gateway: GatewayProcess, number: int) -> None:
    """Let a client begin a body and pause; it returns when it is closed."""
    sizes = [size for size, count in PAUSED_PARTS for _ in range(count)]
    data = LONG_BODY + bytes(sizes[number])
    gateway.enter(lambda: Client(data, reads=True), returns=True)


def enter_all_kinds(gateway: GatewayProcess, number: int) -> None:
    """Let a client of one of several kinds connect."""
    kinds = (
        lambda: EndlessClient(CHUNKED, TINY_CHUNK),
        lambda: EndlessClient(b"", GET, reads=False),
        lambda: Client(LONG_BODY + bytes(64_000), reads=True),
        lambda: Client(GET[:9], reads=True),
        lambda: TricklingClient(LONG_BODY, b"x"),
    )
    gateway.enter(kinds[number % len(kinds)], returns=True)


def make_workers_slow(gateway: GatewayProcess) -> None:
    for worker in gateway.workers:
        worker.mode, worker.delay_s = "slow", SLOW_ANSWER_S


@pytest.mark.parametrize("listener", CALLER_LISTENERS)
def test_bodies_in_chunks_of_one_byte(run_crowd, listener) -> None:
    # All that had arrived was parsed in one turn of the loop, client after client.
    run_crowd(
        lambda gateway, _: gateway.enter(
            lambda: EndlessClient(CHUNKED, TINY_CHUNK), listener, returns=True
        ),
        count=20,
        answered_at_once=True,
        served_meanwhile=True,
    )


@pytest.mark.parametrize("kind", ENDLESS)
def test_requests_without_end(run_crowd, kind) -> None:
    first, repeated = ENDLESS[kind]
    run_crowd(
        lambda gateway, _: gateway.enter(
            lambda: EndlessClient(first, repeated), returns=True
        ),
        count=40,
        answered_at_once=True,
        served_meanwhile=True,
    )


@pytest.mark.parametrize("listener", CALLER_LISTENERS)
@pytest.mark.parametrize(
    ("data", "count"), [(GET, 40), (HEAD, 150)], ids=["get", "head"]
)
def test_requests_sent_ahead_without_end(run_crowd, data, count, listener) -> None:
    # Their requests took every place at the workers. When they left, each request that
    # was still connecting to its worker counted as a failure of that worker.
    run_crowd(
        lambda gateway, _: gateway.enter(
            lambda: EndlessClient(b"", data, reads=False), listener
        ),
        count=count,
        answered_at_once=True,
        served_meanwhile=True,
    )


def test_requests_sent_ahead_to_slow_workers(run_crowd) -> None:
    # Each place that became free at a worker went to the client that asked most.
    run_crowd(
        lambda gateway, _: gateway.enter(lambda: EndlessClient(b"", GET, reads=False)),
        count=40,
        served_meanwhile=True,
        prepare=make_workers_slow,
    )


def test_bodies_that_pause(run_crowd) -> None:
    # Bodies filled the memory of all clients and were never closed.
    run_crowd(
        enter_paused,
        count=PAUSED_CLIENTS,
        answered_at_once=True,
        served_meanwhile=True,
        short_body=b"ordinary",
        machine={"settings": LITTLE_MEMORY},
    )


def test_bodies_in_small_pieces_from_many_clients(run_crowd) -> None:
    # The account had the bytes of the bodies, and not what the heap adds to them.
    run_crowd(
        lambda gateway, _: gateway.enter(
            lambda: TricklingClient(LONG_BODY + bytes(30_000), bytes(4_000)),
            returns=True,
        ),
        count=700,
        served_meanwhile=True,
        machine={"descriptors": 1_400, "settings": FEW_RESPONSES},
    )


def test_heads_that_arrive_byte_by_byte(run_crowd) -> None:
    run_crowd(
        lambda gateway, _: gateway.enter(
            lambda: TricklingClient(GET[:-2], b"a"), returns=True
        ),
        count=300,
        served_meanwhile=True,
    )


def test_connections_that_are_reset(run_crowd) -> None:
    run_crowd(
        lambda gateway, number: gateway.enter(
            lambda: ResettingClient(GET[: -(number % 2)] or GET), returns=True
        ),
        count=100,
        served_meanwhile=True,
    )


def test_connections_that_are_half_closed(run_crowd) -> None:
    run_crowd(
        lambda gateway, _: gateway.enter(
            lambda: Client(GET * 100, reads=False, half_closes=True), returns=True
        ),
        count=100,
        served_meanwhile=True,
    )


def test_silent_connections_to_the_readiness_listener(run_crowd) -> None:
    # Only connections of callers and look-ups were counted.
    run_crowd(
        lambda gateway, _: gateway.enter(
            lambda: Client(b"", reads=True), "readiness", returns=True
        ),
        count=700,
        served_meanwhile=True,
    )


def test_misbehaving_clients_during_a_reload(run_crowd) -> None:
    run_crowd(
        enter_all_kinds,
        count=100,
        served_meanwhile=True,
        disturb=lambda gateway: gateway.process.send_signal(signal.SIGHUP),
    )


def test_misbehaving_clients_during_an_outage_of_the_store(run_crowd) -> None:
    def stop_store(gateway: GatewayProcess) -> None:
        gateway.store.silent = True

    run_crowd(enter_all_kinds, count=100, served_meanwhile=True, disturb=stop_store)


def test_process_ends_in_time_beside_misbehaving_clients(
    run_in_reactor, tmp_path
) -> None:
    # The clients keep using their connections until the process is gone.
    async def stop() -> None:
        gateway = GatewayProcess(tmp_path, memory_mb=150, descriptors=600)
        gateway.start()
        try:
            assert await gateway.serves()
            for number in range(100):
                enter_all_kinds(gateway, number)
            assert await gateway.ends_after(signal.SIGTERM)
        finally:
            await gateway.stop()

    run_in_reactor(stop())
