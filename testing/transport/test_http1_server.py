"""Tests of the HTTP/1.1 server that forwards exactly."""

from __future__ import annotations

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionDone
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

from sycamorenotch_transport import Http1Server
from sycamorenotch_transport import HttpBounds
from sycamorenotch_transport import HttpRequest
from sycamorenotch_transport import HttpResponse

GET = b"GET /a?b=%20c HTTP/1.1\r\nHost: h\r\nX-OwN: 1\r\n\r\n"


class Wire:
    """A server, one connection to it, and the requests that arrived."""

    def __init__(self, bounds: HttpBounds | None = None) -> None:
        self.clock = Clock()
        self.requests: list[HttpRequest] = []
        self.answers: list[Deferred[HttpResponse]] = []
        self.cancelled = 0
        self.reports: list[str] = []
        self.server = Http1Server(
            self.clock, self.handle, complain, self.reports.append, bounds
        )
        self.connection = self.server.buildProtocol(None)
        self.transport = StringTransport()
        self.connection.makeConnection(self.transport)

    async def handle(self, request: HttpRequest) -> HttpResponse:
        self.requests.append(request)
        answer: Deferred[HttpResponse] = Deferred(lambda _: self.cancel())
        self.answers.append(answer)
        return await answer

    def cancel(self) -> None:
        self.cancelled += 1

    def send(self, data: bytes) -> None:
        self.connection.dataReceived(data)

    @property
    def written(self) -> bytes:
        return self.transport.value()


def complain(status: int, detail: str) -> HttpResponse:
    return HttpResponse(status, body=detail.encode())


@pytest.fixture
def wire() -> Wire:
    return Wire()


def test_request_keeps_target_and_spelling_of_headers(wire) -> None:
    wire.send(GET)
    assert wire.requests == [
        HttpRequest("GET", "/a?b=%20c", (("Host", "h"), ("X-OwN", "1")))
    ]


def test_request_in_pieces_is_handled_once(wire) -> None:
    for byte in GET:
        wire.send(bytes([byte]))
    assert len(wire.requests) == 1


def test_chunked_body_is_whole(wire) -> None:
    wire.send(b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n")
    wire.send(b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
    assert wire.requests[0].body == b"abcde"


def test_answers_keep_the_order_of_pipelined_requests(wire) -> None:
    wire.send(GET + GET.replace(b"/a", b"/z"))
    assert len(wire.requests) == 1
    wire.answers[0].callback(HttpResponse(200, body=b"one"))
    wire.clock.advance(0)
    wire.answers[1].callback(HttpResponse(200, body=b"two"))
    assert wire.written.index(b"one") < wire.written.index(b"two")


def test_work_is_cancelled_when_the_client_leaves(wire) -> None:
    wire.send(GET)
    wire.connection.connectionLost(Failure(ConnectionDone()))
    assert wire.cancelled == 1


def test_head_request_gets_no_body(wire) -> None:
    wire.send(GET.replace(b"GET", b"HEAD"))
    wire.answers[0].callback(HttpResponse(200, body=b"abc"))
    assert wire.written.endswith(b"\r\n\r\n")
    assert b"Content-Length: 3" in wire.written


def test_last_answer_closes_when_server_is_draining(wire) -> None:
    wire.send(GET)
    wire.server.draining = True
    wire.answers[0].callback(HttpResponse(200))
    assert b"Connection: close" in wire.written
    assert wire.transport.disconnecting


def test_connection_stays_open_for_another_request(wire) -> None:
    wire.send(GET)
    wire.answers[0].callback(HttpResponse(200))
    assert not wire.transport.disconnecting
    wire.send(GET)
    assert len(wire.requests) == 2


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"nonsense\r\n\r\n", b"400"),
        (b"GET / HTTP/1.1\r\n\r\n", b"400"),
        (b"GET / HTTP/1.1\r\nHost: h\r\nX: " + b"a" * 20_000, b"431"),
        (b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n" + b"a" * 9, b"413"),
    ],
)
def test_improper_request_is_answered_and_the_connection_closed(data, status) -> None:
    wire = Wire(HttpBounds(body_bytes=8))
    wire.send(data)
    assert wire.written.startswith(b"HTTP/1.1 " + status)
    assert wire.transport.disconnecting
    assert wire.requests == []


def test_slow_head_is_answered_with_408(wire) -> None:
    wire.send(GET[:10])
    wire.clock.advance(wire.server.bounds.header_timeout_s)
    assert wire.written.startswith(b"HTTP/1.1 408")


def test_idle_connection_is_closed_after_the_bound(wire) -> None:
    wire.clock.advance(wire.server.bounds.idle_timeout_s - 0.1)
    assert not wire.transport.disconnecting
    wire.clock.advance(0.1)
    assert wire.transport.disconnecting


def test_failed_handler_is_answered_with_500_and_reported(wire) -> None:
    wire.send(GET)
    wire.answers[0].errback(ValueError("broken"))
    assert wire.written.startswith(b"HTTP/1.1 500")
    assert wire.reports == ["broken"]


def test_bodies_are_refused_when_memory_is_used_up() -> None:
    wire = Wire(HttpBounds(buffered_bytes=4))
    wire.send(b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n" + b"a" * 9)
    assert wire.written.startswith(b"HTTP/1.1 503")
    assert wire.server.buffered == 0
