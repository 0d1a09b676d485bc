"""Retries failed attempts as the retry rule allows."""

from __future__ import annotations

from dataclasses import replace
from datetime import timedelta
from typing import ClassVar
from typing import final

from expression import Error
from twisted.internet.defer import CancelledError
from twisted.internet.task import deferLater

from sycamorenotch_daemon._call_events import RetryRefused
from sycamorenotch_daemon._call_events import RetryScheduled
from sycamorenotch_daemon._node import Node
from sycamorenotch_daemon._node import ServedConfiguration
from sycamorenotch_kernel import Call
from sycamorenotch_kernel import CallResult
from sycamorenotch_kernel import ErrorKind
from sycamorenotch_kernel import Failure
from sycamorenotch_kernel import Proceed
from sycamorenotch_kernel import Ran
from sycamorenotch_kernel import call_stages
from sycamorenotch_kernel import retry_rules
from sycamorenotch_policies import FailedAttempt
from sycamorenotch_policies import GiveUp
from sycamorenotch_policies import Quarantine
from sycamorenotch_policies import RetryDecision
from sycamorenotch_policies import RetryRule
from sycamorenotch_policies import Signature


@call_stages.register("retry")
@final
class RetryStage:
    """Consults the retry rule of the service after each failed attempt."""

    after: ClassVar[tuple[str, ...]] = ("quarantine", "admission", "claim")

    def __init__(self, node: Node) -> None:
        self._node = node
        self._rules: dict[str, RetryRule] = {}
        self._rule_name = ""
        node.configuration.subscribe(self._on_configuration)

    async def run(self, call: Call, proceed: Proceed) -> CallResult:
        """Run attempts until one is answered or the retry rule gives up.

        :return: the answer, or the failure of the last attempt with what is
            known about the execution in all attempts.
        """
        rule = self._rule_of(call.route.service)
        rule.count_first_attempt()
        ran, number = Ran.NO, 1
        last: Failure | None = None
        while True:
            result = await proceed(call)
            if result.is_ok():
                return result
            failure = result.error
            ran = _combine(ran, failure.stated_ran)
            if last is not None and failure.kind is ErrorKind.NO_UPSTREAM:
                # The earlier failure tells the caller more than that no worker
                # is left.
                return Error(replace(last, ran=ran))
            decision = self._decide(call, rule, failure, number)
            if isinstance(decision, GiveUp):
                return Error(replace(failure, ran=ran))
            last = failure
            if not await self._wait(decision.delay):
                detail = "the caller disconnected between two attempts"
                return Error(Failure(ErrorKind.CANCELLED, detail, ran))
            number += 1

    def _decide(
        self, call: Call, rule: RetryRule, failure: Failure, number: int
    ) -> RetryDecision:
        now = self._node.clock.monotonic()
        decision = self._decide_unless_quarantined(call, rule, failure, number, now)
        if isinstance(decision, GiveUp):
            call.add_reason(f"The call was not retried: {decision.reason}.")
            event = RetryRefused(call.id, number, failure.kind.value, decision.reason)
        else:
            call.add_reason(f"Attempt {number} failed: {failure.detail}.")
            delay_s = decision.delay.total_seconds()
            event = RetryScheduled(call.id, number, failure.kind.value, delay_s)
        self._node.sink.emit(event)
        return decision

    def _decide_unless_quarantined(
        self,
        call: Call,
        rule: RetryRule,
        failure: Failure,
        number: int,
        now: timedelta,
    ) -> RetryDecision:
        quarantine = self._node.find(Quarantine)
        signature = Signature(call.signature)
        if quarantine is not None and quarantine.remaining(signature, now):
            return GiveUp("the request is in quarantine")
        current = self._node.configuration.current
        assert current is not None
        service = current.environment.services.get(call.route.service)
        if service is None:
            return GiveUp("the service was removed")
        idempotent, deadline = call.route.idempotent, call.deadline
        attempt = FailedAttempt(
            number, idempotent, failure, deadline, service.service_time
        )
        return rule.decide(attempt, now)

    async def _wait(self, delay: timedelta) -> bool:
        try:
            await deferLater(self._node.reactor, delay.total_seconds())
        except CancelledError:
            return False
        return True

    def _rule_of(self, service: str) -> RetryRule:
        if service not in self._rules:
            factory = retry_rules.get(self._rule_name)
            self._rules[service] = factory(self._node.random)
        return self._rules[service]

    def _on_configuration(self, in_force: ServedConfiguration) -> None:
        name = in_force.environment.policies["retry"]
        if name != self._rule_name:
            self._rule_name = name
            self._rules.clear()


def _combine(first: Ran, second: Ran) -> Ran:
    """Combine what is known about the execution in two attempts."""
    if Ran.YES in (first, second):
        return Ran.YES
    return Ran.NO if first is second is Ran.NO else Ran.UNKNOWN
