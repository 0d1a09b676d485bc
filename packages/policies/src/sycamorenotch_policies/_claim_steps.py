"""What the claim protocol does on each kind of input."""

from __future__ import annotations

from datetime import timedelta

from expression import Error
from expression import Ok

from sycamorenotch_kernel import CallAnswer
from sycamorenotch_kernel import ErrorKind
from sycamorenotch_kernel import Failure
from sycamorenotch_kernel import Ran
from sycamorenotch_kernel import claim_steps
from sycamorenotch_policies._claim_messages import ClaimCommand
from sycamorenotch_policies._claim_messages import ClaimConflict
from sycamorenotch_policies._claim_messages import ClaimFound
from sycamorenotch_policies._claim_messages import ClaimMissing
from sycamorenotch_policies._claim_messages import ClaimStoreFailed
from sycamorenotch_policies._claim_messages import ClaimUnreadable
from sycamorenotch_policies._claim_messages import ClaimWaited
from sycamorenotch_policies._claim_messages import ClaimWriteLost
from sycamorenotch_policies._claim_messages import ClaimWritten
from sycamorenotch_policies._claim_messages import DispatchCall
from sycamorenotch_policies._claim_messages import DispatchEnded
from sycamorenotch_policies._claim_messages import FinishCall
from sycamorenotch_policies._claim_messages import ReadClaim
from sycamorenotch_policies._claim_messages import WaitForClaim
from sycamorenotch_policies._claim_protocol import ClaimProtocol
from sycamorenotch_policies._claims import Moment

MAXIMUM_FAILURES = 3
FIRST_POLL_DELAY = timedelta(milliseconds=50)
MAXIMUM_POLL_DELAY = timedelta(seconds=1)
MAXIMUM_DOUBLINGS = 10
ANSWER_MARGIN = timedelta(milliseconds=50)
CLOCK_TOLERANCE = timedelta(seconds=1)
HELD_RETRY_AFTER = timedelta(seconds=1)
STORE_RETRY_AFTER = timedelta(seconds=1)


@claim_steps.register("written")
def written(protocol: ClaimProtocol, event: ClaimWritten, now: Moment) -> ClaimCommand:
    """Dispatch after the attempt's claim was written."""
    protocol.life.hold()
    protocol.version = event.version
    return _dispatch(protocol, now)


@claim_steps.register("found-own")
def found_own(protocol: ClaimProtocol, event: ClaimFound, now: Moment) -> ClaimCommand:
    """Dispatch after a write whose answer was lost is found in the store."""
    protocol.life.hold()
    protocol.version = event.version
    return _dispatch(protocol, now)


@claim_steps.register("found-other-request")
def found_other_request(
    protocol: ClaimProtocol, event: ClaimFound, now: Moment
) -> ClaimCommand:
    """Refuse a key that belongs to another request."""
    _reject(protocol)
    detail = "the key was used with another method, path or body"
    return protocol.refuse(ErrorKind.KEY_REUSED, detail, Ran.NO)


@claim_steps.register("found-held")
def found_held(protocol: ClaimProtocol, event: ClaimFound, now: Moment) -> ClaimCommand:
    """Wait for the outcome of another attempt, as long as there is hope."""
    _reject(protocol)
    protocol.record.rival = True
    if now.wall > event.claim.due + CLOCK_TOLERANCE:
        return _held_by_other(protocol, event, None)
    delay = _poll_delay(protocol)
    if protocol.remaining(now) - ANSWER_MARGIN <= delay:
        return _held_by_other(protocol, event, HELD_RETRY_AFTER)
    protocol.waits += 1
    return WaitForClaim(delay)


@claim_steps.register("found-unknown")
def found_unknown(
    protocol: ClaimProtocol, event: ClaimFound, now: Moment
) -> ClaimCommand:
    """Refuse a repeat of an attempt that may have run."""
    _reject(protocol)
    return _held_by_other(protocol, event, None)


@claim_steps.register("found-done")
def found_done(protocol: ClaimProtocol, event: ClaimFound, now: Moment) -> ClaimCommand:
    """Give a repeat the recorded answer."""
    _reject(protocol)
    answer = event.claim.answer
    if answer is None or answer.body is None:
        size = 0 if answer is None else answer.size
        digest = "" if answer is None else answer.digest
        detail = f"the answer of {size} bytes was too large to keep; SHA-256 {digest}"
        return protocol.refuse(ErrorKind.CLAIM_HELD, detail, Ran.YES)
    protocol.life.close()
    return FinishCall(Ok(CallAnswer(answer.status, answer.headers, answer.body)))


@claim_steps.register("found-released")
def found_released(
    protocol: ClaimProtocol, event: ClaimFound, now: Moment
) -> ClaimCommand:
    """Replace the claim of an attempt that will never run."""
    protocol.record.rival = False
    return protocol.write(event.version, now)


@claim_steps.register("unreadable")
def unreadable(
    protocol: ClaimProtocol, event: ClaimUnreadable, now: Moment
) -> ClaimCommand:
    """Refuse a key whose claim says nothing that can be trusted."""
    _reject(protocol)
    return protocol.refuse(ErrorKind.CLAIM_HELD, event.detail, Ran.UNKNOWN)


@claim_steps.register("missing")
def missing(protocol: ClaimProtocol, event: ClaimMissing, now: Moment) -> ClaimCommand:
    """Create the claim, again with the same attempt if it was tried before."""
    return protocol.write(None, now)


@claim_steps.register("conflict")
def conflict(
    protocol: ClaimProtocol, event: ClaimConflict, now: Moment
) -> ClaimCommand:
    """Read the claim that won."""
    return ReadClaim()


@claim_steps.register("write-lost")
def write_lost(
    protocol: ClaimProtocol, event: ClaimWriteLost, now: Moment
) -> ClaimCommand:
    """Read back a write whose answer was lost."""
    protocol.life.lose()
    return _after_failure(protocol, event.detail, now)


@claim_steps.register("store-failed")
def store_failed(
    protocol: ClaimProtocol, event: ClaimStoreFailed, now: Moment
) -> ClaimCommand:
    """Try the store again a few times, then refuse."""
    return _after_failure(protocol, event.detail, now)


@claim_steps.register("waited")
def waited(protocol: ClaimProtocol, event: ClaimWaited, now: Moment) -> ClaimCommand:
    """Read the claim after a delay."""
    return ReadClaim()


@claim_steps.register("dispatch-ended")
def dispatch_ended(
    protocol: ClaimProtocol, event: DispatchEnded, now: Moment
) -> ClaimCommand:
    """Record the outcome, or release the claim of a request that did not run."""
    assert protocol.claim is not None
    result = event.result
    if result.is_ok():
        protocol.life.end()
        protocol.life.close()
        return FinishCall(result, protocol.claim.done(result.ok), protocol.version)
    if _did_not_run(result.error):
        protocol.life.rule_out()
        protocol.life.close()
        return FinishCall(result, protocol.claim.released(), protocol.version)
    protocol.life.end()
    protocol.life.close()
    failure = result.error
    unknown = Failure(failure.kind, failure.detail, Ran.UNKNOWN, failure.retry_after)
    return FinishCall(Error(unknown), protocol.claim.unknown(), protocol.version)


def _did_not_run(failure: Failure) -> bool:
    # A violated invariant says nothing about the request unless it is stated.
    if failure.kind is ErrorKind.INVARIANT:
        return failure.ran is Ran.NO
    return failure.stated_ran is Ran.NO


def _dispatch(protocol: ClaimProtocol, now: Moment) -> ClaimCommand:
    # The instance may have been paused since the write was sent.
    if protocol.remaining(now) <= timedelta():
        detail = "the deadline passed before the request was sent"
        return protocol.refuse(ErrorKind.DEADLINE_PASSED, detail)
    protocol.life.dispatch()
    return DispatchCall()


def _reject(protocol: ClaimProtocol) -> None:
    # A conditional write that lost against another claim cannot take effect
    # later, because no claim is removed within its lifetime.
    protocol.life.reject()


def _held_by_other(
    protocol: ClaimProtocol, event: ClaimFound, retry_after: timedelta | None
) -> ClaimCommand:
    detail = f"attempt {event.claim.attempt} of {event.claim.instance} holds the claim"
    return protocol.refuse(ErrorKind.CLAIM_HELD, detail, Ran.UNKNOWN, retry_after)


def _after_failure(protocol: ClaimProtocol, detail: str, now: Moment) -> ClaimCommand:
    protocol.failures += 1
    delay = _poll_delay(protocol)
    if protocol.failures > MAXIMUM_FAILURES or protocol.remaining(now) <= delay:
        return protocol.refuse(
            ErrorKind.STORE_UNAVAILABLE, detail, retry_after=STORE_RETRY_AFTER
        )
    return WaitForClaim(delay)


def _poll_delay(protocol: ClaimProtocol) -> timedelta:
    doublings = protocol.waits + protocol.failures
    growth: int = 2 ** min(doublings, MAXIMUM_DOUBLINGS)
    longest = min(FIRST_POLL_DELAY * growth, MAXIMUM_POLL_DELAY)
    return longest * (0.5 + 0.5 * protocol.random.random())
