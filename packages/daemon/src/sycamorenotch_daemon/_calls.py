"""Runs a call through the registered stages and records the decision."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from functools import reduce
from typing import ClassVar
from typing import final

from expression import Error

from sycamorenotch_daemon._events import CallAnswered
from sycamorenotch_daemon._events import CallRefused
from sycamorenotch_daemon._node import Node
from sycamorenotch_kernel import Call
from sycamorenotch_kernel import CallResult
from sycamorenotch_kernel import CallStage
from sycamorenotch_kernel import DecisionKind
from sycamorenotch_kernel import DecisionRecord
from sycamorenotch_kernel import ErrorKind
from sycamorenotch_kernel import Failure
from sycamorenotch_kernel import Proceed
from sycamorenotch_kernel import call_stages
from sycamorenotch_kernel import components
from sycamorenotch_kernel import sort_by_dependencies

CallObserver = Callable[[Call, CallResult, timedelta], None]


@components.register("calls")
@final
class CallPipeline:
    """Runs calls through the registered stages, ordered by their dependencies."""

    after: ClassVar[tuple[str, ...]] = ("instances", "upstreams", "admission", "claims")

    def __init__(self, node: Node) -> None:
        self._node = node
        self.in_flight = 0
        self._observers: list[CallObserver] = []
        stages = [stage(node) for stage in sort_by_dependencies(call_stages)]
        self._run_stages = reduce(_chain, reversed(stages), _fail_unanswered)
        node.provide(CallPipeline, self)

    async def start(self) -> None:
        """Do nothing, since the components behind the stages start themselves."""

    async def stop(self) -> None:
        """Do nothing, since the front ends wait for the calls in flight."""

    async def run(self, call: Call) -> CallResult:
        """Run one call and record its decision.

        :return: the answer of the upstream, or the failure of the call.
        """
        self.in_flight += 1
        started_at = self._node.clock.monotonic()
        try:
            result = await self._run_stages(call)
        finally:
            self.in_flight -= 1
        latency = self._node.clock.monotonic() - started_at
        for observer in self._observers:
            observer(call, result, latency)
        self._record(call, result)
        return result

    def observe(self, observer: CallObserver) -> None:
        """Register a function to be called with each finished call.

        :param observer: receives the call, its result and its latency.
        """
        self._observers.append(observer)

    def _record(self, call: Call, result: CallResult) -> None:
        route, rank = call.route.name, call.rank.label
        if result.is_ok():
            outcome = f"answered with status {result.ok.status}"
            self._node.sink.emit(CallAnswered(call.id, route, rank, result.ok.status))
        else:
            failure = result.error
            ran = failure.stated_ran.value
            outcome = f"refused as {failure.kind.value}, ran: {ran}"
            call.add_reason(f"{failure.answer.title}: {failure.detail}.")
            self._node.sink.emit(
                CallRefused(
                    call.id, route, rank, failure.kind.value, ran, failure.detail
                )
            )
        self._node.decisions.record(
            DecisionRecord(
                id=call.id,
                kind=DecisionKind.CALL,
                at=self._node.clock.now(),
                generation=call.generation,
                outcome=outcome,
                reasons=tuple(call.reasons),
                facts=tuple(call.facts),
            )
        )


def _chain(proceed: Proceed, stage: CallStage) -> Proceed:
    async def run(call: Call) -> CallResult:
        return await stage.run(call, proceed)

    return run


async def _fail_unanswered(call: Call) -> CallResult:
    return Error(Failure(ErrorKind.NO_UPSTREAM, "no stage answered the call"))
