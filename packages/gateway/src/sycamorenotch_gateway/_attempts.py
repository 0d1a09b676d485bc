"""Sends a request to one worker and classifies the result."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any
from typing import final

from twisted.internet.defer import CancelledError
from twisted.internet.defer import Deferred
from twisted.internet.defer import TimeoutError as DeferredTimeoutError

from sycamorenotch_gateway._events import AttemptFailed
from sycamorenotch_gateway._node import GatewayNode
from sycamorenotch_gateway._suspicion import CrashSuspicion
from sycamorenotch_gateway._worker_events import IdleConnectionForgotten
from sycamorenotch_gateway._worker_events import WorkerFailed
from sycamorenotch_gateway._workers import Workers
from sycamorenotch_kernel import ForwardCall
from sycamorenotch_kernel import ForwardingRoute
from sycamorenotch_kernel import Ran
from sycamorenotch_kernel import Verdict
from sycamorenotch_kernel import WorkerReply
from sycamorenotch_policies import MIN_WAIT_S
from sycamorenotch_policies import ChosenWorker
from sycamorenotch_policies import WorkerView
from sycamorenotch_policies import overdue_after_s
from sycamorenotch_transport import ExchangeError
from sycamorenotch_transport import HttpResponse

# Several round trips between regions. A lost SYN is retransmitted only after a
# second, in which another worker can answer.
CONNECT_TIMEOUT_S = 0.5
# Delay between two checks whether a request is overdue.
OVERDUE_CHECK_INTERVAL_S = 0.2
# Added to the worker's deadline, so that an answer sent at the deadline arrives.
DEADLINE_GRACE_S = 0.1
# Three runs in a hundred take seven times as long as expected, so silence up to this
# multiple does not mean that a worker has failed.
LONGEST_RUN = 8.0
# Answers from this status on do not show what a request costs.
MIN_ERROR_STATUS = 400
# Verdicts on answers to requests that the worker ran. What it writes in place of an
# answer may leave its limit out.
RAN_VERDICTS = frozenset({Verdict.ANSWER, Verdict.FAULT})
# Verdicts on answers that are known to come from the worker that was asked.
OWN_VERDICTS = RAN_VERDICTS | {Verdict.NOT_RUN}


@final
@dataclass(frozen=True, slots=True)
class AttemptOutcome:
    """Result of one attempt.

    :param ran: what is known about the execution of the request.
    :param detail: description of the result, for the log.
    :param reply: the worker's answer, if a complete one arrived.
    :param timed_out: whether no answer arrived before the deadline.
    :param invalid: whether the request cannot be sent to any worker.
    """

    ran: Ran
    detail: str
    reply: WorkerReply | None = None
    timed_out: bool = False
    invalid: bool = False


@final
@dataclass(slots=True)
class _Progress:
    response_started: bool = False

    def start_response(self) -> None:
        """Record that bytes of an answer arrived."""
        self.response_started = True


@final
class Attempts:
    """Sends requests to workers and records the results per worker."""

    def __init__(self, node: GatewayNode) -> None:
        self._node = node
        self._workers = node.require(Workers)
        self._suspicion = node.require(CrashSuspicion)

    async def send(
        self,
        call: ForwardCall,
        route: ForwardingRoute,
        chosen: ChosenWorker,
        deadline: float,
        on_overdue: Callable[[], None],
        customer: str | None = None,
    ) -> AttemptOutcome:
        """Send a request and wait for the answer or the deadline.

        :param deadline: time on the monotonic clock, in seconds.
        :param on_overdue: called once if the answer takes so long that a second
            worker should be tried.
        :param customer: name of the customer, as in :meth:`Dialect.encode_attempt`.
        """
        view = chosen.view
        started_at = self._node.clock()
        view.record_start(started_at, chosen.run)
        watch = _OverdueWatch(
            self._node, self._workers, chosen, deadline - started_at, on_overdue
        )
        if route.kind.repeatable:
            watch.start()
        try:
            outcome = await self._exchange(call, view, deadline, customer)
        except CancelledError:
            if watch.overdue:
                self._report_overtaken(call, chosen, started_at)
            raise
        finally:
            watch.stop()
            view.record_end(started_at, chosen.run)
        now = self._node.clock()
        reply = outcome.reply
        if reply is not None:
            self._record_reply(view, reply, call.id, started_at)
        if reply is not None and reply.verdict is Verdict.ANSWER:
            view.record_success(now - started_at)
            if chosen.run is not None and reply.status < MIN_ERROR_STATUS:
                view.work.record_answer(chosen.run, now - started_at, now)
            self._suspicion.record_answered(self._suspicion.signature_of(call))
            return outcome
        self._report_failure(call, chosen, outcome, now - started_at)
        return outcome

    def _record_reply(
        self, view: WorkerView, reply: WorkerReply, request: str, started_at: float
    ) -> None:
        """Record what an answer says of its worker, whatever became of the request.

        :param request: identifier of the request.
        :param started_at: when the request was sent.
        """
        now = self._node.clock()
        if reply.load is not None:
            view.observe_load(reply.load, now)
        if reply.ignored_load:
            self._workers.report_ignored_load(view, reply.ignored_load)
        if _states_rate_limit(reply):
            self._record_rate_limit(view, reply.rate_limit, now)
        if reply.verdict in OWN_VERDICTS and reply.leaving:
            self._workers.record_leaving(view)
        if reply.verdict in OWN_VERDICTS and reply.pause_s:
            self._workers.record_pause(view, reply.pause_s, request)
        view.last_answer_at = now
        if reply.verdict in OWN_VERDICTS:
            self._suspicion.record_alive(view.entry.id, started_at)

    async def _exchange(
        self,
        call: ForwardCall,
        view: WorkerView,
        deadline: float,
        customer: str | None,
    ) -> AttemptOutcome:
        started_at = self._node.clock()
        progress = _Progress()
        exchange = self._start_exchange(
            call, view, progress, started_at, deadline - started_at, customer
        )
        try:
            response = await exchange
        except ExchangeError as exc:
            self._record_idle_reset(view, exc, started_at)
            return self._record_exchange_error(call, view, exc)
        except DeferredTimeoutError:
            detail = "no answer before the deadline"
            if progress.response_started:
                detail = "the answer did not end before the deadline"
                self._record_failure(view, detail, unreachable=False)
            return AttemptOutcome(Ran.UNKNOWN, detail, timed_out=True)
        return _classify(self._node.dialect.decode_reply(response))

    def _start_exchange(
        self,
        call: ForwardCall,
        view: WorkerView,
        progress: _Progress,
        now: float,
        remaining_s: float,
        customer: str | None,
    ) -> Deferred[HttpResponse]:
        dialect = self._node.dialect
        exchange: Deferred[HttpResponse] = Deferred.fromCoroutine(
            self._workers.pool(view).exchange(
                dialect.encode_attempt(call, view.entry.id, remaining_s, customer),
                min(CONNECT_TIMEOUT_S, remaining_s),
                lambda response: dialect.match_response(call, response),
                self._workers.idle_timeout(view.entry.service).max_idle_s(now),
                progress.start_response,
                # Without an identifier, a late answer to an earlier request could not
                # be told from the answer to this one.
                reuse=bool(call.id),
            )
        )
        return exchange.addTimeout(remaining_s + DEADLINE_GRACE_S, self._node.reactor)

    def _record_idle_reset(
        self, view: WorkerView, error: ExchangeError, started_at: float
    ) -> None:
        """Record a reset if the worker no longer held the idle connection."""
        now = self._node.clock()
        service = view.entry.service
        idle_timeout = self._workers.idle_timeout(service)
        if error.response_started or not idle_timeout.record_close(
            error.idle_s, now - started_at, now
        ):
            return
        idle_s, trusted_s = (
            round(error.idle_s or 0.0, 3),
            round(idle_timeout.max_idle_s(now), 3),
        )
        self._node.sink.emit(
            IdleConnectionForgotten(view.entry.id, service, idle_s, trusted_s)
        )

    def _record_exchange_error(
        self, call: ForwardCall, view: WorkerView, error: ExchangeError
    ) -> AttemptOutcome:
        if error.invalid:
            return AttemptOutcome(Ran.NO, str(error), invalid=True)
        unreachable = not error.connected
        if error.refused:
            self._suspicion.record_refused(view.entry.id)
        elif error.sent and not error.response_started and not view.leaving:
            signature = self._suspicion.signature_of(call)
            self._suspicion.record_lost_request(signature, call.id, view.entry)
        # A reused idle connection that breaks says nothing about its worker.
        if unreachable or error.response_started or error.idle_s is None:
            self._record_failure(view, str(error), unreachable=unreachable)
        return AttemptOutcome(Ran.UNKNOWN if error.sent else Ran.NO, str(error))

    def _record_failure(
        self, view: WorkerView, detail: str, *, unreachable: bool
    ) -> None:
        service = view.entry.service
        now = self._node.clock()
        cold_s = self._workers.directory.cold_s(service)
        view.record_failure(now, cold_s, unreachable=unreachable)
        pause_s = round(view.backoff_until - now, 3)
        self._node.sink.emit(
            WorkerFailed(
                view.entry.id, service, detail, view.failures, pause_s, unreachable
            )
        )

    def _record_rate_limit(
        self, view: WorkerView, limit: float | None, now: float
    ) -> None:
        previous = view.rate.limit
        if view.rate.observe(limit, now):
            self._workers.report_rate_limit(view, previous, "answer")

    def _report_overtaken(
        self, call: ForwardCall, chosen: ChosenWorker, started_at: float
    ) -> None:
        """Report an overdue attempt that another worker's answer made needless."""
        view = chosen.view
        waited_s = self._node.clock() - started_at
        outcome = AttemptOutcome(Ran.UNKNOWN, f"no answer within {waited_s:.1f} s")
        self._report_failure(call, chosen, outcome, waited_s)
        # A worker that answered other requests meanwhile is only slow, and so may be
        # one with an unusually long run.
        is_long = chosen.run is not None and waited_s < max(
            view.silence_timeout_s(), LONGEST_RUN * chosen.run.finish_s
        )
        if not is_long and view.last_answer_at < started_at:
            self._record_failure(view, outcome.detail, unreachable=False)

    def _report_failure(
        self,
        call: ForwardCall,
        chosen: ChosenWorker,
        outcome: AttemptOutcome,
        seconds: float,
    ) -> None:
        view = chosen.view
        reply = outcome.reply
        if reply is not None and reply.verdict is Verdict.STRANGER:
            self._workers.remove_reassigned(view)
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
class _OverdueWatch:
    """Reports once that the answer to a request is overdue.

    :param time_left_s: time until the deadline, in seconds.
    :param on_overdue: called when the answer becomes overdue.
    """

    def __init__(
        self,
        node: GatewayNode,
        workers: Workers,
        chosen: ChosenWorker,
        time_left_s: float,
        on_overdue: Callable[[], None],
    ) -> None:
        self._node = node
        self._workers = workers
        self._view = chosen.view
        self._run = chosen.run
        self._started_at = node.clock()
        self._time_left_s = time_left_s
        self._on_overdue = on_overdue
        self._timer: Any = None
        self.overdue = False

    def start(self) -> None:
        """Start to watch.

        Without estimates, no answer is overdue before ``MIN_WAIT_S``.
        """
        run_s = MIN_WAIT_S if self._run is None else self._run.overdue_s
        first_s = min(MIN_WAIT_S, run_s)
        self._timer = self._node.reactor.callLater(first_s, self._check)

    def _check(self) -> None:
        now = self._node.clock()
        directory = self._workers.directory
        wait_s = overdue_after_s(
            self._view.estimate,
            self._time_left_s,
            suspect=directory.is_suspect(self._view.entry.data_centre, now),
            run=self._run,
        )
        if now - self._started_at >= wait_s:
            self.overdue = True
            self._on_overdue()
            return
        self._timer = self._node.reactor.callLater(
            OVERDUE_CHECK_INTERVAL_S, self._check
        )

    def stop(self) -> None:
        """Cancel the pending check."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()


def _states_rate_limit(reply: WorkerReply) -> bool:
    """Return whether an answer says which limit the worker has, if any."""
    if reply.verdict in RAN_VERDICTS:
        return True
    return reply.verdict is Verdict.NOT_RUN and reply.rate_limit is not None


def _classify(reply: WorkerReply) -> AttemptOutcome:
    match reply.verdict:
        case Verdict.ANSWER | Verdict.FAULT:
            ran = Ran.YES
        case Verdict.NOT_RUN | Verdict.STRANGER:
            ran = Ran.NO
        case Verdict.BROKEN:
            ran = Ran.UNKNOWN
    return AttemptOutcome(ran, f"status {reply.status}", reply)
