"""Routes a request, picks its workers, and runs its attempts and retries."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from math import inf
from math import isfinite
from typing import ClassVar
from typing import final

from expression import Error
from expression import Ok
from expression import Result
from twisted.internet.defer import CancelledError
from twisted.internet.task import deferLater

from sycamorenotch_gateway._attempts import AttemptOutcome
from sycamorenotch_gateway._attempts import Attempts
from sycamorenotch_gateway._customer_quotas import CustomerQuotaGate
from sycamorenotch_gateway._events import RequestAbandoned
from sycamorenotch_gateway._events import RequestAnswered
from sycamorenotch_gateway._events import RequestRefused
from sycamorenotch_gateway._identity import Identity
from sycamorenotch_gateway._node import GatewayNode
from sycamorenotch_gateway._peers import Peers
from sycamorenotch_gateway._race import AttemptEnd
from sycamorenotch_gateway._race import AttemptRace
from sycamorenotch_gateway._routes import Routes
from sycamorenotch_gateway._suspicion import CrashSuspicion
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
from sycamorenotch_policies import NoCapacity
from sycamorenotch_policies import RetryBudget
from sycamorenotch_policies import RetryLimits
from sycamorenotch_policies import WorkerChoice
from sycamorenotch_policies import WorkerRequest
from sycamorenotch_policies import hash_to_unit_interval
from sycamorenotch_policies import pick_service
from sycamorenotch_policies.customers import IdentifiedCaller

# Applies if neither the caller nor the route sets a timeout.
DEFAULT_TIMEOUT_S = 30.0
# Retry-After of a refusal: by then an instance may be ready, or a worker may have
# capacity.
RETRY_AFTER_S = 0.5
# An instance that has just started reads its topics within a few round trips.
# Requests of callers that already know its address wait for that.
STARTUP_WAIT_S = 0.3
STARTUP_POLL_INTERVAL_S = 0.02
# The final answer is sent this long before the caller's own timeout.
CALLER_DEADLINE_MARGIN_S = 0.15
# No attempt starts with less time left, as a worker can do nothing useful in it.
MIN_REMAINING_S = 0.02

ForwardResult = Result[WorkerReply, Refusal]


@final
@dataclass(slots=True)
class _Progress:
    """State of one request across its attempts.

    :param started_at: start on the monotonic clock, in seconds.
    :param version: version of the configuration that decides, 0 if there is none.
    :param version_age_s: age of that configuration, in seconds; may be infinite.
    :param tried: workers that have received an attempt.
    """

    started_at: float
    version: int = 0
    version_age_s: float = inf
    route: str = ""
    service: str = ""
    worker: str = ""
    attempts: int = 0
    ran: Ran = Ran.NO
    tried: set[str] = field(default_factory=set)


@gateway_components.register("forwarder")
@final
class Forwarder:
    """Forwards requests to workers, with retries within the retry budget."""

    after: ClassVar[tuple[str, ...]] = (
        *("routes", "workers", "peers", "suspicion"),
        *("identity", "customer-quotas"),
    )

    def __init__(self, node: GatewayNode) -> None:
        self._node = node
        self._routes = node.require(Routes)
        self._workers = node.require(Workers)
        self._peers = node.require(Peers)
        self._attempts = Attempts(node)
        self._suspicion = node.require(CrashSuspicion)
        self._identity = node.require(Identity)
        self._quotas = node.require(CustomerQuotaGate)
        self._retry_budget = RetryBudget(self._retry_limits)
        directory = self._workers.directory
        build_choice = worker_choices.get(node.settings.worker_choice)
        self._choice: WorkerChoice = build_choice(
            node.settings.placement.region,
            directory.limits,
            lambda worker: self._peers.failure_detector.owns(worker, node.clock()),
            node.random,
            self._workers.shares,
        )
        node.provide(Forwarder, self)

    def start(self) -> None:
        """Do nothing; front ends call :meth:`forward`."""

    async def stop(self) -> None:
        """Do nothing; front ends wait for the requests in flight."""

    async def forward(self, call: ForwardCall) -> ForwardResult:
        """Forward one request.

        Cancelling the call cancels the attempt in flight.
        """
        progress = _Progress(self._node.clock())
        try:
            result = await self._route_request(call, progress)
        except CancelledError:
            seconds = round(self._node.clock() - progress.started_at, 3)
            self._node.sink.emit(RequestAbandoned(call.id, progress.attempts, seconds))
            raise
        self._emit_outcome(call, progress, result)
        return result

    async def _route_request(
        self, call: ForwardCall, progress: _Progress
    ) -> ForwardResult:
        await self._wait_until_ready(progress.started_at + STARTUP_WAIT_S)
        table = self._routes.table
        if table is None or not self._workers.complete:
            detail = "the configuration or the workers have not been read yet"
            return Error(Refusal(ErrorKind.NOT_READY, Ran.NO, detail, RETRY_AFTER_S))
        progress.version = table.configuration.version
        progress.version_age_s = self._routes.age_s
        route = table.match(call.host, call.path)
        if route is None:
            detail = f"no route for {call.host} {call.path}"
            return Error(Refusal(ErrorKind.UNKNOWN_ROUTE, Ran.NO, detail))
        progress.route = route.name
        quarantine_refusal = self._suspicion.refusal(self._suspicion.signature_of(call))
        if quarantine_refusal is not None:
            return Error(quarantine_refusal)
        caller = self._identity.admit(table, route, call.key_digest)
        if isinstance(caller, Refusal):
            return Error(caller)
        route = caller.route
        quota_refusal = self._quota_refusal(caller, call)
        if quota_refusal is not None:
            return Error(quota_refusal)
        progress.service = pick_service(route, hash_to_unit_interval("split", call.id))
        self._workers.demand.record_request(progress.service, self._node.clock())
        timeout_s = DEFAULT_TIMEOUT_S if call.patience_s is None else call.patience_s
        timeout_s = max(MIN_REMAINING_S, timeout_s - CALLER_DEADLINE_MARGIN_S)
        limit_s = (
            timeout_s if route.timeout_s is None else min(timeout_s, route.timeout_s)
        )
        return await self._try_workers(
            call, caller, progress, progress.started_at + limit_s
        )

    def _quota_refusal(
        self, caller: IdentifiedCaller, call: ForwardCall
    ) -> Refusal | None:
        if caller.customer is None:
            return None
        return self._quotas.admit(caller.customer, self._node.clock(), call.patience_s)

    def _retry_limits(self) -> RetryLimits:
        bounds = self._node.settings.bounds
        window_s = bounds.retry_window.total_seconds()
        return RetryLimits(bounds.retry_ratio, window_s, bounds.extra_retries)

    async def _wait_until_ready(self, give_up_at: float) -> None:
        """Wait until the first configuration and workers have been read.

        :param give_up_at: end of the wait on the monotonic clock, in seconds.
        """
        while self._node.clock() < give_up_at and not (
            self._routes.table is not None and self._workers.complete
        ):
            await deferLater(self._node.reactor, STARTUP_POLL_INTERVAL_S, lambda: None)

    async def _try_workers(
        self,
        call: ForwardCall,
        caller: IdentifiedCaller,
        progress: _Progress,
        deadline: float,
    ) -> ForwardResult:
        race = AttemptRace(
            self._attempts, call, caller.route, deadline, caller.stated_name
        )
        try:
            return await self._run_attempts(progress, race, caller)
        finally:
            race.cancel()

    async def _run_attempts(
        self, progress: _Progress, race: AttemptRace, caller: IdentifiedCaller
    ) -> ForwardResult:
        """Run attempts until one settles the request.

        The next attempt starts when the one before failed, or beside it when its
        answer is overdue.
        """
        result: ForwardResult | None = None
        refusal = self._start_attempt(progress, race)
        while race.has_events:
            end = await race.next_event()
            if end is not None:
                latest = self._record_outcome(end, progress)
                # A worker's own answer is not replaced by a failure of another one.
                if result is None or result.is_error() or latest.is_ok():
                    result = latest
                if not _may_retry(race.route, end.outcome):
                    return result
            if end is None or not race.running:
                # The key may have been revoked meanwhile.
                if not self._identity.still_admits(caller, race.call.key_digest):
                    continue
                self._start_attempt(progress, race)
        if result is None:
            assert refusal is not None
            return Error(refusal)
        return result

    def _start_attempt(self, progress: _Progress, race: AttemptRace) -> Refusal | None:
        """Start an attempt.

        :return: why none was started, or ``None`` if one was.
        """
        now = self._node.clock()
        if race.deadline - now < MIN_REMAINING_S:
            detail = "the deadline passed before the first attempt"
            return Refusal(ErrorKind.DEADLINE_PASSED, Ran.NO, detail)
        if progress.attempts >= race.route.attempts:
            return Refusal(ErrorKind.OVERLOADED, Ran.NO, "no attempt is left")
        wanted = WorkerRequest(
            race.route,
            progress.service,
            race.call.object_key,
            frozenset(progress.tried),
            race.deadline - now,
            race.running,
        )
        views = self._workers.directory.known(progress.service)
        choice = self._choice.choose(wanted, views, now)
        if isinstance(choice, NoCapacity):
            return self._overload_refusal(choice, now, progress.service)
        if not self._attempt_allowed(progress, now):
            detail = "the retry budget is used up"
            return Refusal(ErrorKind.OVERLOADED, Ran.NO, detail)
        progress.attempts += 1
        progress.tried.add(choice.view.entry.id)
        race.start(choice)
        return None

    def _record_outcome(self, end: AttemptEnd, progress: _Progress) -> ForwardResult:
        progress.worker = end.worker
        if end.outcome.ran is not Ran.NO:
            progress.ran = end.outcome.ran
        return _to_result(end.outcome, progress)

    def _attempt_allowed(self, progress: _Progress, now: float) -> bool:
        if progress.attempts == 0:
            self._retry_budget.record_first_attempt(progress.service, now)
            return True
        return self._retry_budget.try_acquire(
            progress.service, now, self._peers.live_count
        )

    def _overload_refusal(
        self, choice: NoCapacity, now: float, service: str
    ) -> Refusal:
        detail = f"{choice.reason} ({self._workers.directory.describe(service, now)})"
        return Refusal(ErrorKind.OVERLOADED, Ran.NO, detail, choice.retry_after_s)

    def _emit_outcome(
        self, call: ForwardCall, progress: _Progress, result: ForwardResult
    ) -> None:
        seconds = round(self._node.clock() - progress.started_at, 3)
        age_s = progress.version_age_s
        known_age_s = round(age_s, 3) if isfinite(age_s) else None
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
                    progress.version,
                    known_age_s,
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
                progress.version,
                known_age_s,
            )
        )


def _may_retry(route: ForwardingRoute, outcome: AttemptOutcome) -> bool:
    reply = outcome.reply
    if outcome.timed_out or outcome.invalid:
        return False
    if reply is not None and reply.verdict is Verdict.ANSWER:
        return False
    return outcome.ran is Ran.NO or route.kind.repeatable


def _to_result(outcome: AttemptOutcome, progress: _Progress) -> ForwardResult:
    """Forward a worker's own answers and faults; refuse everything else."""
    reply = outcome.reply
    if reply is not None and reply.verdict in (Verdict.ANSWER, Verdict.FAULT):
        return Ok(reply)
    if outcome.invalid:
        return Error(Refusal(ErrorKind.BAD_REQUEST, progress.ran, outcome.detail))
    if outcome.timed_out:
        kind = ErrorKind.DEADLINE_PASSED
        return Error(Refusal(kind, progress.ran, outcome.detail))
    if progress.ran is Ran.NO:
        kind = ErrorKind.UPSTREAM_SHED
        return Error(Refusal(kind, Ran.NO, outcome.detail, RETRY_AFTER_S))
    return Error(Refusal(ErrorKind.UPSTREAM_FAILED, progress.ran, outcome.detail))
