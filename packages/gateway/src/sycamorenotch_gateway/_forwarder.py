"""Takes a request through route, choice of worker, attempts and retries."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import ClassVar
from typing import final

from expression import Error
from expression import Ok
from expression import Result
from twisted.internet.defer import CancelledError
from twisted.internet.task import deferLater

from sycamorenotch_gateway._attempts import Attempts
from sycamorenotch_gateway._attempts import Outcome
from sycamorenotch_gateway._events import RequestAbandoned
from sycamorenotch_gateway._events import RequestAnswered
from sycamorenotch_gateway._events import RequestRefused
from sycamorenotch_gateway._node import GatewayNode
from sycamorenotch_gateway._peers import Peers
from sycamorenotch_gateway._routes import Routes
from sycamorenotch_gateway._suspicion import Suspicion
from sycamorenotch_gateway._workers import Workers
from sycamorenotch_kernel import ErrorKind
from sycamorenotch_kernel import ForwardCall
from sycamorenotch_kernel import ForwardingRoute
from sycamorenotch_kernel import Ran
from sycamorenotch_kernel import Refusal
from sycamorenotch_kernel import Verdict
from sycamorenotch_kernel import WorkerReply
from sycamorenotch_kernel import gateway_components
from sycamorenotch_kernel import worker_choices
from sycamorenotch_policies import ChosenWorker
from sycamorenotch_policies import NoCapacity
from sycamorenotch_policies import RetryBudget
from sycamorenotch_policies import RetryLimits
from sycamorenotch_policies import WorkerChoice
from sycamorenotch_policies import WorkerRequest
from sycamorenotch_policies import hash_to_unit_interval
from sycamorenotch_policies import pick_service

# Patience of a caller that names none on a route without a time limit.
DEFAULT_PATIENCE_S = 30.0
# Pause after which a caller may find an instance ready or a worker with room.
RETRY_AFTER_S = 0.5
# An instance that has just started reads its topics within a few round trips;
# requests of callers that know its address wait for that, at this interval.
START_WAIT_S = 0.3
START_LOOK_S = 0.02
# A caller gets the final answer this long before it stops to wait.
ANSWER_MARGIN_S = 0.15
# Least time in which a worker can do anything of use.
LEAST_REMAINING_S = 0.02

ForwardResult = Result[WorkerReply, Refusal]


@final
@dataclass(slots=True)
class _Progress:
    """What has been done for one request."""

    begun: float
    route: str = ""
    service: str = ""
    worker: str = ""
    attempts: int = 0
    ran: Ran = Ran.NO
    tried: set[str] = field(default_factory=set)


@gateway_components.register("forwarder")
@final
class Forwarder:
    """Forwards requests to workers."""

    after: ClassVar[tuple[str, ...]] = ("routes", "workers", "peers", "suspicion")

    def __init__(self, node: GatewayNode) -> None:
        self._node = node
        self._routes = node.require(Routes)
        self._workers = node.require(Workers)
        self._peers = node.require(Peers)
        self._attempts = Attempts(node)
        self._suspicion = node.require(Suspicion)
        self._allowance = RetryBudget(self._terms)
        book = self._workers.book
        self._choice: WorkerChoice = worker_choices.get("affinity")(
            node.settings.placement.region,
            book.limits,
            lambda worker: self._peers.liveness.owns(worker, node.clock()),
            node.random,
        )
        node.provide(Forwarder, self)

    def start(self) -> None:
        """Do nothing; front ends bring the requests."""

    async def stop(self) -> None:
        """Do nothing; front ends wait for the requests in flight."""

    async def forward(self, call: ForwardCall) -> ForwardResult:
        """Forward one request; a cancellation ends the work for it."""
        progress = _Progress(self._node.clock())
        try:
            result = await self._route(call, progress)
        except CancelledError:
            seconds = round(self._node.clock() - progress.begun, 3)
            self._node.sink.emit(RequestAbandoned(call.id, progress.attempts, seconds))
            raise
        self._record(call, progress, result)
        return result

    async def _route(self, call: ForwardCall, progress: _Progress) -> ForwardResult:
        await self._until_known(progress.begun + START_WAIT_S)
        table = self._routes.table
        if table is None or not self._workers.complete:
            detail = "no configuration is in force"
            return Error(Refusal(ErrorKind.NOT_READY, Ran.NO, detail, RETRY_AFTER_S))
        route = table.match(call.host, call.path)
        if route is None:
            detail = f"no route for {call.host} {call.path}"
            return Error(Refusal(ErrorKind.UNKNOWN_ROUTE, Ran.NO, detail))
        progress.route = route.name
        held = self._suspicion.refusal(self._suspicion.sign(call))
        if held is not None:
            return Error(held)
        progress.service = pick_service(route, hash_to_unit_interval("split", call.id))
        patience = DEFAULT_PATIENCE_S if call.patience_s is None else call.patience_s
        patience = max(LEAST_REMAINING_S, patience - ANSWER_MARGIN_S)
        bound = patience if route.timeout_s is None else min(patience, route.timeout_s)
        return await self._try_workers(call, route, progress, progress.begun + bound)

    def _terms(self) -> RetryLimits:
        bounds = self._node.settings.bounds
        window_s = bounds.retry_window.total_seconds()
        return RetryLimits(bounds.retry_ratio, window_s, bounds.extra_retries)

    async def _until_known(self, limit: float) -> None:
        """Wait for the first configuration and workers of a fresh instance."""
        while self._node.clock() < limit and not (
            self._routes.table is not None and self._workers.complete
        ):
            await deferLater(self._node.reactor, START_LOOK_S, lambda: None)

    async def _try_workers(
        self,
        call: ForwardCall,
        route: ForwardingRoute,
        progress: _Progress,
        deadline: float,
    ) -> ForwardResult:
        result: ForwardResult | None = None
        while True:
            now = self._node.clock()
            if deadline - now < LEAST_REMAINING_S:
                late = Refusal(ErrorKind.DEADLINE_PASSED, Ran.NO, "the time ran out")
                return Error(late) if result is None else result
            wanted = WorkerRequest(
                route, progress.service, call.object_key, frozenset(progress.tried)
            )
            views = self._workers.book.usable(progress.service, now)
            choice = self._choice.choose(wanted, views, now)
            if isinstance(choice, NoCapacity):
                if result is not None:
                    return result
                return Error(self._no_room(choice, now, progress.service))
            if not self._may_send(progress, now) and result is not None:
                return result
            outcome = await self._send(call, route, choice, progress, deadline)
            result = _result(outcome, progress)
            if progress.attempts >= route.attempts or not _may_repeat(route, outcome):
                return result

    async def _send(
        self,
        call: ForwardCall,
        route: ForwardingRoute,
        chosen: ChosenWorker,
        progress: _Progress,
        deadline: float,
    ) -> Outcome:
        worker = chosen.view.entry.id
        progress.attempts += 1
        progress.worker = worker
        progress.tried.add(worker)
        outcome = await self._attempts.send(call, route, chosen, deadline)
        if outcome.ran is not Ran.NO:
            progress.ran = outcome.ran
        return outcome

    def _may_send(self, progress: _Progress, now: float) -> bool:
        if progress.attempts == 0:
            self._allowance.record_first_attempt(progress.service, now)
            return True
        return self._allowance.try_acquire(progress.service, now, self._peers.live_count)

    def _no_room(self, choice: NoCapacity, now: float, service: str) -> Refusal:
        detail = f"{choice.reason} ({self._workers.book.describe(service, now)})"
        return Refusal(ErrorKind.OVERLOADED, Ran.NO, detail, choice.retry_after_s)

    def _record(
        self, call: ForwardCall, progress: _Progress, result: ForwardResult
    ) -> None:
        seconds = round(self._node.clock() - progress.begun, 3)
        version = self._routes.version
        if result.is_ok():
            self._node.sink.emit(
                RequestAnswered(
                    call.id,
                    progress.route,
                    progress.service,
                    progress.worker,
                    result.ok.status,
                    progress.attempts,
                    seconds,
                    version,
                )
            )
            return
        refusal = result.error
        self._node.sink.emit(
            RequestRefused(
                call.id,
                progress.route,
                progress.service,
                refusal.kind.value,
                refusal.ran.value,
                refusal.status,
                refusal.detail,
                progress.attempts,
                seconds,
                round(refusal.retry_after_s or 0.0, 3),
                version,
            )
        )


def _may_repeat(route: ForwardingRoute, outcome: Outcome) -> bool:
    reply = outcome.reply
    if outcome.late or (reply is not None and reply.verdict is Verdict.ANSWER):
        return False
    return outcome.ran is Ran.NO or route.kind.repeatable


def _result(outcome: Outcome, progress: _Progress) -> ForwardResult:
    """A worker's own answers and failures are handed on, the rest is refused."""
    reply = outcome.reply
    if reply is not None and reply.verdict in (Verdict.ANSWER, Verdict.FAULT):
        return Ok(reply)
    if outcome.late:
        kind = ErrorKind.DEADLINE_PASSED
        return Error(Refusal(kind, progress.ran, outcome.detail))
    if progress.ran is Ran.NO:
        kind = ErrorKind.UPSTREAM_SHED
        return Error(Refusal(kind, Ran.NO, outcome.detail, RETRY_AFTER_S))
    return Error(Refusal(ErrorKind.UPSTREAM_FAILED, progress.ran, outcome.detail))
