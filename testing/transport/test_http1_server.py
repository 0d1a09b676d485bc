"""Tests of the HTTP/1.1 server."""

from __future__ import annotations

from typing import Any

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionDone
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

from sycamorenotch_transport import Http1Server
from sycamorenotch_transport import HttpLimits
from sycamorenotch_transport import HttpRequest
from sycamorenotch_transport import HttpResponse

GET = b"GET /a?b=%20c HTTP/1.1\r\nHost: h\r\nX-OwN: 1\r\n\r\n"
POST = b"POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab"


class Harness:
    """A server with one connection, the received requests and their responses."""

    def __init__(self, http_limits: HttpLimits | None = None, **options: Any) -> None:
        self.clock = Clock()
        self.requests: list[HttpRequest] = []
        self.responses: list[Deferred[HttpResponse]] = []
        self.cancelled = 0
        self.reports: list[str] = []
        self.server = Http1Server(
            *(self.clock, self.handle, build_error, self.reports.append, http_limits),
            **options,
        )
        self.connection = self.server.buildProtocol(None)
        self.transport = StringTransport()
        self.connection.makeConnection(self.transport)

    async def handle(self, request: HttpRequest) -> HttpResponse:
        self.requests.append(request)
        response: Deferred[HttpResponse] = Deferred(lambda _: self.cancel())
        self.responses.append(response)
        return await response

    def cancel(self) -> None:
        self.cancelled += 1

    def send(self, data: bytes) -> None:
        self.connection.dataReceived(data)

    def send_ahead(self, *requests: bytes) -> None:
        """Send requests in one piece and let all that may start do so."""
        self.send(b"".join(requests))
        self.clock.pump([0] * len(requests))

    def answer(self, number: int, **changes: bool) -> None:
        body = f"answer {number};".encode()
        self.responses[number].callback(HttpResponse(200, body=body, **changes))
        self.clock.pump([0] * 4)

    @property
    def methods(self) -> list[str]:
        return [request.method for request in self.requests]

    @property
    def written(self) -> bytes:
        return self.transport.value()


def build_error(status: int, detail: str) -> HttpResponse:
    return HttpResponse(status, body=detail.encode())


@pytest.fixture
def harness() -> Harness:
    return Harness()


def test_request_keeps_target_and_spelling_of_headers(harness) -> None:
    harness.send(GET)
    assert harness.requests == [
        HttpRequest("GET", "/a?b=%20c", (("Host", "h"), ("X-OwN", "1")))
    ]


def test_request_that_arrives_byte_by_byte_is_handled_once(harness) -> None:
    for byte in GET:
        harness.send(bytes([byte]))
    assert len(harness.requests) == 1


def test_chunked_body_is_reassembled(harness) -> None:
    harness.send(b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n")
    harness.send(b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
    assert harness.requests[0].body == b"abcde"


def test_responses_keep_the_order_of_pipelined_requests(harness) -> None:
    harness.send(GET + GET.replace(b"/a", b"/z"))
    assert len(harness.requests) == 1
    harness.responses[0].callback(HttpResponse(200, body=b"one"))
    harness.clock.advance(0)
    harness.responses[1].callback(HttpResponse(200, body=b"two"))
    assert harness.written.index(b"one") < harness.written.index(b"two")


def test_handler_is_cancelled_when_the_client_disconnects(harness) -> None:
    harness.send(GET)
    harness.connection.connectionLost(Failure(ConnectionDone()))
    assert harness.cancelled == 1


def test_response_to_head_has_no_body(harness) -> None:
    harness.send(GET.replace(b"GET", b"HEAD"))
    harness.responses[0].callback(HttpResponse(200, body=b"abc"))
    assert harness.written.endswith(b"\r\n\r\n")
    assert b"Content-Length: 3" in harness.written


def test_response_closes_the_connection_when_the_server_is_draining(harness) -> None:
    harness.send(GET)
    harness.server.draining = True
    harness.responses[0].callback(HttpResponse(200))
    assert b"Connection: close" in harness.written
    assert harness.transport.disconnecting


def test_connection_stays_open_for_another_request(harness) -> None:
    harness.send(GET)
    harness.responses[0].callback(HttpResponse(200))
    assert not harness.transport.disconnecting
    harness.send(GET)
    assert len(harness.requests) == 2


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"nonsense\r\n\r\n", b"400"),
        (b"GET / HTTP/1.1\r\n\r\n", b"400"),
        (b"GET / HTTP/1.1\r\nHost: h\r\nX: " + b"a" * 20_000, b"431"),
        (b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n" + b"a" * 9, b"413"),
    ],
)
def test_invalid_request_is_answered_and_the_connection_closed(data, status) -> None:
    harness = Harness(HttpLimits(body_bytes=8))
    harness.send(data)
    assert harness.written.startswith(b"HTTP/1.1 " + status)
    assert harness.transport.disconnecting
    assert harness.requests == []


def test_slow_request_headers_are_answered_with_408(harness) -> None:
    harness.send(GET[:10])
    harness.clock.advance(harness.server.http_limits.header_timeout_s)
    assert harness.written.startswith(b"HTTP/1.1 408")


def test_idle_connection_is_closed_after_the_idle_timeout(harness) -> None:
    harness.clock.advance(harness.server.http_limits.idle_timeout_s - 0.1)
    assert not harness.transport.disconnecting
    harness.clock.advance(0.1)
    assert harness.transport.disconnecting


def test_failed_handler_is_answered_with_500_and_reported(harness) -> None:
    harness.send(GET)
    harness.responses[0].errback(ValueError("broken"))
    assert harness.written.startswith(b"HTTP/1.1 500")
    assert harness.reports == ["broken"]


def test_handler_that_is_cancelled_by_others_is_answered(harness) -> None:
    # Without a response, the requests behind it would wait forever.
    harness.send(GET)
    harness.responses[0].cancel()
    assert harness.written.startswith(b"HTTP/1.1 500")


def test_body_is_rejected_when_the_body_buffers_are_full() -> None:
    harness = Harness(HttpLimits(buffered_bytes=4))
    harness.send(b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n" + b"a" * 9)
    assert harness.written.startswith(b"HTTP/1.1 503")
    assert harness.server.total_body_bytes == 0


# Pipelined requests. Each is held up by the ones before it if they run one by one.


def test_pipelined_requests_run_concurrently_and_are_answered_in_order(harness) -> None:
    harness.send_ahead(GET, GET, GET)
    assert len(harness.requests) == 3
    harness.answer(2)
    harness.answer(1)
    assert harness.written == b""
    harness.answer(0)
    order = [harness.written.index(b"answer %d;" % n) for n in range(3)]
    assert order == sorted(order)


def test_request_in_a_later_piece_starts_beside_the_former(harness) -> None:
    harness.send(GET + GET[:9])
    harness.send(GET[9:])
    harness.clock.advance(0)
    assert len(harness.requests) == 2


def test_reading_pauses_at_the_limit_of_pipelined_requests() -> None:
    # A client that sends ahead without end must not fill the memory.
    harness = Harness(HttpLimits(pipelined_requests=2))
    harness.send_ahead(*[GET] * 1_000)
    assert len(harness.requests) == 2
    assert harness.transport.producerState == "paused"
    for number in range(1_000):
        harness.answer(number)
        assert len(harness.requests) <= number + 3
    assert harness.transport.producerState == "producing"
    assert len(harness.requests) == 1_000


def test_unsafe_request_waits_and_holds_back_those_behind_it(harness) -> None:
    # A write must not overtake, or be overtaken by, the reads around it.
    harness.send_ahead(GET, GET, POST, GET)
    assert harness.methods == ["GET", "GET"]
    harness.answer(0)
    assert harness.methods == ["GET", "GET"]
    harness.answer(1)
    assert harness.methods == ["GET", "GET", "POST"]
    assert harness.requests[2].body == b"ab"
    harness.answer(2)
    assert harness.methods == ["GET", "GET", "POST", "GET"]


def test_response_closes_only_if_no_request_behind_it_was_started(harness) -> None:
    # A request that was passed on must not lose its response.
    harness.send_ahead(GET, GET)
    harness.answer(0, close=True)
    assert not harness.transport.disconnecting
    harness.send_ahead(GET)
    harness.answer(1)
    assert len(harness.requests) == 2
    assert harness.written.count(b"Connection: close") == 1
    assert harness.transport.disconnecting


def test_requests_behind_the_clients_close_are_not_started(harness) -> None:
    harness.send_ahead(GET, GET.replace(b"X-OwN: 1", b"Connection: close"), GET)
    assert len(harness.requests) == 2
    harness.answer(0)
    assert not harness.transport.disconnecting
    harness.answer(1)
    assert harness.transport.disconnecting


def test_draining_server_starts_no_request_behind_another(harness) -> None:
    harness.send_ahead(GET, GET)
    harness.server.draining = True
    harness.send_ahead(GET)
    harness.answer(0)
    harness.answer(1)
    assert len(harness.requests) == 2
    assert harness.written.count(b"Connection: close") == 1
    assert harness.written.index(b"close") > harness.written.index(b"answer 0")
    assert harness.transport.disconnecting


def test_malformed_request_is_rejected_in_its_turn(harness) -> None:
    harness.send_ahead(GET, GET, b"nonsense\r\n\r\n", GET)
    assert harness.written == b""
    harness.answer(1)
    harness.answer(0)
    assert len(harness.requests) == 2
    assert harness.written.index(b"answer 1") < harness.written.index(b"HTTP/1.1 400")
    assert harness.written.count(b"Connection: close") == 1
    assert harness.transport.disconnecting


def test_all_pipelined_requests_are_cancelled_with_their_connection(harness) -> None:
    harness.send_ahead(GET, GET, GET)
    harness.answer(1)
    harness.connection.connectionLost(Failure(ConnectionDone()))
    assert harness.cancelled == 2


def test_interim_response_waits_for_the_responses_before_it(harness) -> None:
    expecting = POST.replace(b"\r\n\r\nab", b"\r\nExpect: 100-continue\r\n\r\n")
    harness.send_ahead(GET, expecting)
    assert harness.written == b""
    harness.answer(0)
    assert harness.written.endswith(b"HTTP/1.1 100 \r\n\r\n")


def test_timeouts_run_only_while_no_request_is_unanswered(harness) -> None:
    limits = harness.server.http_limits
    harness.send_ahead(GET, GET[:5])
    harness.clock.advance(limits.idle_timeout_s * 2)
    assert harness.written == b""
    harness.answer(0)
    harness.clock.advance(limits.header_timeout_s)
    assert b"HTTP/1.1 408" in harness.written
    assert not harness.connection.idle
