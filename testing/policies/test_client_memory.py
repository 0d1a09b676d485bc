"""Tests of the account of clients' memory and of the order of evictions."""

from __future__ import annotations

import pytest

from sycamorenotch_policies.client_memory import ByteKind
from sycamorenotch_policies.client_memory import ClientAccount
from sycamorenotch_policies.client_memory import ClientLimits
from sycamorenotch_policies.client_memory import MachineShare
from sycamorenotch_policies.client_memory import derive_client_limits
from sycamorenotch_policies.client_memory import derive_own_limits
from sycamorenotch_policies.client_memory._account import PAUSED_AFTER_S

MEBIBYTE = 1_048_576


class Clients:
    """Clients of one account, and the reasons why some were evicted."""

    def __init__(self, connections: int = 100, requests: int = 100) -> None:
        self.now = 0.0
        limits = ClientLimits(MEBIBYTE, connections, requests)
        self.account = ClientAccount(limits, lambda: self.now)
        self.evicted: list[tuple[str, str]] = []

    def open(self, name: str):
        clients = self

        class Client:
            def evict(self, reason: str) -> None:
                clients.evicted.append((name, str(reason)))

        return self.account.open(Client())


def test_large_body_fits_on_a_machine_of_300_mb_and_alone_on_one_of_200_mb() -> None:
    body = 64 * MEBIBYTE
    assert derive_client_limits(MachineShare(300, 4_100, 33_554_432)).total_bytes > (
        2 * body
    )
    limits = derive_client_limits(MachineShare(200, 4_100, 33_554_432))
    assert body < limits.total_bytes < 200_000_000 - 85_000_000 - 33_554_432 + 1
    assert (limits.connections, limits.requests) == (2_437, 975)


def test_listeners_for_the_platform_have_limits_of_their_own() -> None:
    limits = derive_own_limits(MachineShare(200, 4_100, 33_554_432))
    assert (limits.connections, limits.requests) == (121, 121)
    assert derive_own_limits(MachineShare(200, 100, 0)).connections == 16


def test_settings_replace_the_limits_of_the_machine() -> None:
    share = MachineShare(200, 4_100, 33_554_432)
    limits = derive_client_limits(share, total_bytes=5, connections=6)
    assert (limits.total_bytes, limits.connections) == (5, 6)
    assert derive_client_limits(MachineShare(90, 100, 33_554_432)).total_bytes > 0


def test_client_that_reads_nothing_is_closed_before_those_that_sent_ahead() -> None:
    clients = Clients()
    silent, ahead, ordinary = map(clients.open, ("silent", "ahead", "ordinary"))
    clients.account.charge(silent, ByteKind.RESPONSE, 300_000)
    clients.account.set_stalled(silent, True)
    for _ in range(3):
        assert clients.account.start(ahead)
    clients.account.charge(ahead, ByteKind.RESPONSE, 400_000)
    assert clients.account.start(ordinary)
    clients.account.charge(ordinary, ByteKind.RESPONSE, 300_000)
    assert clients.evicted == [("silent", "unread")]
    clients.account.charge(ordinary, ByteKind.RESPONSE, 400_000)
    assert clients.evicted[1:] == [("ahead", "sent-ahead")]


def test_newest_body_is_refused_when_nobody_else_is_greedy() -> None:
    # The bodies that were accepted first must be able to finish.
    clients = Clients()
    first, second = clients.open("first"), clients.open("second")
    clients.account.charge(first, ByteKind.BODY, 600_000)
    clients.account.charge(second, ByteKind.BODY, 300_000)
    clients.account.charge(first, ByteKind.BODY, 300_000)
    assert clients.evicted == [("second", "memory")]


def test_short_body_is_not_refused_for_long_ones_that_are_sent_slowly() -> None:
    # Clients that never finish their bodies must not shut out ordinary ones.
    clients = Clients()
    old, slow, short = map(clients.open, ("old", "slow", "short"))
    clients.account.charge(old, ByteKind.BODY, 500_000)
    clients.account.charge(slow, ByteKind.BODY, 440_000)
    clients.account.charge(short, ByteKind.BODY, 10_000)
    assert clients.evicted == [("slow", "memory")]


def test_body_that_pauses_gives_way_to_one_that_makes_progress() -> None:
    # Clients that pause for ever must not keep the memory from all others.
    clients = Clients()
    paused, sending = clients.open("paused"), clients.open("sending")
    clients.account.charge(paused, ByteKind.BODY, 60_000)
    clients.account.charge(sending, ByteKind.BODY, 500_000)
    clients.now = PAUSED_AFTER_S
    clients.account.charge(sending, ByteKind.BODY, 400_000)
    assert clients.evicted == [("paused", "paused")]


def test_large_body_below_the_long_ones_gives_way_to_a_short_one() -> None:
    # None of these bodies is long, so that the one that was charged last was refused.
    clients = Clients()
    for number in range(15):
        use = clients.open(f"slow {number}")
        clients.account.charge(use, ByteKind.BODY, 62_000)
    clients.account.charge(clients.open("short"), ByteKind.BODY, 20_000)
    assert {reason for _, reason in clients.evicted} == {"memory"}
    assert all(name.startswith("slow") for name, _ in clients.evicted)


def test_connection_that_pauses_in_its_body_is_closed_for_a_new_one() -> None:
    # A body that had begun kept its connection, so that nobody else was accepted.
    clients = Clients(connections=2)
    for name in ("first", "second"):
        clients.account.charge(clients.open(name), ByteKind.BODY, 1)
        clients.now += 1
    clients.open("new")
    assert clients.evicted == [("first", "connections")]


def test_bodies_leave_room_for_requests_without_one() -> None:
    clients = Clients()
    body, ordinary = clients.open("body"), clients.open("ordinary")
    for _ in range(95):
        clients.account.charge(body, ByteKind.BODY, 10_000)
        assert clients.account.start(ordinary)
        clients.account.end(ordinary)
    assert clients.evicted == [("body", "memory")]


def test_client_that_sent_little_ahead_is_not_closed_for_a_large_body() -> None:
    clients = Clients()
    ahead, body = clients.open("ahead"), clients.open("body")
    for _ in range(3):
        assert clients.account.start(ahead)
    clients.account.charge(body, ByteKind.BODY, MEBIBYTE)
    assert clients.evicted == [("body", "memory")]


def test_requests_sent_ahead_leave_room_for_other_clients() -> None:
    clients = Clients(requests=8)
    ahead, ordinary = clients.open("ahead"), clients.open("ordinary")
    started = [clients.account.start(ahead) for _ in range(8)]
    assert started == [True] * 6 + [False] * 2
    assert clients.account.start(ordinary)
    clients.account.end(ahead)
    assert clients.evicted == []


def test_request_is_refused_without_memory_for_it() -> None:
    clients = Clients()
    first, second = clients.open("first"), clients.open("second")
    assert clients.account.start(first)
    clients.account.charge(first, ByteKind.RESPONSE, MEBIBYTE - 60_000)
    assert not clients.account.start(second)
    clients.account.charge(first, ByteKind.RESPONSE, 60_000 - MEBIBYTE)
    assert clients.account.start(second)
    assert clients.evicted == []


def test_request_of_many_header_fields_takes_its_part() -> None:
    # Each field is several objects, which took a hundred times the estimate.
    clients = Clients()
    use = clients.open("many")
    assert not clients.account.start(use, 3_900)
    assert clients.account.start(use, 1_000)
    assert clients.account.totals[ByteKind.REQUEST] > 500_000
    clients.account.end(use, 1_000)
    assert clients.account.totals[ByteKind.REQUEST] == 0


def test_connection_that_never_sent_a_request_is_closed_first() -> None:
    clients = Clients(connections=3)
    names = ("idle", "silent", "busy")
    idle, _, busy = map(clients.open, names)
    for use in (idle, busy):
        assert clients.account.start(use)
    clients.account.end(idle)
    newest = clients.open("newest")
    assert clients.evicted == [("silent", "connections")]
    assert clients.account.start(newest)
    clients.open("last")
    assert clients.evicted[1:] == [("idle", "connections")]


def test_client_that_reads_a_response_is_closed_after_idle_ones() -> None:
    # A long response would be cut off although its client reads it.
    clients = Clients(connections=2)
    reading, idle = clients.open("reading"), clients.open("idle")
    for use in (reading, idle):
        assert clients.account.start(use)
        clients.account.end(use)
    clients.account.charge(reading, ByteKind.RESPONSE, 500_000)
    assert clients.account.start(clients.open("newest"))
    assert clients.evicted == [("idle", "connections")]
    clients.open("last")
    assert clients.evicted[1:] == [("reading", "connections")]


def test_client_that_is_closed_with_another_one_starts_no_request() -> None:
    # Nothing would ever release the request.
    clients = Clients()
    greedy, closed = clients.open("greedy"), clients.open("closed")
    greedy.client.evict = lambda reason: clients.account.close(closed)
    clients.account.charge(greedy, ByteKind.RECEIVED, MEBIBYTE - 10_000)
    assert not clients.account.start(closed)
    assert (clients.account.used_bytes, clients.account.requests) == (0, 0)


def test_new_connection_is_closed_when_all_others_are_busy() -> None:
    clients = Clients(connections=1)
    assert clients.account.start(clients.open("busy"))
    clients.open("newest")
    assert clients.evicted == [("newest", "connections")]
    assert clients.account.connections == 1


@pytest.mark.parametrize("kind", ByteKind)
def test_closed_client_leaves_nothing_behind(kind: ByteKind) -> None:
    clients = Clients()
    use = clients.open("client")
    clients.account.charge(use, kind, 1_000)
    assert clients.account.start(use)
    clients.account.close(use)
    clients.account.charge(use, kind, 1_000)
    clients.account.end(use)
    assert (clients.account.used_bytes, clients.account.requests) == (0, 0)
    assert clients.account.totals == [0] * len(ByteKind)
