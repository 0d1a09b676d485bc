"""Last stage of a call, which sends it to an upstream worker."""

from __future__ import annotations

from datetime import timedelta
from typing import ClassVar
from typing import final

from expression import Error
from expression import Ok

from sycamorenotch_daemon._node import Node
from sycamorenotch_daemon._upstream_client import AttemptResult
from sycamorenotch_daemon._upstreams import Upstreams
from sycamorenotch_kernel import Call
from sycamorenotch_kernel import CallAnswer
from sycamorenotch_kernel import CallResult
from sycamorenotch_kernel import ErrorKind
from sycamorenotch_kernel import Failure
from sycamorenotch_kernel import Invariant
from sycamorenotch_kernel import Proceed
from sycamorenotch_kernel import Ran
from sycamorenotch_kernel import call_stages
from sycamorenotch_policies import Choice
from sycamorenotch_policies import Outcome
from sycamorenotch_policies import Quarantine
from sycamorenotch_policies import Signature
from sycamorenotch_policies import UpstreamChoice

NO_WORKER_RETRY_AFTER = timedelta(seconds=1)


@call_stages.register("dispatch")
@final
class DispatchStage:
    """Sends each call to one worker of its service."""

    after: ClassVar[tuple[str, ...]] = ("quarantine", "admission", "claim", "retry")

    def __init__(self, node: Node) -> None:
        self._node = node
        self._upstreams = node.require(Upstreams)

    async def run(self, call: Call, proceed: Proceed) -> CallResult:
        """Choose a worker, send the call and wait for the complete answer."""
        now = self._node.clock.monotonic()
        remaining = call.deadline - now
        if remaining <= timedelta():
            detail = "the deadline passed before the call was sent"
            return Error(Failure(ErrorKind.DEADLINE_PASSED, detail, Ran.NO))
        chooser = self._upstreams.choice(call.route.service)
        if chooser is None:
            return _no_worker("the service is not in the configuration in force")
        choice = chooser.choose(now, frozenset(call.tried))
        if choice is None:
            return _no_worker("no worker of the service can accept the call")
        return await self._send(call, chooser, choice, remaining)

    async def _send(
        self,
        call: Call,
        chooser: UpstreamChoice,
        choice: Choice,
        remaining: timedelta,
    ) -> CallResult:
        worker, started_at = choice.worker, self._node.clock.monotonic()
        call.tried.append(worker.name)
        call.add_reason(choice.reason, worker=worker.name)
        # The attempt counts as failed if the client raises an exception.
        outcome = Outcome.FAILED
        try:
            result = await self._upstreams.client.send(call, worker, remaining)
            outcome = Outcome.ANSWERED if result.is_ok() else result.error.outcome
        finally:
            now = self._node.clock.monotonic()
            call.upstream_time = now - started_at
            cause = call.signature or None
            chooser.finish(worker.name, call.upstream_time, outcome, now, cause)
        self._record_outcome(call, worker.name, result)
        if result.is_error():
            return Error(result.error.failure)
        return self._verify(call, result.ok, worker.name)

    def _verify(self, call: Call, answer: CallAnswer, worker: str) -> CallResult:
        detail = f"{worker} sent {len(answer.body)} of {answer.length} bytes"
        belongs = answer.belongs_to(call)
        if self._node.invariants.holds(Invariant.I4, belongs, detail):
            return Ok(answer)
        violation = "the worker's answer is incomplete or belongs to another request"
        return Error(Failure(ErrorKind.INVARIANT, violation, Ran.UNKNOWN))

    def _record_outcome(self, call: Call, worker: str, result: AttemptResult) -> None:
        quarantine = self._node.find(Quarantine)
        if quarantine is None or not call.signature:
            return
        signature = Signature(call.signature)
        now = self._node.clock.monotonic()
        if result.is_ok():
            quarantine.record_answer(signature, now)
        elif result.error.worker_lost:
            quarantine.record_strike(signature, worker, now)


def _no_worker(detail: str) -> CallResult:
    return Error(Failure(ErrorKind.NO_UPSTREAM, detail, Ran.NO, NO_WORKER_RETRY_AFTER))
