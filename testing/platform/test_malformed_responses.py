"""Tests that malformed responses of workers are never passed on as answers."""

from __future__ import annotations

import h11
import pytest
from hypothesis import given
from hypothesis import strategies as st
from testing.platform.conftest import configuration
from testing.platform.raw_worker import answer
from testing.platform.test_unidentified import add_worker
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionDone
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

from sycamorenotch_gateway._routes import Routes
from sycamorenotch_kernel import Verdict
from sycamorenotch_kernel import dialects
from sycamorenotch_transport import Http1Pool
from sycamorenotch_transport import Http1Server
from sycamorenotch_transport import HttpRequest
from sycamorenotch_transport import HttpResponse

MALFORMED = {
    **{status: {"status": f"{status} Odd"} for status in ("000", "099", "101")},
    **{status: {"status": f"{status} Odd"} for status in ("600", "700", "999")},
    "two digits": {"status": "20 OK"},
    "four digits": {"status": "2000 OK"},
    "reason": {"status": "200 a\x07b"},
    "value": {"extra": "X-A: a\x01b\r\n"},
    "nul in a value": {"extra": "X-A: a\x00b\r\n"},
    "name": {"extra": "X A: a\r\n"},
    "lengths": {"extra": "Content-Length: 9\r\n"},
    "negative length": {"extra": "Content-Length: -1\r\n"},
    "coding": {"extra": "Transfer-Encoding: gzip\r\n"},
    "identifiers": {"extra": "X-Attempt-Id: other\r\n"},
    "signatures": {"extra": "X-Response-Signature: w.2\r\n"},
    "hidden signature": {"extra": "Connection: X-Response-Signature\r\n"},
    "refused and run": {"extra": "X-Not-Executed: 1\r\n"},
}
SOUND = {
    "302": ({"status": "302 Found"}, "GET", 302, b"ok", "2"),
    "404": ({"status": "404 None"}, "GET", 404, b"ok", "2"),
    "500": ({"status": "500 Own"}, "GET", 500, b"ok", "2"),
    "599": ({"status": "599 Own"}, "GET", 599, b"ok", "2"),
    "HEAD": ({"body": ""}, "HEAD", 200, b"", "0"),
    "length of HEAD": ({"extra": "Content-Length: 7\r\n"}, "HEAD", 200, b"", "7"),
    "204": ({"status": "204 None"}, "GET", 204, b"", None),
    "304": ({"status": "304 Same"}, "GET", 304, b"", "2"),
    "coded": ({"extra": "Content-Encoding: gzip\r\n"}, "GET", 200, b"ok", "2"),
    "chunks": (
        {"extra": "Transfer-Encoding: chunked\r\n", "body": "2\r\nok\r\n0\r\n\r\n"},
        *("GET", 200, b"ok", "2"),
    ),
    "no chunks": (
        {"extra": "Transfer-Encoding: chunked\r\n", "body": "0\r\n\r\n"},
        *("GET", 200, b"", "0"),
    ),
}


@pytest.mark.parametrize("case", MALFORMED)
def test_malformed_response_is_not_passed_on(run_on_site, case) -> None:
    async def scenario(site) -> None:
        def respond(attempt: str, number: int) -> bytes:
            return answer(attempt, **MALFORMED[case])

        worker = await add_worker(site, respond)
        alone = await site.call("/once/1")
        other = await add_worker(site, lambda attempt, _: answer(attempt), "i-other")
        repeated = [(await site.call(path)).status for path in ("/safe/1", "/load/1")]
        for found in (worker, other):
            await found.port.stopListening()
        assert alone.status == 502
        assert repeated == [200, 200]

    run_on_site(scenario, count=0)


@pytest.mark.parametrize("case", SOUND)
def test_sound_response_is_passed_on_as_it_is(run_on_site, case) -> None:
    fields, method, status, body, length = SOUND[case]

    async def scenario(site) -> None:
        def respond(attempt: str, number: int) -> bytes:
            raw = answer(attempt, **fields)
            if method == "HEAD":
                raw = raw.partition(b"\r\n\r\n")[0] + b"\r\n\r\n"
            if "Content-Length" in fields.get("extra", ""):
                raw = raw.replace(b"Content-Length: 2\r\n", b"")
            return raw

        worker = await add_worker(site, respond, closes=True)
        found = await site.call("/once/1", method=method)
        await worker.port.stopListening()
        lengths = [v for n, v in found.headers if n == "Content-Length"]
        assert (found.status, found.body) == (status, body)
        assert lengths == ([] if length is None else [length])
        assert ("X-Response-Signature", "w.1") in found.headers

    run_on_site(scenario, count=0)


# The answer of the first worker came in the race with the second, and was passed on.
def test_malformed_response_does_not_win_a_race(run_on_site) -> None:
    async def scenario(site) -> None:
        workers = []

        def respond(attempt: str, number: int) -> bytes:
            first = sum(len(worker.ran) for worker in workers) == 1
            return answer(attempt, "999 Odd" if first else "200 OK")

        workers += [await add_worker(site, respond, name) for name in ("i-1", "i-2")]
        site.store.put("config", "main", configuration(2, timeout="4s"))
        routes = site.gateway.node.require(Routes)
        await site.wait_until(lambda: routes.version == 2)
        # The second worker is tried after two seconds, the malformed answer comes next.
        work = Deferred.fromCoroutine(site.call("/safe/1", patience="5000"))
        for worker in workers:
            worker.delay_s = 2.5
        await site.wait_until(lambda: any(worker.ran for worker in workers))
        for worker in workers:
            worker.delay_s = 1.0
        found = await work
        for worker in workers:
            await worker.port.stopListening()
        assert found.status == 200
        assert sum(len(worker.ran) for worker in workers) == 2

    run_on_site(scenario, count=0)


TEXT = st.text(st.characters(max_codepoint=255), max_size=6)
NAMES = st.sampled_from(
    ["X-A", "Connection", "Content-Length", "Transfer-Encoding", "Keep-Alive"]
    + ["X-Attempt-Id", "X-Response-Signature", "X-Not-Executed", "Content-Encoding"]
)
VALUES = TEXT | st.sampled_from(["1", "2", "chunked", "close", "gzip", "x-a"])


@given(
    method=st.sampled_from(["GET", "HEAD"]),
    version=st.sampled_from(["1.1", "1.0", "2.0"]),
    status=st.integers(0, 999),
    reason=TEXT,
    headers=st.lists(st.tuples(NAMES, VALUES), max_size=4),
    body=st.binary(max_size=8),
)
def test_what_is_passed_on_can_be_sent_and_is_the_workers(
    method, version, status, reason, headers, body
) -> None:
    lines = [f"HTTP/{version} {status:03} {reason}", "X-Response-Signature: w.1"]
    lines += [f"{name}: {value}" for name, value in headers]
    raw = "\r\n".join([*lines, "", ""]).encode("latin-1") + body
    response = receive(method, raw)
    if response is None:
        return
    dialect = dialects.get("platform")()
    reply = dialect.decode_reply(response)
    if reply.verdict not in (Verdict.ANSWER, Verdict.FAULT):
        return
    assert 200 <= status <= 599
    passed, content = send(method, dialect.encode_reply(reply))
    assert passed.status_code == status
    assert content == (b"" if method == "HEAD" else response.body)
    assert (b"x-response-signature", b"w.1") in passed.headers


def receive(method: str, raw: bytes) -> HttpResponse | None:
    """Return the response that the client reads from these bytes."""
    pool = Http1Pool(Clock(), "127.0.0.1:1", lambda: 0.0)
    connection = pool.build_connection()
    transport = StringTransport()
    transport.abortConnection = lambda: None
    connection.makeConnection(transport)
    results: list = []
    request = HttpRequest(method, "/", (("Host", "h"),))
    matches = dialects.get("platform")().match_response
    call = dialects.get("platform")().decode_call(request).ok
    exchange = connection.exchange(request, lambda r: matches(call, r), lambda: None)
    exchange.addBoth(results.append)
    connection.dataReceived(raw)
    # Ends a response that states no length.
    connection.connectionLost(Failure(ConnectionDone()))
    found = results[0] if results else None
    return found if isinstance(found, HttpResponse) else None


def send(method: str, response: HttpResponse) -> tuple[h11.Response, bytes]:
    """Return what a caller's parser reads when the server sends a response."""

    async def handle(request: HttpRequest) -> HttpResponse:
        return response

    server = Http1Server(
        Clock(), handle, lambda status, text: HttpResponse(500), lambda text: None
    )
    connection = server.buildProtocol(None)
    transport = StringTransport()
    connection.makeConnection(transport)
    caller = h11.Connection(h11.CLIENT)
    head = h11.Request(method=method, target="/", headers=[("Host", "h")])
    connection.dataReceived(caller.send(head) + caller.send(h11.EndOfMessage()))
    caller.receive_data(transport.value())
    caller.receive_data(b"")
    first = caller.next_event()
    body = b""
    while isinstance(event := caller.next_event(), h11.Data):
        body += bytes(event.data)
    assert isinstance(event, h11.EndOfMessage)
    return first, body
