"""One exchange with an upstream worker over a pooled connection."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
from dataclasses import dataclass
from datetime import timedelta
from typing import Any
from typing import final

from expression import Error
from expression import Ok
from expression import Result
from twisted.internet.defer import CancelledError
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectError
from twisted.internet.error import ConnectingCancelledError
from twisted.internet.protocol import Protocol
from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure as TwistedFailure
from twisted.web.client import Agent
from twisted.web.client import HTTPConnectionPool
from twisted.web.client import RequestNotSent
from twisted.web.client import RequestTransmissionFailed
from twisted.web.client import ResponseDone
from twisted.web.client import ResponseNeverReceived
from twisted.web.http_headers import Headers as HttpHeaders
from twisted.web.iweb import IResponse

from sycamorenotch_daemon._connections import BudgetedEndpoints
from sycamorenotch_daemon._connections import ConnectionRefusedByBudgetError
from sycamorenotch_daemon._headers import end_to_end
from sycamorenotch_kernel import Call
from sycamorenotch_kernel import CallAnswer
from sycamorenotch_kernel import ErrorKind
from sycamorenotch_kernel import Failure
from sycamorenotch_kernel import Ran
from sycamorenotch_kernel import Worker
from sycamorenotch_policies import ConnectionBudget
from sycamorenotch_policies import Outcome
from sycamorenotch_transport import BytesProducer

NOT_RUN_HEADER = b"Request-Ran"
IDENTIFIER_HEADER = b"Request-Id"
MAXIMUM_ANSWER_BYTES = 16 * 1024 * 1024
IDLE_CONNECTIONS = 8
# Shorter than the idle limit of usual servers, so that a request is rarely
# sent on a connection that its worker is about to close.
IDLE_LIMIT_S = 20
SHED_RETRY_AFTER = timedelta(seconds=1)

LOST_ERRORS = (RequestTransmissionFailed, ResponseNeverReceived)
UNSENT_ERRORS = (ConnectError, ConnectionRefusedByBudgetError, RequestNotSent)


@final
@dataclass(frozen=True, slots=True)
class AttemptFailure:
    """Why an attempt has no whole answer.

    :param worker_lost: whether the connection was lost after the request was
        sent and before any byte of the answer.
    """

    failure: Failure
    outcome: Outcome
    worker_lost: bool = False


AttemptResult = Result[CallAnswer, AttemptFailure]


class AnswerTooLargeError(Exception):
    """An answer is larger than an instance holds in memory."""


@final
class _BodyReceiver(Protocol):
    """Collects a body and accepts it only if its end is certain."""

    def __init__(self) -> None:
        self.done: Deferred[bytes] = Deferred(self._abort)
        self._parts: list[bytes] = []
        self._size = 0

    def dataReceived(self, data: bytes) -> None:
        """Keep a part of the body within the bound."""
        self._size += len(data)
        if self._size <= MAXIMUM_ANSWER_BYTES:
            self._parts.append(data)
        elif not self.done.called:
            self.done.errback(AnswerTooLargeError())
            self._abort(self.done)

    def connectionLost(self, reason: TwistedFailure = connectionDone) -> None:
        """Hand over the body if the framing says that it is whole."""
        if self.done.called:
            return
        if reason.check(ResponseDone):
            self.done.callback(b"".join(self._parts))
        else:
            self.done.errback(reason)

    def _abort(self, _: Deferred[bytes]) -> None:
        # The library's proxy of the transport has no way to abort, but nothing
        # is left to be written, so that the connection closes at once.
        if self.transport is not None:
            self.transport.loseConnection()


@final
class UpstreamClient:
    """Sends requests and accepts only whole answers to these requests.

    The agent is used without treq's client, which keeps one cookie jar for
    all callers and decodes compressed bodies.

    :param budget_for: returns the connection budget of an address.
    """

    def __init__(
        self, reactor: Any, budget_for: Callable[[str], ConnectionBudget | None]
    ) -> None:
        self._reactor = reactor
        pool = HTTPConnectionPool(reactor)
        # A request is sent again only when a retry rule decides so.
        pool.retryAutomatically = False
        pool.maxPersistentPerHost = IDLE_CONNECTIONS
        pool.cachedConnectionTimeout = IDLE_LIMIT_S
        self._pool = pool
        endpoints = BudgetedEndpoints(reactor, budget_for)
        self.agent = Agent.usingEndpointFactory(reactor, endpoints, pool)

    def close(self) -> Deferred[None]:
        """Close the idle connections."""
        closed: Deferred[None] = self._pool.closeCachedConnections()
        return closed

    async def send(
        self, call: Call, worker: Worker, remaining: timedelta
    ) -> AttemptResult:
        """Send a call to a worker and wait for the whole answer.

        :param remaining: time until the deadline of the call.
        """
        exchange = _Exchange(call, worker)
        waiting = Deferred.fromCoroutine(exchange.run(self.agent, remaining))
        timer = self._reactor.callLater(remaining.total_seconds(), exchange.expire)
        exchange.cancel = waiting.cancel
        try:
            return await waiting
        finally:
            if timer.active():
                timer.cancel()


@final
class _Exchange:
    """State of one request and its answer."""

    def __init__(self, call: Call, worker: Worker) -> None:
        self._call = call
        self._worker = worker
        self._expired = False
        self._answering = False
        self.cancel: Callable[[], None] = lambda: None

    def expire(self) -> None:
        """Give up because the deadline has passed."""
        self._expired = True
        self.cancel()

    async def run(self, agent: Agent, remaining: timedelta) -> AttemptResult:
        """Send the request and turn every end of it into a result."""
        call = self._call
        url = f"http://{self._worker.address}{call.path}".encode("latin-1")
        headers = _request_headers(call, remaining)
        body = BytesProducer(call.body) if call.body else None
        try:
            response = await agent.request(call.method.encode(), url, headers, body)
            self._answering = True
            receiver = _BodyReceiver()
            response.deliverBody(receiver)
            content = await receiver.done
        except ValueError as exc:
            return self._malformed(exc)
        except UNSENT_ERRORS as exc:
            return self._unsent(exc)
        except ConnectingCancelledError:
            return self._stopped(Ran.NO)
        except CancelledError:
            return self._stopped(Ran.UNKNOWN)
        except Exception as exc:
            return self._broken(exc)
        return self._accept(response, content)

    def _accept(self, response: IResponse, content: bytes) -> AttemptResult:
        headers = tuple(_pairs(response.headers))
        echoed = response.headers.getRawHeaders(IDENTIFIER_HEADER, [])
        if echoed and echoed != [self._call.id.encode()]:
            detail = f"{self._worker.name} answered another request"
            return self._failed(Failure(ErrorKind.UPSTREAM_FAILED, detail))
        if response.headers.getRawHeaders(NOT_RUN_HEADER) == [b"no"]:
            detail = f"{self._worker.name} shed the request"
            failure = Failure(ErrorKind.UPSTREAM_SHED, detail, Ran.NO, SHED_RETRY_AFTER)
            return Error(AttemptFailure(failure, Outcome.SHED))
        answer = CallAnswer(
            status=response.code,
            headers=end_to_end(headers),
            body=content,
            answers=echoed[0].decode("latin-1") if echoed else "",
            length=self._announced_length(response),
        )
        return Ok(answer)

    def _announced_length(self, response: IResponse) -> int | None:
        # An answer to HEAD announces the length of a body that it leaves out.
        if self._call.method == "HEAD" or not isinstance(response.length, int):
            return None
        return response.length

    def _malformed(self, exc: ValueError) -> AttemptResult:
        failure = Failure(ErrorKind.BAD_REQUEST, str(exc), Ran.NO)
        return Error(AttemptFailure(failure, Outcome.CANCELLED))

    def _unsent(self, exc: Exception) -> AttemptResult:
        detail = f"no connection to {self._worker.name}: {exc}"
        return self._failed(Failure(ErrorKind.UPSTREAM_FAILED, detail, Ran.NO))

    def _stopped(self, ran: Ran) -> AttemptResult:
        if self._expired:
            detail = f"{self._worker.name} did not answer in time"
            failure = Failure(ErrorKind.DEADLINE_PASSED, detail, ran)
            return Error(AttemptFailure(failure, Outcome.LATE))
        failure = Failure(ErrorKind.CANCELLED, "the caller went away", ran)
        return Error(AttemptFailure(failure, Outcome.CANCELLED))

    def _broken(self, exc: Exception) -> AttemptResult:
        if self._expired or _was_cancelled(exc):
            return self._stopped(Ran.UNKNOWN)
        detail = f"{self._worker.name} failed: {type(exc).__name__}"
        failure = Failure(ErrorKind.UPSTREAM_FAILED, detail, Ran.UNKNOWN)
        lost = isinstance(exc, LOST_ERRORS) and not self._answering
        return Error(AttemptFailure(failure, Outcome.FAILED, worker_lost=lost))

    def _failed(self, failure: Failure) -> AttemptResult:
        return Error(AttemptFailure(failure, Outcome.FAILED))


def _was_cancelled(exc: Exception) -> bool:
    if not isinstance(exc, ResponseNeverReceived):
        return False
    return any(reason.check(CancelledError) for reason in exc.reasons)


def _request_headers(call: Call, remaining: timedelta) -> HttpHeaders:
    headers = HttpHeaders()
    for name, value in call.headers:
        headers.addRawHeader(name.encode("latin-1"), value.encode("latin-1"))
    if call.key is not None:
        headers.setRawHeaders(b"Idempotency-Key", [call.key.encode()])
    headers.setRawHeaders(IDENTIFIER_HEADER, [call.id.encode()])
    timeout = f"{remaining.total_seconds():.3f}".encode()
    headers.setRawHeaders(b"Request-Timeout", [timeout])
    return headers


def _pairs(headers: HttpHeaders) -> Iterator[tuple[str, str]]:
    own = IDENTIFIER_HEADER.lower()
    for name, values in headers.getAllRawHeaders():
        if name.lower() != own:
            yield from ((name.decode("latin-1"), v.decode("latin-1")) for v in values)
