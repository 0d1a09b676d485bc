"""Writes the final states of claims and retries those that are not confirmed."""

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
from sycamorenotch_daemon._claim_store import ClaimHandle
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

MAX_WAITING_SETTLEMENTS = 512
MAX_WAITING_BODY_BYTES = 4 * 1024 * 1024
STORE_TIMEOUT = timedelta(seconds=2)
MIN_RETRY_DELAY = timedelta(milliseconds=100)
MAX_RETRY_JITTER = timedelta(seconds=30)
MAX_JITTER_DOUBLINGS = 10

# A write whose answer was lost can take effect after a read did not find it.
LATE_WRITE_WINDOW = timedelta(seconds=60)


@final
@dataclass(slots=True)
class Settlement:
    """Final state of an attempt's claim that is not yet stored.

    :param claim: the claim in its final state.
    :param expected: version to replace; none if it must be read first.
    :param created_at: time of creation on the monotonic clock.
    :param detail: reason why the store has not confirmed the state.
    """

    handle: ClaimHandle
    claim: Claim
    expected: Version | None
    created_at: timedelta
    detail: str = ""

    @property
    def body_bytes(self) -> int:
        """Size of the recorded body, in bytes."""
        answer = self.claim.answer
        return 0 if answer is None or answer.body is None else len(answer.body)


@components.register("claims")
@final
class ClaimSettler:
    """Records outcomes and releases claims, even after the caller got its answer.

    A settlement only replaces a claim that the same attempt still holds, so
    that it can safely be repeated.
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
        """Do nothing, since the loop starts with the first deferred settlement."""

    async def stop(self) -> None:
        """Retry the waiting settlements until one fails, and drop the rest."""
        if self._loop is not None:
            self._loop.cancel()
        await self._retry_waiting()
        for settlement in self._waiting.values():
            self._report_dropped(settlement, "the instance is stopping")
        self._waiting.clear()

    async def settle(
        self,
        handle: ClaimHandle,
        claim: Claim,
        expected: Version | None,
        timeout: timedelta,
    ) -> None:
        """Settle a claim, or defer it if the store does not confirm it in time.

        :param claim: the claim in its final state.
        :param expected: version to replace; none if it must be read first.
        :param timeout: maximum time to wait for the store.
        """
        now = self._node.clock.monotonic()
        settlement = Settlement(handle, claim, expected, now)
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
        self, handle: ClaimHandle, claim: Claim, expected: Version | None
    ) -> None:
        """Settle the claim of an interrupted call in the background.

        :param expected: version to replace; none if it must be read first.
        """
        now = self._node.clock.monotonic()
        self._defer(
            Settlement(handle, claim, expected, now, "the call was interrupted")
        )

    def _defer(self, settlement: Settlement) -> None:
        claim = settlement.claim
        self._waiting[claim.attempt] = settlement
        self._node.sink.emit(
            ClaimSettleDeferred(claim.attempt, claim.state.value, settlement.detail)
        )
        self._enforce_limits()
        if self._loop is None:
            self._loop = Deferred.fromCoroutine(self._retry_loop())
            self._loop.addErrback(_ignore_cancelled)

    def _enforce_limits(self) -> None:
        while (
            len(self._waiting) > MAX_WAITING_SETTLEMENTS
            or self._body_bytes() > MAX_WAITING_BODY_BYTES
        ):
            _, oldest = self._waiting.popitem(last=False)
            self._report_dropped(oldest, "too many settlements wait for the store")

    def _body_bytes(self) -> int:
        return sum(item.body_bytes for item in self._waiting.values())

    def _report_dropped(self, settlement: Settlement, detail: str) -> None:
        claim = settlement.claim
        self._node.sink.emit(
            ClaimSettleDropped(claim.attempt, claim.state.value, detail)
        )

    async def _retry_loop(self) -> None:
        try:
            while self._waiting:
                await deferLater(self._node.reactor, self._delay().total_seconds())
                await self._retry_waiting()
        finally:
            self._loop = None

    def _delay(self) -> timedelta:
        growth: int = 2 ** min(self._failures, MAX_JITTER_DOUBLINGS)
        jitter_range = min(MIN_RETRY_DELAY * growth, MAX_RETRY_JITTER)
        return MIN_RETRY_DELAY + jitter_range * self._node.random.random()

    async def _retry_waiting(self) -> None:
        for attempt in tuple(self._waiting):
            settlement = self._waiting.get(attempt)
            if settlement is None:
                continue
            if await self._attempt(settlement, STORE_TIMEOUT):
                self._waiting.pop(attempt, None)
                self._failures = 0
            else:
                self._failures += 1
                return

    async def _attempt(self, settlement: Settlement, timeout: timedelta) -> bool:
        """Try to store a settlement.

        :return: whether the settlement is finished.
        """
        if settlement.expected is None and not await self._read_version(
            settlement, timeout
        ):
            return False
        if settlement.expected is None:
            return True
        outcome = await settlement.handle.write(
            settlement.claim, settlement.expected, timeout
        )
        if isinstance(outcome, ClaimWritten):
            claim = settlement.claim
            self._node.sink.emit(ClaimSettled(claim.attempt, claim.state.value))
            return True
        if isinstance(outcome, ClaimFound):
            return not self._set_expected_version(settlement, outcome)
        if isinstance(outcome, ClaimWriteLost | ClaimStoreFailed):
            settlement.detail = outcome.detail
        # The write may have taken effect, so that the next attempt reads the
        # claim first.
        settlement.expected = None
        return isinstance(outcome, ClaimMissing | ClaimUnreadable)

    async def _read_version(self, settlement: Settlement, timeout: timedelta) -> bool:
        """Read the version to replace.

        :return: whether the answer of the store is final; without a version
            there is nothing to settle.
        """
        found = await settlement.handle.read(timeout)
        if isinstance(found, ClaimFound):
            self._set_expected_version(settlement, found)
            return True
        if isinstance(found, ClaimStoreFailed):
            settlement.detail = found.detail
            return False
        age = self._node.clock.monotonic() - settlement.created_at
        settlement.detail = "the claim was not found"
        return isinstance(found, ClaimUnreadable) or age > LATE_WRITE_WINDOW

    def _set_expected_version(self, settlement: Settlement, found: ClaimFound) -> bool:
        """Set the expected version if the attempt still holds the claim.

        :return: whether the attempt still holds it.
        """
        held = found.claim.state is ClaimState.HELD
        own = found.claim.is_same_attempt(settlement.claim)
        settlement.expected = found.version if held and own else None
        return held and own


def _ignore_cancelled(failure: TwistedFailure) -> None:
    failure.trap(CancelledError)  # type: ignore[no-untyped-call]
