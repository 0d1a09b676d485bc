"""Tests of the upstream client with valid, invalid and missing answers."""

from __future__ import annotations

from datetime import timedelta

import pytest
from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from sycamorenotch_daemon._upstream_client import UpstreamClient
from sycamorenotch_kernel import ErrorKind
from sycamorenotch_kernel import Ran
from sycamorenotch_policies import ConnectionBudget
from sycamorenotch_policies import Outcome

TIMEOUT = timedelta(seconds=5)
COMPLETE_ANSWER = (
    b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nRequest-Id: d-1\r\n\r\nwhole"
)


@pytest.fixture
def client(run_in_reactor):
    client = UpstreamClient(reactor, lambda address: None)

    async def close() -> None:
        await client.close()

    yield client
    run_in_reactor(close())


@pytest.fixture
def send(client, upstream, make_call, make_worker, run_in_reactor):
    def send(timeout: timedelta = TIMEOUT):
        worker = make_worker(upstream.address)
        return run_in_reactor(client.send(make_call(), worker, timeout))

    return send


def test_complete_answer_is_forwarded_with_every_header(send, upstream) -> None:
    upstream.answer = COMPLETE_ANSWER.replace(
        b"\r\n\r\n", b"\r\nX-A: 1\r\nX-A: 2\r\n\r\n"
    )
    answer = send().ok
    assert (answer.status, answer.body) == (200, b"whole")
    assert answer.headers == (("X-A", "1"), ("X-A", "2"))
    (request,) = upstream.requests
    assert request.startswith(b"GET /balances/1?a=b HTTP/1.1\r\n")
    assert request.count(b"Accept:") == 2
    assert b"Request-Timeout: 5.000\r\n" in request


def test_cookie_is_not_sent_when_another_caller_received_it(send, upstream) -> None:
    upstream.answer = COMPLETE_ANSWER.replace(
        b"\r\n\r\n", b"\r\nSet-Cookie: a=b\r\n\r\n"
    )
    assert send().ok.headers == (("Set-Cookie", "a=b"),)
    send()
    assert b"cookie" not in upstream.requests[1].lower()


@pytest.mark.parametrize(
    "answer",
    [
        pytest.param(COMPLETE_ANSWER[:-1], id="cut"),
        pytest.param(b"HTTP/1.1 200 OK\r\n\r\nwhole", id="length-unknown"),
        pytest.param(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n",
            id="last-chunk-missing",
        ),
        pytest.param(COMPLETE_ANSWER.replace(b"d-1", b"d-2"), id="crossed"),
        pytest.param(COMPLETE_ANSWER[:30], id="headers-cut"),
        pytest.param(b"nonsense\r\n\r\n", id="no-http"),
    ],
)
def test_answer_is_refused_when_incomplete_or_of_another_request(
    send, upstream, answer: bytes
) -> None:
    upstream.answer, upstream.close = answer, True
    error = send().error
    assert error.failure.kind is ErrorKind.UPSTREAM_FAILED
    assert error.failure.stated_ran is Ran.UNKNOWN
    assert error.outcome is Outcome.FAILED


def test_worker_counts_as_lost_when_it_closes_before_answering(send, upstream) -> None:
    upstream.abort = True
    error = send().error
    assert error.worker_lost
    assert error.failure.stated_ran is Ran.UNKNOWN


def test_request_has_not_run_when_no_connection_was_made(
    client, make_call, make_worker, run_in_reactor
) -> None:
    # Nothing listens on port 9 of the loopback interface.
    worker = make_worker("127.0.0.1:9")
    error = run_in_reactor(client.send(make_call(), worker, TIMEOUT)).error
    assert error.failure.stated_ran is Ran.NO
    assert not error.worker_lost


def test_request_has_not_run_when_the_upstream_states_it(send, upstream) -> None:
    upstream.answer = (
        b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nRequest-Ran: no\r\n\r\n"
    )
    error = send().error
    assert error.failure.kind is ErrorKind.UPSTREAM_SHED
    assert error.failure.stated_ran is Ran.NO
    assert error.outcome is Outcome.SHED


async def wait_until(condition) -> None:
    while not condition():
        await deferLater(reactor, 0.005)


@pytest.mark.parametrize("answer", [b"", COMPLETE_ANSWER[:-1]], ids=["silent", "half"])
def test_connection_is_closed_when_the_deadline_passes(
    send, upstream, run_in_reactor, answer: bytes
) -> None:
    upstream.answer = answer
    error = send(timedelta(milliseconds=50)).error
    assert error.failure.kind is ErrorKind.DEADLINE_PASSED
    assert error.failure.stated_ran is Ran.UNKNOWN
    assert error.outcome is Outcome.LATE
    run_in_reactor(wait_until(lambda: upstream.lost == 1))


@pytest.mark.parametrize("answer", [b"", COMPLETE_ANSWER[:-1]], ids=["silent", "half"])
def test_connection_is_closed_when_the_caller_disconnects(
    client, upstream, make_call, make_worker, run_in_reactor, answer: bytes
) -> None:
    upstream.answer = answer

    async def scenario() -> None:
        sending = client.send(make_call(), make_worker(upstream.address), TIMEOUT)
        waiting = Deferred.fromCoroutine(sending)
        await wait_until(lambda: upstream.requests)
        waiting.cancel()
        error = (await waiting).error
        assert error.failure.kind is ErrorKind.CANCELLED
        assert error.failure.stated_ran is Ran.UNKNOWN
        await wait_until(lambda: upstream.lost == 1)

    run_in_reactor(scenario())


def test_request_has_not_run_when_the_connection_budget_is_exhausted(
    upstream, make_call, make_worker, run_in_reactor
) -> None:
    budget = ConnectionBudget(1, timedelta(milliseconds=1))
    client = UpstreamClient(reactor, {upstream.address: budget}.get)
    worker = make_worker(upstream.address)

    async def scenario() -> None:
        first = Deferred.fromCoroutine(client.send(make_call(), worker, TIMEOUT))
        await wait_until(lambda: upstream.requests)
        refused = await client.send(make_call(), worker, TIMEOUT)
        assert refused.error.failure.stated_ran is Ran.NO
        first.cancel()
        await first
        await wait_until(lambda: budget.open == 0)

    run_in_reactor(scenario())
    assert upstream.opened == 1


def test_connection_is_reused_when_answers_are_complete(send, upstream) -> None:
    upstream.answer = COMPLETE_ANSWER
    assert all(send().is_ok() for _ in range(3))
    assert upstream.opened == 1
