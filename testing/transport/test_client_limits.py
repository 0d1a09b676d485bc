"""Tests of what a server lets clients use: unread responses, refusals, evictions."""

from __future__ import annotations

from itertools import pairwise
from typing import Any

import pytest
from testing.transport.test_http1_server import GET
from testing.transport.test_http1_server import POST
from testing.transport.test_http1_server import Harness
from twisted.internet.error import ConnectionDone
from twisted.internet.task import Clock
from twisted.python.failure import Failure

from sycamorenotch_policies.client_memory import ByteKind
from sycamorenotch_policies.client_memory import ClientAccount
from sycamorenotch_policies.client_memory import ClientLimits
from sycamorenotch_policies.client_turns import AheadShares
from sycamorenotch_policies.client_turns import ClientTurns
from sycamorenotch_policies.client_turns import TurnLimits
from sycamorenotch_transport import HttpLimits
from sycamorenotch_transport import HttpResponse
from sycamorenotch_transport import TurnSchedule
from sycamorenotch_transport._http1_reader import PIPELINED_PIECE_BYTES

LARGE = bytes(200_000)
CHUNKED = b"POST /p HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
TURN_STEPS = 8


class Account:
    """An account that grants or refuses everything, and records what it was told."""

    def __init__(self) -> None:
        self.grants = True
        self.bytes = [0, 0, 0]
        self.running = 0
        self.open_uses: set[object] = set()

    def open(self, client: object) -> object:
        self.open_uses.add(client)
        return client

    def close(self, use: object) -> None:
        self.open_uses.discard(use)

    def charge_received(self, use: object, size: int) -> None:
        self.bytes[0] += size

    def charge_body(self, use: object, size: int) -> None:
        self.bytes[1] += size

    def charge_response(self, use: object, size: int) -> None:
        self.bytes[2] += size

    def start(self, use: object, fields: int) -> bool:
        self.running += self.grants
        return self.grants

    def end(self, use: object, fields: int) -> None:
        self.running -= 1

    def set_stalled(self, use: object, stalled: bool) -> None:
        self.stalled = stalled


class LimitedHarness(Harness):
    """A server with an account, whose client reads when it is told to."""

    def __init__(self, http_limits: HttpLimits | None = None, **options: Any) -> None:
        self.account = Account()
        self.evictions: list[str] = []
        super().__init__(
            http_limits,
            account=self.account,
            on_eviction=self.evictions.append,
            **options,
        )

    def read(self) -> None:
        """Let the transport send all that it has."""
        self.transport.producer.resumeProducing()
        self.clock.pump([0] * 3)


def build_schedule(harness: Harness) -> TurnSchedule:
    limits = TurnLimits(client=TURN_STEPS, total=TURN_STEPS)
    return TurnSchedule(harness.clock, ClientTurns(limits))


@pytest.fixture
def harness() -> LimitedHarness:
    return LimitedHarness()


def test_unread_response_holds_back_further_requests(harness) -> None:
    # A client that reads nothing must not let the gateway work for it without end.
    harness.send_ahead(GET)
    harness.responses[0].callback(HttpResponse(200, body=LARGE))
    harness.send_ahead(GET, GET)
    assert len(harness.requests) == 1
    assert len(harness.written) <= 65_536
    for _ in range(5):
        harness.read()
    assert len(harness.requests) == 3
    assert harness.written.endswith(LARGE)
    assert harness.account.bytes == [0, 0, 0]


def test_client_that_reads_nothing_is_closed_after_the_timeout(harness) -> None:
    harness.send_ahead(GET)
    harness.responses[0].callback(HttpResponse(200, body=LARGE))
    harness.clock.pump([1.0] * 9)
    assert harness.account.stalled
    assert not harness.transport.disconnected
    harness.clock.pump([1.0] * 4)
    assert harness.transport.disconnected
    assert harness.evictions == ["unread"]
    assert harness.account.open_uses == set()


def test_client_that_reads_slowly_is_not_closed(harness) -> None:
    harness.send_ahead(GET)
    harness.responses[0].callback(HttpResponse(200, body=LARGE * 10))
    for _ in range(20):
        harness.clock.pump([1.0] * 4)
        harness.read()
    assert not harness.transport.disconnected
    assert harness.evictions == []


@pytest.mark.parametrize("early", [True, False])
def test_slow_reader_of_a_large_response_may_send_the_next_request(
    harness, early
) -> None:
    # The timeouts of headers and of idle clients began while it was still reading.
    harness.send_ahead(GET)
    harness.responses[0].callback(HttpResponse(200, body=LARGE))
    if early:
        harness.send_ahead(GET)
    for _ in range(4):
        harness.clock.pump([1.0] * 5)
        harness.read()
    if not early:
        harness.send_ahead(GET)
    assert harness.reports == []
    assert len(harness.requests) == 2
    harness.answer(1)
    harness.clock.pump([1.0] * 16)
    assert harness.transport.disconnecting


def test_request_without_room_is_refused_and_not_passed_on(harness) -> None:
    # A 503 promises that the request has not run.
    harness.account.grants = False
    harness.send_ahead(GET)
    assert harness.written.startswith(b"HTTP/1.1 503")
    assert harness.requests == []
    assert not harness.transport.disconnecting
    harness.account.grants = True
    harness.send_ahead(GET)
    assert len(harness.requests) == 1


def test_request_sent_ahead_without_room_waits_for_those_before_it(harness) -> None:
    harness.send_ahead(GET)
    harness.account.grants = False
    harness.send_ahead(GET)
    assert harness.written == b""
    harness.account.grants = True
    harness.answer(0)
    assert len(harness.requests) == 2
    assert b"503" not in harness.written


def test_evicted_client_gets_a_refusal_while_its_body_is_received(harness) -> None:
    harness.send(POST[:-1])
    harness.connection.evict("memory")
    assert harness.written.startswith(b"HTTP/1.1 503")
    assert harness.transport.disconnecting
    assert harness.account.bytes[:2] == [0, 0]


def test_evicted_client_is_closed_once_its_request_was_passed_on(harness) -> None:
    # Its worker may have run the request, so that no refusal would be true.
    harness.send_ahead(GET, POST[:-1])
    harness.connection.evict("memory")
    assert harness.written == b""
    assert harness.transport.disconnected
    assert harness.cancelled == 1
    harness.connection.connectionLost(Failure(ConnectionDone()))
    assert harness.account.running == 0
    assert harness.account.open_uses == set()
    assert harness.server.total_body_bytes == 0


def test_body_over_a_limit_leaves_no_debt_in_the_account() -> None:
    # A piece that was never charged must not be released.
    harness = LimitedHarness(HttpLimits(body_bytes=1))
    harness.send(POST)
    assert harness.written.startswith(b"HTTP/1.1 413")
    assert harness.account.bytes[1] == 0


def test_account_of_the_policies_takes_the_bytes_of_the_server_by_kind() -> None:
    # Plain numbers were compared by identity with the members of an enumeration, so
    # that bodies had no limit of their own and no client counted as sending one.
    account = ClientAccount(ClientLimits(100_000, 10, 10), lambda: 0.0)
    harness = Harness(account=account)
    head = b"POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 99999\r\n\r\n"
    harness.send(head + bytes(80_000))
    assert account.totals[ByteKind.BODY] >= 80_000
    harness.send(bytes(11_000))
    assert harness.written.startswith(b"HTTP/1.1 503")
    assert account.totals[ByteKind.BODY] == 0


def test_body_that_pauses_for_too_long_is_refused(harness) -> None:
    # Its memory and its connection were held for as long as the client stayed.
    harness.send(POST[:-1])
    pause_s = harness.server.http_limits.body_pause_s
    harness.clock.pump([pause_s, pause_s - 1])
    assert harness.written == b""
    harness.clock.advance(1)
    assert harness.written.startswith(b"HTTP/1.1 408")
    assert harness.transport.disconnecting
    assert harness.evictions == ["paused"]
    assert harness.account.bytes[:2] == [0, 0]


def test_body_that_makes_progress_has_no_timeout(harness) -> None:
    harness.send(POST.replace(b"2", b"20")[:-2])
    for _ in range(20):
        harness.send(b"a")
        harness.clock.advance(harness.server.http_limits.body_pause_s - 1)
    assert len(harness.requests) == 1


def test_pipelined_requests_with_bodies_keep_little_of_those_behind_them(
    harness,
) -> None:
    # Each parser keeps what it got beyond its request, which no account counts.
    head = b"GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\nX: " + b"a" * 4_040
    harness.send_ahead(*[head + b"\r\n\r\n" + bytes(9)] * 9)
    kept = [len(e.http.trailing_data[0]) for e in harness.connection._started]
    assert len(kept) == 9
    assert max(kept) <= PIPELINED_PIECE_BYTES


def test_checks_for_unread_responses_do_not_multiply(harness) -> None:
    # A connection that is closed for it may let another one send its response.
    class Blocking:
        read_progress = 0

        def set_stalled(self, stalled: bool) -> None:
            harness.server.unread.add(Blocking())

        def close_unread(self) -> None: ...

    harness.server.unread.add(Blocking())
    harness.clock.pump([1.25] * 4)
    calls = harness.clock.getDelayedCalls()
    assert sum(call.func == harness.server.unread._check for call in calls) == 1


def test_tiny_chunks_are_parsed_in_several_turns(harness) -> None:
    # One turn of the loop parsed all that had arrived.
    harness.server.schedule = build_schedule(harness)
    harness.send(CHUNKED + b"1\r\nx\r\n" * 100 + b"0\r\n\r\n")
    sizes = []
    while not harness.requests:
        sizes.append(harness.account.bytes[1])
        harness.clock.advance(0)
    steps = [after - before for before, after in pairwise([0, *sizes])]
    assert max(steps) <= TURN_STEPS
    assert harness.requests[0].body == b"x" * 100
    assert not harness.clock.getDelayedCalls()


def test_input_that_waits_for_its_turn_is_bounded(harness) -> None:
    harness.server.schedule = build_schedule(harness)
    harness.send(CHUNKED + b"1\r\nx\r\n" * 20_000)
    assert harness.transport.producerState == "paused"
    harness.connection.connectionLost(Failure(ConnectionDone()))
    harness.clock.advance(0)
    assert not harness.clock.getDelayedCalls()


def test_request_that_waits_for_its_turn_has_no_timeout(harness) -> None:
    # Its headers were received in time; others keep the server from parsing them.
    harness.server.schedule = TurnSchedule(Clock())
    harness.send(GET + GET)
    harness.answer(0)
    harness.clock.advance(harness.server.http_limits.header_timeout_s)
    assert b"408" not in harness.written
    assert not harness.transport.disconnecting


def test_framing_of_a_body_is_bounded(harness) -> None:
    # Extensions of chunks were received without end, as they are no part of the body.
    harness.send(CHUNKED)
    for _ in range(20):
        harness.send(b"1;" + b"x" * 6_000 + b"\r\nx\r\n")
        harness.clock.advance(0)
    assert harness.written.startswith(b"HTTP/1.1 400")
    assert harness.transport.disconnecting
    assert harness.evictions == ["framing"]


def test_chunk_size_without_end_is_refused(harness) -> None:
    harness.send(CHUNKED + b"0" * 12_000 + b"\r\nx\r\n")
    harness.clock.pump([0] * 3)
    assert harness.written.startswith(b"HTTP/1.1 4")
    assert harness.transport.disconnecting


def test_client_that_sends_far_ahead_waits_after_a_refusal() -> None:
    # It took each place that became free at a worker, in place of other clients.
    harness = LimitedHarness(build_window=AheadShares().build_window)
    harness.send_ahead(*[GET] * 1_000)
    refusal = HttpResponse(503, retry_after_s=0.5)
    count = len(harness.requests)
    harness.responses[0].callback(refusal)
    harness.clock.pump([0] * 9)
    assert len(harness.requests) == count
    harness.clock.advance(0.5)
    for number in range(1, count):
        harness.answer(number)
    assert len(harness.requests) > count
    assert harness.evictions == ["held-back"]


def test_client_with_few_requests_does_not_wait_after_a_refusal() -> None:
    harness = LimitedHarness(build_window=AheadShares().build_window)
    harness.send_ahead(GET, GET)
    for response in harness.responses:
        response.callback(HttpResponse(503, retry_after_s=0.5))
    harness.send_ahead(GET)
    assert len(harness.requests) == 3
    assert harness.evictions == []


def test_closed_connection_keeps_no_request(harness) -> None:
    # Reference cycles kept it until a collection, which may come much later.
    harness.send(GET[:-2] + b"a: b\r\n" * 9)
    harness.connection.connectionLost(Failure(ConnectionDone()))
    assert not harness.connection._reader.pending
    assert harness.account.open_uses == set()


def test_unfinished_headers_are_counted(harness) -> None:
    harness.send(GET[:20])
    assert harness.account.bytes[0] == 20
    harness.send(GET[20:])
    assert harness.account.bytes[0] == 0


def test_response_is_sent_whole_before_the_connection_closes(harness) -> None:
    harness.send_ahead(GET)
    harness.responses[0].callback(HttpResponse(200, body=LARGE, close=True))
    assert not harness.transport.disconnecting
    while harness.transport.producer is not None:
        harness.read()
    assert harness.written.endswith(LARGE)
    assert harness.transport.disconnecting
