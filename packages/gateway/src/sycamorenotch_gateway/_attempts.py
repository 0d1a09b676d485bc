"""Sends a request to one worker and says what became of it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any
from typing import final

from twisted.internet.defer import CancelledError
from twisted.internet.defer import Deferred
from twisted.internet.defer import TimeoutError as DeferredTimeoutError

from sycamorenotch_gateway._events import AttemptFailed
from sycamorenotch_gateway._events import IdleConnectionForgotten
from sycamorenotch_gateway._events import WorkerFailed
from sycamorenotch_gateway._node import GatewayNode
from sycamorenotch_gateway._suspicion import Suspicion
from sycamorenotch_gateway._workers import Workers
from sycamorenotch_kernel import ForwardCall
from sycamorenotch_kernel import ForwardingRoute
from sycamorenotch_kernel import Ran
from sycamorenotch_kernel import Verdict
from sycamorenotch_kernel import WorkerReply
from sycamorenotch_policies import ChosenWorker
from sycamorenotch_policies import WorkerView
from sycamorenotch_transport import ExchangeError
from sycamorenotch_transport import HttpResponse

# Several round trips between regions; a lost packet is sent again only after
# a second, in which another worker can answer.
CONNECT_S = 0.5
# Shortest time between two looks at a worker that may be silent.
SHORTEST_LOOK_S = 0.05
# Added to a worker's own deadline so that its answer at the deadline arrives.
ANSWER_TRAVEL_S = 0.1


@final
@dataclass(frozen=True, slots=True)
class Outcome:
    """What became of one attempt.

    :param reply: the worker's answer, if a whole one arrived.
    :param ran: what is known about the execution.
    :param late: whether the time for the attempt ran out.
    """

    ran: Ran
    detail: str
    reply: WorkerReply | None = None
    late: bool = False


@final
class Attempts:
    """Sends requests to workers and takes note of how those did."""

    def __init__(self, node: GatewayNode) -> None:
        self._node = node
        self._workers = node.require(Workers)
        self._suspicion = node.require(Suspicion)

    async def send(
        self,
        call: ForwardCall,
        route: ForwardingRoute,
        chosen: ChosenWorker,
        deadline: float,
    ) -> Outcome:
        """Send a request and wait for the answer or the deadline.

        :param deadline: moment on the monotonic clock.
        """
        view = chosen.view
        begun = self._node.clock()
        view.record_start(begun)
        try:
            outcome = await self._exchange(call, route, view, deadline)
        finally:
            view.record_end(begun)
        now = self._node.clock()
        reply = outcome.reply
        if reply is not None and reply.load is not None:
            view.observe_load(reply.load, now)
        if reply is not None:
            view.last_answer_at = now
            self._suspicion.alive(view.entry.id)
        if reply is not None and reply.verdict is Verdict.ANSWER:
            view.record_success(now - begun)
            self._suspicion.answered(self._suspicion.sign(call))
            return outcome
        self._note(call, chosen, outcome, now - begun)
        return outcome

    async def _exchange(
        self,
        call: ForwardCall,
        route: ForwardingRoute,
        view: WorkerView,
        deadline: float,
    ) -> Outcome:
        begun = self._node.clock()
        exchange = self._begin(call, view, begun, deadline - begun)
        watch: _SilenceWatch | None = None
        if route.kind.repeatable:
            watch = _SilenceWatch(self._node, view, exchange)
        try:
            response = await exchange
        except ExchangeError as exc:
            self._note_idle(view, exc, begun)
            return self._broken(call, view, exc)
        except DeferredTimeoutError:
            return Outcome(Ran.UNKNOWN, "no answer before the deadline", late=True)
        except CancelledError:
            if watch is None or not watch.fired:
                raise
            detail = f"the worker is silent for {view.silence_timeout_s():.1f} s"
            return Outcome(Ran.UNKNOWN, detail)
        finally:
            if watch is not None:
                watch.stop()
        return _judged(self._node.dialect.decode_reply(response))

    def _begin(
        self, call: ForwardCall, view: WorkerView, now: float, remaining_s: float
    ) -> Deferred[HttpResponse]:
        dialect = self._node.dialect
        exchange: Deferred[HttpResponse] = Deferred.fromCoroutine(
            self._workers.pool(view).exchange(
                dialect.encode_attempt(call, view.entry.id, remaining_s),
                min(CONNECT_S, remaining_s),
                lambda response: dialect.belongs(call, response),
                self._workers.trust(view.entry.service).max_idle_s(now),
            )
        )
        return exchange.addTimeout(remaining_s + ANSWER_TRAVEL_S, self._node.reactor)

    def _note_idle(self, view: WorkerView, error: ExchangeError, begun: float) -> None:
        """Take note if the worker had forgotten the connection."""
        now = self._node.clock()
        service = view.entry.service
        trust = self._workers.trust(service)
        if error.began or not trust.record_close(error.idle_s, now - begun, now):
            return
        idle_s, trusted_s = (
            round(error.idle_s or 0.0, 3),
            round(trust.max_idle_s(now), 3),
        )
        self._node.sink.emit(
            IdleConnectionForgotten(view.entry.id, service, idle_s, trusted_s)
        )

    def _broken(
        self, call: ForwardCall, view: WorkerView, error: ExchangeError
    ) -> Outcome:
        unreachable = not error.connected
        if unreachable:
            self._suspicion.crashed(view.entry.id)
        elif error.sent and not error.began:
            signature = self._suspicion.sign(call)
            self._suspicion.lost(signature, call.id, view.entry.id)
        # An idle connection that ends says nothing about its worker.
        if unreachable or error.began or error.idle_s is None:
            service = view.entry.service
            now = self._node.clock()
            view.record_failure(
                now, self._workers.book.cold_s(service), unreachable=unreachable
            )
            self._node.sink.emit(
                WorkerFailed(
                    view.entry.id,
                    service,
                    str(error),
                    view.failures,
                    round(view.backoff_until - now, 3),
                    unreachable,
                )
            )
        return Outcome(Ran.UNKNOWN if error.sent else Ran.NO, str(error))

    def _note(
        self, call: ForwardCall, chosen: ChosenWorker, outcome: Outcome, seconds: float
    ) -> None:
        view = chosen.view
        reply = outcome.reply
        if reply is not None and reply.verdict is Verdict.STRANGER:
            self._workers.moved(view)
        name = "no answer" if reply is None else reply.verdict.value
        self._node.sink.emit(
            AttemptFailed(
                call.id,
                view.entry.id,
                name,
                outcome.detail,
                round(chosen.load, 2),
                chosen.reason,
                round(self._node.clock() - view.seen_at, 1),
                round(seconds, 3),
            )
        )


@final
class _SilenceWatch:
    """Cancels an exchange whose worker answers nobody any more."""

    def __init__(
        self, node: GatewayNode, view: WorkerView, exchange: Deferred[HttpResponse]
    ) -> None:
        self._node = node
        self._view = view
        self._exchange = exchange
        self.fired = False
        self._timer: Any = None
        self._look()

    def stop(self) -> None:
        """Stop to watch."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def _look(self) -> None:
        left = self._view.unresponsive_from() - self._node.clock()
        if left <= 0:
            self.fired = True
            self._exchange.cancel()
        else:
            delay = max(left, SHORTEST_LOOK_S)
            self._timer = self._node.reactor.callLater(delay, self._look)


def _judged(reply: WorkerReply) -> Outcome:
    match reply.verdict:
        case Verdict.ANSWER | Verdict.FAULT:
            ran = Ran.YES
        case Verdict.NOT_RUN | Verdict.STRANGER:
            ran = Ran.NO
        case Verdict.BROKEN:
            ran = Ran.UNKNOWN
    return Outcome(ran, f"status {reply.status}", reply)
