"""Writes the last states of claims that the store did not confirm at once."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from datetime import timedelta
from typing import ClassVar
from typing import final

from twisted.internet.defer import CancelledError
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater
from twisted.python.failure import Failure as TwistedFailure

from sycamorenotch_daemon._claim_events import ClaimSettled
from sycamorenotch_daemon._claim_events import ClaimSettleDeferred
from sycamorenotch_daemon._claim_events import ClaimSettleDropped
from sycamorenotch_daemon._claim_store import ClaimObject
from sycamorenotch_daemon._node import Node
from sycamorenotch_kernel import AttemptId
from sycamorenotch_kernel import Version
from sycamorenotch_kernel import components
from sycamorenotch_policies import Claim
from sycamorenotch_policies import ClaimFound
from sycamorenotch_policies import ClaimMissing
from sycamorenotch_policies import ClaimState
from sycamorenotch_policies import ClaimStoreFailed
from sycamorenotch_policies import ClaimUnreadable
from sycamorenotch_policies import ClaimWriteLost
from sycamorenotch_policies import ClaimWritten

MAXIMUM_ENTRIES = 512
MAXIMUM_BODY_BYTES = 4 * 1024 * 1024
CALL_TIMEOUT = timedelta(seconds=2)
FIRST_DELAY = timedelta(milliseconds=100)
MAXIMUM_DELAY = timedelta(seconds=30)
MAXIMUM_DOUBLINGS = 10

# A write whose answer was lost can still take effect after it was not found.
LATE_WRITE_HORIZON = timedelta(seconds=60)


@final
@dataclass(slots=True)
class Settlement:
    """The last state of an attempt's claim, on its way to the store.

    :param expected: version to replace; none if it has to be read.
    :param since: moment on the monotonic clock.
    """

    place: ClaimObject
    claim: Claim
    expected: Version | None
    since: timedelta
    detail: str = ""

    @property
    def body_bytes(self) -> int:
        """Memory that the recorded body takes, in bytes."""
        answer = self.claim.answer
        return 0 if answer is None or answer.body is None else len(answer.body)


@components.register("claims")
@final
class ClaimSettler:
    """Records outcomes and releases claims, also after the caller's answer.

    Every settlement replaces a claim that is still held by the same attempt,
    so that it can be repeated without harm.
    """

    after: ClassVar[tuple[str, ...]] = ()

    def __init__(self, node: Node) -> None:
        self._node = node
        self._waiting: OrderedDict[AttemptId, Settlement] = OrderedDict()
        self._loop: Deferred[None] | None = None
        self._failures = 0
        node.provide(ClaimSettler, self)

    @property
    def waiting(self) -> int:
        """Number of settlements that the store has not confirmed."""
        return len(self._waiting)

    async def start(self) -> None:
        """Do nothing; the loop runs while settlements wait."""

    async def stop(self) -> None:
        """Try each waiting settlement once more."""
        if self._loop is not None:
            self._loop.cancel()
        await self._pass()
        for settlement in self._waiting.values():
            self._report_dropped(settlement, "the instance stops")
        self._waiting.clear()

    async def settle(
        self,
        place: ClaimObject,
        claim: Claim,
        expected: Version | None,
        timeout: timedelta,
    ) -> None:
        """Settle a claim now if the store confirms it in time, or else later."""
        now = self._node.clock.monotonic()
        settlement = Settlement(place, claim, expected, now)
        finished = False
        try:
            finished = timeout > timedelta() and await self._attempt(
                settlement, timeout
            )
        finally:
            # The caller may cancel the call while the claim is settled.
            if not finished:
                self._defer(settlement)

    def settle_later(
        self, place: ClaimObject, claim: Claim, expected: Version | None
    ) -> None:
        """Settle a claim whose caller has gone."""
        now = self._node.clock.monotonic()
        self._defer(Settlement(place, claim, expected, now, "the call was interrupted"))

    def _defer(self, settlement: Settlement) -> None:
        claim = settlement.claim
        self._waiting[claim.attempt] = settlement
        self._node.sink.emit(
            ClaimSettleDeferred(claim.attempt, claim.state.value, settlement.detail)
        )
        self._drop_past_bounds()
        if self._loop is None:
            self._loop = Deferred.fromCoroutine(self._run())
            self._loop.addErrback(_ignore_cancelled)

    def _drop_past_bounds(self) -> None:
        while len(self._waiting) > MAXIMUM_ENTRIES or self._body_bytes() > (
            MAXIMUM_BODY_BYTES
        ):
            _, oldest = self._waiting.popitem(last=False)
            self._report_dropped(oldest, "too many settlements wait")

    def _body_bytes(self) -> int:
        return sum(item.body_bytes for item in self._waiting.values())

    def _report_dropped(self, settlement: Settlement, detail: str) -> None:
        claim = settlement.claim
        self._node.sink.emit(
            ClaimSettleDropped(claim.attempt, claim.state.value, detail)
        )

    async def _run(self) -> None:
        try:
            while self._waiting:
                await deferLater(self._node.reactor, self._delay().total_seconds())
                await self._pass()
        finally:
            self._loop = None

    def _delay(self) -> timedelta:
        growth: int = 2 ** min(self._failures, MAXIMUM_DOUBLINGS)
        longest = min(FIRST_DELAY * growth, MAXIMUM_DELAY)
        return FIRST_DELAY + longest * self._node.random.random()

    async def _pass(self) -> None:
        for attempt in tuple(self._waiting):
            settlement = self._waiting.get(attempt)
            if settlement is None:
                continue
            if await self._attempt(settlement, CALL_TIMEOUT):
                self._waiting.pop(attempt, None)
                self._failures = 0
            else:
                self._failures += 1
                return

    async def _attempt(self, settlement: Settlement, timeout: timedelta) -> bool:
        """Return whether the settlement is finished."""
        if settlement.expected is None and not await self._locate(settlement, timeout):
            return False
        if settlement.expected is None:
            return True
        outcome = await settlement.place.write(
            settlement.claim, settlement.expected, timeout
        )
        if isinstance(outcome, ClaimWritten):
            claim = settlement.claim
            self._node.sink.emit(ClaimSettled(claim.attempt, claim.state.value))
            return True
        if isinstance(outcome, ClaimFound):
            return not self._take_version(settlement, outcome)
        if isinstance(outcome, ClaimWriteLost | ClaimStoreFailed):
            settlement.detail = outcome.detail
        # The claim is read before the next try, because the write may have
        # taken effect.
        settlement.expected = None
        return isinstance(outcome, ClaimMissing | ClaimUnreadable)

    async def _locate(self, settlement: Settlement, timeout: timedelta) -> bool:
        """Find the version to replace.

        :return: whether the store gave a final answer; without a version there
            is nothing to settle.
        """
        found = await settlement.place.read(timeout)
        if isinstance(found, ClaimFound):
            self._take_version(settlement, found)
            return True
        if isinstance(found, ClaimStoreFailed):
            settlement.detail = found.detail
            return False
        age = self._node.clock.monotonic() - settlement.since
        settlement.detail = "the claim was not found"
        return isinstance(found, ClaimUnreadable) or age > LATE_WRITE_HORIZON

    def _take_version(self, settlement: Settlement, found: ClaimFound) -> bool:
        """Note the version of a claim that the attempt still holds."""
        held = found.claim.state is ClaimState.HELD
        own = found.claim.is_same_attempt(settlement.claim)
        settlement.expected = found.version if held and own else None
        return held and own


def _ignore_cancelled(failure: TwistedFailure) -> None:
    failure.trap(CancelledError)  # type: ignore[no-untyped-call]
