"""Call stage that runs a non-idempotent request at most once."""

from __future__ import annotations

from collections import OrderedDict
from datetime import timedelta
from typing import ClassVar
from typing import final

from expression import Error
from twisted.internet.task import deferLater

from sycamorenotch_daemon._claim_events import ClaimAnswered
from sycamorenotch_daemon._claim_events import ClaimHeld
from sycamorenotch_daemon._claim_events import ClaimUnreadableFound
from sycamorenotch_daemon._claim_settler import ClaimSettler
from sycamorenotch_daemon._claim_store import ClaimHandle
from sycamorenotch_daemon._claim_store import claim_handle
from sycamorenotch_daemon._node import Node
from sycamorenotch_kernel import Call
from sycamorenotch_kernel import CallResult
from sycamorenotch_kernel import ErrorKind
from sycamorenotch_kernel import Failure
from sycamorenotch_kernel import Invariant
from sycamorenotch_kernel import Proceed
from sycamorenotch_kernel import Ran
from sycamorenotch_kernel import call_stages
from sycamorenotch_policies import ClaimCommand
from sycamorenotch_policies import ClaimInput
from sycamorenotch_policies import ClaimProtocol
from sycamorenotch_policies import ClaimRequest
from sycamorenotch_policies import ClaimUnreadable
from sycamorenotch_policies import ClaimWaited
from sycamorenotch_policies import ClockReading
from sycamorenotch_policies import DispatchCall
from sycamorenotch_policies import DispatchEnded
from sycamorenotch_policies import FinishCall
from sycamorenotch_policies import ReadClaim
from sycamorenotch_policies import WaitForClaim
from sycamorenotch_policies import fingerprint

STORE_TIMEOUT = timedelta(seconds=1)
SETTLE_TIMEOUT = timedelta(milliseconds=500)
MAX_MAY_HAVE_RUN_CLAIMS = 10_000


@call_stages.register("claim")
@final
class ClaimStage:
    """Claims the idempotency key of a call before the call is dispatched."""

    after: ClassVar[tuple[str, ...]] = ("quarantine", "admission")

    def __init__(self, node: Node) -> None:
        self._node = node
        # Names of claims whose request this instance sent and which may have run.
        self._may_have_run: OrderedDict[str, None] = OrderedDict()

    async def run(self, call: Call, proceed: Proceed) -> CallResult:
        """Run the claim protocol for a call whose route is not idempotent."""
        if call.route.idempotent:
            return await proceed(call)
        if call.key is None:
            failure = Failure(
                ErrorKind.BAD_IDEMPOTENCY_KEY, "the route requires an Idempotency-Key"
            )
            return Error(failure)
        handle = claim_handle(self._node.store, call.route.service, call.key)
        protocol = self._create_protocol(call, handle)
        try:
            finish = await self._run_protocol(call, proceed, handle, protocol)
        finally:
            self._settle_interrupted(handle, protocol)
        self._record_may_have_run(handle, protocol)
        return await self._finish(call, handle, protocol, finish)

    def _create_protocol(self, call: Call, handle: ClaimHandle) -> ClaimProtocol:
        current = self._node.configuration.current
        assert current is not None
        request = ClaimRequest(
            fingerprint=fingerprint(call.method, call.path, call.body),
            attempt=self._node.ids.attempt(),
            instance=self._node.settings.instance,
            deadline=call.deadline,
            lifetime=current.environment.bounds.claim_lifetime,
            earlier_may_have_run=handle.name in self._may_have_run,
        )
        return ClaimProtocol(request, self._node.random)

    async def _run_protocol(
        self,
        call: Call,
        proceed: Proceed,
        handle: ClaimHandle,
        protocol: ClaimProtocol,
    ) -> FinishCall:
        command = protocol.start(self._read_clock())
        while not isinstance(command, FinishCall):
            if isinstance(command, DispatchCall):
                event = await self._dispatch(call, proceed, protocol)
            else:
                event = await self._execute(call, handle, command)
            if isinstance(event, ClaimUnreadable):
                self._node.sink.emit(ClaimUnreadableFound(call.id, event.detail))
            command = protocol.feed(event, self._read_clock())
        return command

    async def _execute(
        self, call: Call, handle: ClaimHandle, command: ClaimCommand
    ) -> ClaimInput:
        if isinstance(command, WaitForClaim):
            await deferLater(self._node.reactor, command.delay.total_seconds())
            return ClaimWaited()
        remaining = call.deadline - self._node.clock.monotonic()
        timeout = max(min(STORE_TIMEOUT, remaining), timedelta(milliseconds=1))
        if isinstance(command, ReadClaim):
            return await handle.read(timeout)
        assert not isinstance(command, DispatchCall | FinishCall)
        return await handle.write(command.claim, command.expected, timeout)

    async def _dispatch(
        self, call: Call, proceed: Proceed, protocol: ClaimProtocol
    ) -> ClaimInput:
        now = self._node.clock.monotonic()
        claim_confirmed = protocol.record.dispatched and protocol.version is not None
        detail = (
            f"attempt {protocol.request.attempt} of call {call.id} has no confirmed"
            " claim or is past its deadline"
        )
        if not self._node.invariants.holds(
            Invariant.I6, claim_confirmed and now < call.deadline, detail
        ):
            refusal = Failure(ErrorKind.INVARIANT, detail, Ran.NO)
            return DispatchEnded(Error(refusal))
        attempt = protocol.request.attempt
        call.add_reason("The call holds the claim for its key.", attempt=attempt)
        self._node.sink.emit(ClaimHeld(call.id, attempt))
        return DispatchEnded(await proceed(call))

    async def _finish(
        self,
        call: Call,
        handle: ClaimHandle,
        protocol: ClaimProtocol,
        finish: FinishCall,
    ) -> CallResult:
        if finish.settle is not None:
            remaining = call.deadline - self._node.clock.monotonic()
            await self._node.require(ClaimSettler).settle(
                handle, finish.settle, finish.expected, min(SETTLE_TIMEOUT, remaining)
            )
        if not protocol.record.dispatched:
            self._report_answer(call, finish.result)
        return self._verify(call, protocol, finish.result)

    def _verify(
        self, call: Call, protocol: ClaimProtocol, result: CallResult
    ) -> CallResult:
        if result.is_ok() or result.error.stated_ran is not Ran.NO:
            return result
        detail = f"call {call.id} was dispatched and may have run"
        if self._node.invariants.holds(
            Invariant.I5, not protocol.record.may_have_run, detail
        ):
            return result
        return Error(Failure(ErrorKind.INVARIANT, detail, Ran.UNKNOWN))

    def _report_answer(self, call: Call, result: CallResult) -> None:
        outcome = "recorded answer" if result.is_ok() else result.error.kind.value
        call.add_reason(f"The claim for the key determined the answer: {outcome}.")
        self._node.sink.emit(ClaimAnswered(call.id, outcome))

    def _settle_interrupted(self, handle: ClaimHandle, protocol: ClaimProtocol) -> None:
        finish = protocol.abandon()
        if finish is None:
            return
        self._record_may_have_run(handle, protocol)
        if finish.settle is not None:
            self._node.require(ClaimSettler).settle_later(
                handle, finish.settle, finish.expected
            )

    def _record_may_have_run(
        self, handle: ClaimHandle, protocol: ClaimProtocol
    ) -> None:
        if protocol.record.may_have_run:
            self._may_have_run[handle.name] = None
            self._may_have_run.move_to_end(handle.name)
        elif protocol.record.dispatched:
            self._may_have_run.pop(handle.name, None)
        if len(self._may_have_run) > MAX_MAY_HAVE_RUN_CLAIMS:
            self._may_have_run.popitem(last=False)

    def _read_clock(self) -> ClockReading:
        clock = self._node.clock
        return ClockReading(clock.monotonic(), clock.now())
