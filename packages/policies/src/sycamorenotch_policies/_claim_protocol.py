"""Claim protocol as a state machine without I/O: typed inputs, typed commands."""

from __future__ import annotations

from datetime import timedelta
from random import Random
from typing import Protocol
from typing import final

from expression import Error

from sycamorenotch_kernel import ErrorKind
from sycamorenotch_kernel import Failure
from sycamorenotch_kernel import Ran
from sycamorenotch_kernel import Version
from sycamorenotch_kernel import claim_steps
from sycamorenotch_policies._claim_lifecycle import AttemptRecord
from sycamorenotch_policies._claim_lifecycle import new_lifecycle
from sycamorenotch_policies._claim_messages import ClaimCommand
from sycamorenotch_policies._claim_messages import ClaimConflict
from sycamorenotch_policies._claim_messages import ClaimFound
from sycamorenotch_policies._claim_messages import ClaimInput
from sycamorenotch_policies._claim_messages import ClaimMissing
from sycamorenotch_policies._claim_messages import ClaimStoreFailed
from sycamorenotch_policies._claim_messages import ClaimUnreadable
from sycamorenotch_policies._claim_messages import ClaimWaited
from sycamorenotch_policies._claim_messages import ClaimWriteLost
from sycamorenotch_policies._claim_messages import ClaimWritten
from sycamorenotch_policies._claim_messages import DispatchEnded
from sycamorenotch_policies._claim_messages import FinishCall
from sycamorenotch_policies._claim_messages import WriteClaim
from sycamorenotch_policies._claims import Claim
from sycamorenotch_policies._claims import ClaimRequest
from sycamorenotch_policies._claims import ClaimState
from sycamorenotch_policies._claims import ClockReading

STEP_NAMES: dict[type, str] = {
    ClaimUnreadable: "unreadable",
    ClaimMissing: "missing",
    ClaimWritten: "written",
    ClaimConflict: "conflict",
    ClaimWriteLost: "write-lost",
    ClaimStoreFailed: "store-failed",
    ClaimWaited: "waited",
    DispatchEnded: "dispatch-ended",
}


class ClaimStep(Protocol):
    """Handler of one kind of input."""

    def __call__(
        self, protocol: ClaimProtocol, event: ClaimInput, now: ClockReading
    ) -> ClaimCommand:
        """Return the next command."""
        ...


@final
class ClaimProtocol:
    """One attempt to run a request at most once.

    :param request: the request to run under an idempotency key.
    :param random: source of jitter.
    """

    def __init__(self, request: ClaimRequest, random: Random) -> None:
        self.request = request
        self.random = random
        self.record = AttemptRecord(other_may_have_run=request.earlier_may_have_run)
        self.lifecycle = new_lifecycle(self.record)
        self.claim: Claim | None = None
        self.version: Version | None = None
        self.failures = 0
        self.waits = 0

    def start(self, now: ClockReading) -> ClaimCommand:
        """Return the first command."""
        return self.write(None, now)

    def feed(self, event: ClaimInput, now: ClockReading) -> ClaimCommand:
        """Return the command that follows an input."""
        step: ClaimStep = claim_steps.get(self._step_name(event))
        return step(self, event, now)

    def remaining(self, now: ClockReading) -> timedelta:
        """Return the time until the deadline; not positive if it has passed."""
        return self.request.deadline - now.monotonic

    def write(self, expected: Version | None, now: ClockReading) -> ClaimCommand:
        """Return the command that writes the attempt's claim.

        :param expected: version of the claim to replace; none to create it.
        """
        if self.remaining(now) <= timedelta():
            return self.refuse(
                ErrorKind.DEADLINE_PASSED,
                "the deadline passed before the key was claimed",
            )
        if self.claim is None:
            self.claim = self._new_claim(now)
        self.lifecycle.write()
        return WriteClaim(self.claim, expected)

    def refuse(
        self,
        kind: ErrorKind,
        detail: str,
        ran: Ran | None = None,
        retry_after: timedelta | None = None,
    ) -> FinishCall:
        """Return the command that refuses a request that was not dispatched.

        A claim that may have been written is released, so that a later attempt
        does not have to assume that the request ran. While another attempt may
        have run, a refusal does not state that the request did not run.

        :param ran: none to derive it from the record of the attempt.
        """
        self.lifecycle.close()
        if ran is None:
            ran = Ran.UNKNOWN if self.record.other_may_have_run else Ran.NO
        settle = self.claim if self.record.may_be_written else None
        return FinishCall(
            Error(Failure(kind, detail, ran, retry_after)),
            None if settle is None else settle.released(),
            self.version,
        )

    def abandon(self) -> FinishCall | None:
        """Return the command that settles an interrupted attempt.

        :return: none if the caller has already been answered.
        """
        if self.record.closed:
            return None
        kind, ran = ErrorKind.CANCELLED, Ran.NO
        settle = None if self.claim is None else self.claim.released()
        if self.record.may_have_run and self.claim is not None:
            ran, settle = Ran.UNKNOWN, self.claim.unknown()
        failure = Failure(kind, "the attempt was interrupted", ran)
        return FinishCall(Error(failure), settle, self.version)

    def _new_claim(self, now: ClockReading) -> Claim:
        due = now.wall + self.remaining(now)
        return Claim(
            fingerprint=self.request.fingerprint,
            attempt=self.request.attempt,
            instance=self.request.instance,
            state=ClaimState.HELD,
            created=now.wall,
            due=due,
            expires=due + self.request.lifetime,
        )

    def _step_name(self, event: ClaimInput) -> str:
        if not isinstance(event, ClaimFound):
            return STEP_NAMES[type(event)]
        if self.claim is not None and event.claim.is_same_attempt(self.claim):
            return "found-own"
        if event.claim.fingerprint != self.request.fingerprint:
            return "found-other-request"
        return f"found-{event.claim.state.value}"
