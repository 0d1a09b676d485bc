"""HTTP client for upstream workers, over pooled connections."""

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
from sycamorenotch_daemon._headers import strip_hop_by_hop_headers
from sycamorenotch_kernel import Call
from sycamorenotch_kernel import CallAnswer
from sycamorenotch_kernel import ErrorKind
from sycamorenotch_kernel import Failure
from sycamorenotch_kernel import Ran
from sycamorenotch_kernel import Worker
from sycamorenotch_policies import ConnectionBudget
from sycamorenotch_policies import Outcome
from sycamorenotch_transport import BytesProducer

REQUEST_RAN_HEADER = b"Request-Ran"
REQUEST_ID_HEADER = b"Request-Id"
MAX_ANSWER_BYTES = 16 * 1024 * 1024
MAX_IDLE_CONNECTIONS_PER_WORKER = 8
# Shorter than the keep-alive timeout of common servers, so that a request is
# rarely sent on a connection that its worker is about to close.
IDLE_TIMEOUT_S = 20
SHED_RETRY_AFTER = timedelta(seconds=1)

CONNECTION_LOST_ERRORS = (RequestTransmissionFailed, ResponseNeverReceived)
NOT_SENT_ERRORS = (ConnectError, ConnectionRefusedByBudgetError, RequestNotSent)


@final
@dataclass(frozen=True, slots=True)
class AttemptFailure:
    """Reason why an attempt has no complete answer.

    :param failure: result for the caller.
    :param outcome: outcome that the choice of workers records.
    :param worker_lost: whether the connection was lost after the request was
        sent and before the first byte of the answer.
    """

    failure: Failure
    outcome: Outcome
    worker_lost: bool = False


AttemptResult = Result[CallAnswer, AttemptFailure]


class AnswerTooLargeError(Exception):
    """The answer exceeds the maximum size that an instance holds in memory."""


@final
class _BodyReceiver(Protocol):
    """Collects a response body and rejects it if its end is not certain."""

    def __init__(self) -> None:
        self.done: Deferred[bytes] = Deferred(self._abort)
        self._parts: list[bytes] = []
        self._size = 0

    def dataReceived(self, data: bytes) -> None:
        """Append a part of the body, or abort when the body is too large."""
        self._size += len(data)
        if self._size <= MAX_ANSWER_BYTES:
            self._parts.append(data)
        elif not self.done.called:
            self.done.errback(AnswerTooLargeError())
            self._abort(self.done)

    def connectionLost(self, reason: TwistedFailure = connectionDone) -> None:
        """Complete the body if its framing shows that nothing is missing."""
        if self.done.called:
            return
        if reason.check(ResponseDone):
            self.done.callback(b"".join(self._parts))
        else:
            self.done.errback(reason)

    def _abort(self, _: Deferred[bytes]) -> None:
        # Twisted's transport proxy has no abortConnection. Nothing is left to
        # be written, so that loseConnection closes at once.
        if self.transport is not None:
            self.transport.loseConnection()


@final
class UpstreamClient:
    """Sends requests and accepts only complete answers that belong to them.

    Uses the agent directly, because treq's client shares one cookie jar
    between all callers and decodes compressed bodies.

    :param budget_for: returns the connection budget of an address.
    """

    def __init__(
        self, reactor: Any, budget_for: Callable[[str], ConnectionBudget | None]
    ) -> None:
        self._reactor = reactor
        pool = HTTPConnectionPool(reactor)
        # Only the retry rule of a service may repeat a request.
        pool.retryAutomatically = False
        pool.maxPersistentPerHost = MAX_IDLE_CONNECTIONS_PER_WORKER
        pool.cachedConnectionTimeout = IDLE_TIMEOUT_S
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
        """Send a call to a worker and wait for the complete answer.

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
    """One request to a worker and its answer."""

    def __init__(self, call: Call, worker: Worker) -> None:
        self._call = call
        self._worker = worker
        self._expired = False
        self._response_started = False
        self.cancel: Callable[[], None] = lambda: None

    def expire(self) -> None:
        """Cancel the exchange because the deadline has passed."""
        self._expired = True
        self.cancel()

    async def run(self, agent: Agent, remaining: timedelta) -> AttemptResult:
        """Send the request and convert each way it can end into a result."""
        call = self._call
        url = f"http://{self._worker.address}{call.path}".encode("latin-1")
        headers = _request_headers(call, remaining)
        body = BytesProducer(call.body) if call.body else None
        try:
            response = await agent.request(call.method.encode(), url, headers, body)
            self._response_started = True
            receiver = _BodyReceiver()
            response.deliverBody(receiver)
            content = await receiver.done
        except ValueError as exc:
            return self._malformed(exc)
        except NOT_SENT_ERRORS as exc:
            return self._not_sent(exc)
        except ConnectingCancelledError:
            return self._interrupted(Ran.NO)
        except CancelledError:
            return self._interrupted(Ran.UNKNOWN)
        except Exception as exc:
            return self._exchange_failed(exc)
        return self._accept(response, content)

    def _accept(self, response: IResponse, content: bytes) -> AttemptResult:
        headers = tuple(_header_pairs(response.headers))
        echoed = response.headers.getRawHeaders(REQUEST_ID_HEADER, [])
        if echoed and echoed != [self._call.id.encode()]:
            detail = f"{self._worker.name} returned the answer to another request"
            return self._failed(Failure(ErrorKind.UPSTREAM_FAILED, detail))
        if response.headers.getRawHeaders(REQUEST_RAN_HEADER) == [b"no"]:
            detail = f"{self._worker.name} shed the request"
            failure = Failure(ErrorKind.UPSTREAM_SHED, detail, Ran.NO, SHED_RETRY_AFTER)
            return Error(AttemptFailure(failure, Outcome.SHED))
        answer = CallAnswer(
            status=response.code,
            headers=strip_hop_by_hop_headers(headers),
            body=content,
            answers=echoed[0].decode("latin-1") if echoed else "",
            length=self._stated_length(response),
        )
        return Ok(answer)

    def _stated_length(self, response: IResponse) -> int | None:
        # The answer to HEAD states the length of a body that it omits.
        if self._call.method == "HEAD" or not isinstance(response.length, int):
            return None
        return response.length

    def _malformed(self, exc: ValueError) -> AttemptResult:
        failure = Failure(ErrorKind.BAD_REQUEST, str(exc), Ran.NO)
        return Error(AttemptFailure(failure, Outcome.CANCELLED))

    def _not_sent(self, exc: Exception) -> AttemptResult:
        detail = f"no connection to {self._worker.name}: {exc}"
        return self._failed(Failure(ErrorKind.UPSTREAM_FAILED, detail, Ran.NO))

    def _interrupted(self, ran: Ran) -> AttemptResult:
        if self._expired:
            detail = f"{self._worker.name} did not answer in time"
            failure = Failure(ErrorKind.DEADLINE_PASSED, detail, ran)
            return Error(AttemptFailure(failure, Outcome.LATE))
        failure = Failure(ErrorKind.CANCELLED, "the caller disconnected", ran)
        return Error(AttemptFailure(failure, Outcome.CANCELLED))

    def _exchange_failed(self, exc: Exception) -> AttemptResult:
        if self._expired or _was_cancelled(exc):
            return self._interrupted(Ran.UNKNOWN)
        detail = f"exchange with {self._worker.name} failed: {type(exc).__name__}"
        failure = Failure(ErrorKind.UPSTREAM_FAILED, detail, Ran.UNKNOWN)
        lost = isinstance(exc, CONNECTION_LOST_ERRORS) and not self._response_started
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
    headers.setRawHeaders(REQUEST_ID_HEADER, [call.id.encode()])
    timeout = f"{remaining.total_seconds():.3f}".encode()
    headers.setRawHeaders(b"Request-Timeout", [timeout])
    return headers


def _header_pairs(headers: HttpHeaders) -> Iterator[tuple[str, str]]:
    request_id = REQUEST_ID_HEADER.lower()
    for name, values in headers.getAllRawHeaders():
        if name.lower() != request_id:
            yield from ((name.decode("latin-1"), v.decode("latin-1")) for v in values)
