"""Handlers of the claim protocol, one for each kind of input."""

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
from sycamorenotch_policies._claims import ClockReading

MAX_FAILURES = 3
INITIAL_POLL_DELAY = timedelta(milliseconds=50)
MAX_POLL_DELAY = timedelta(seconds=1)
MAX_DOUBLINGS = 10
# Time that is kept before the deadline to answer the caller.
ANSWER_MARGIN = timedelta(milliseconds=50)
# Allowed skew between the wall clocks of two instances.
CLOCK_TOLERANCE = timedelta(seconds=1)
HELD_RETRY_AFTER = timedelta(seconds=1)
STORE_RETRY_AFTER = timedelta(seconds=1)


@claim_steps.register("written")
def written(
    protocol: ClaimProtocol, event: ClaimWritten, now: ClockReading
) -> ClaimCommand:
    """Dispatch the request after the attempt's claim was written."""
    protocol.lifecycle.hold_claim()
    protocol.version = event.version
    return _dispatch(protocol, now)


@claim_steps.register("found-own")
def found_own(
    protocol: ClaimProtocol, event: ClaimFound, now: ClockReading
) -> ClaimCommand:
    """Dispatch the request after reading back a write with an unknown outcome."""
    protocol.lifecycle.hold_claim()
    protocol.version = event.version
    return _dispatch(protocol, now)


@claim_steps.register("found-other-request")
def found_other_request(
    protocol: ClaimProtocol, event: ClaimFound, now: ClockReading
) -> ClaimCommand:
    """Refuse a key that was used for another request."""
    _reject_write(protocol)
    detail = "the key was used with another method, path or body"
    return protocol.refuse(ErrorKind.KEY_REUSED, detail, Ran.NO)


@claim_steps.register("found-held")
def found_held(
    protocol: ClaimProtocol, event: ClaimFound, now: ClockReading
) -> ClaimCommand:
    """Wait for the outcome of another attempt while both deadlines allow it."""
    _reject_write(protocol)
    protocol.record.other_may_have_run = True
    if now.wall > event.claim.due + CLOCK_TOLERANCE:
        return _refuse_held(protocol, event, None)
    delay = _poll_delay(protocol)
    if protocol.remaining(now) - ANSWER_MARGIN <= delay:
        return _refuse_held(protocol, event, HELD_RETRY_AFTER)
    protocol.waits += 1
    return WaitForClaim(delay)


@claim_steps.register("found-unknown")
def found_unknown(
    protocol: ClaimProtocol, event: ClaimFound, now: ClockReading
) -> ClaimCommand:
    """Refuse to repeat an attempt with an unknown outcome."""
    _reject_write(protocol)
    return _refuse_held(protocol, event, None)


@claim_steps.register("found-done")
def found_done(
    protocol: ClaimProtocol, event: ClaimFound, now: ClockReading
) -> ClaimCommand:
    """Return the recorded answer of an earlier attempt."""
    _reject_write(protocol)
    answer = event.claim.answer
    if answer is None or answer.body is None:
        size = 0 if answer is None else answer.size
        digest = "" if answer is None else answer.digest
        detail = f"the answer of {size} bytes was too large to record; SHA-256 {digest}"
        return protocol.refuse(ErrorKind.CLAIM_HELD, detail, Ran.YES)
    protocol.lifecycle.close()
    return FinishCall(Ok(CallAnswer(answer.status, answer.headers, answer.body)))


@claim_steps.register("found-released")
def found_released(
    protocol: ClaimProtocol, event: ClaimFound, now: ClockReading
) -> ClaimCommand:
    """Replace the claim of an attempt that did not run."""
    protocol.record.other_may_have_run = False
    return protocol.write(event.version, now)


@claim_steps.register("unreadable")
def unreadable(
    protocol: ClaimProtocol, event: ClaimUnreadable, now: ClockReading
) -> ClaimCommand:
    """Refuse a key whose claim cannot be decoded."""
    _reject_write(protocol)
    return protocol.refuse(ErrorKind.CLAIM_HELD, event.detail, Ran.UNKNOWN)


@claim_steps.register("missing")
def missing(
    protocol: ClaimProtocol, event: ClaimMissing, now: ClockReading
) -> ClaimCommand:
    """Create the claim; a repeated write keeps the attempt identifier."""
    return protocol.write(None, now)


@claim_steps.register("conflict")
def conflict(
    protocol: ClaimProtocol, event: ClaimConflict, now: ClockReading
) -> ClaimCommand:
    """Read the claim that won the conflict."""
    return ReadClaim()


@claim_steps.register("write-lost")
def write_lost(
    protocol: ClaimProtocol, event: ClaimWriteLost, now: ClockReading
) -> ClaimCommand:
    """Read back a write with an unknown outcome."""
    protocol.lifecycle.mark_write_unknown()
    return _retry_store(protocol, event.detail, now)


@claim_steps.register("store-failed")
def store_failed(
    protocol: ClaimProtocol, event: ClaimStoreFailed, now: ClockReading
) -> ClaimCommand:
    """Retry the store a few times, then refuse the request."""
    return _retry_store(protocol, event.detail, now)


@claim_steps.register("waited")
def waited(
    protocol: ClaimProtocol, event: ClaimWaited, now: ClockReading
) -> ClaimCommand:
    """Read the claim after a delay."""
    return ReadClaim()


@claim_steps.register("dispatch-ended")
def dispatch_ended(
    protocol: ClaimProtocol, event: DispatchEnded, now: ClockReading
) -> ClaimCommand:
    """Record the outcome, or release the claim if the request did not run."""
    assert protocol.claim is not None
    result = event.result
    if result.is_ok():
        protocol.lifecycle.end()
        protocol.lifecycle.close()
        return FinishCall(result, protocol.claim.done(result.ok), protocol.version)
    if _did_not_run(result.error):
        protocol.lifecycle.mark_not_run()
        protocol.lifecycle.close()
        return FinishCall(result, protocol.claim.released(), protocol.version)
    protocol.lifecycle.end()
    protocol.lifecycle.close()
    failure = result.error
    unknown = Failure(failure.kind, failure.detail, Ran.UNKNOWN, failure.retry_after)
    return FinishCall(Error(unknown), protocol.claim.unknown(), protocol.version)


def _did_not_run(failure: Failure) -> bool:
    # A violated invariant does not show whether the request ran, so only an explicit
    # statement counts.
    if failure.kind is ErrorKind.INVARIANT:
        return failure.ran is Ran.NO
    return failure.stated_ran is Ran.NO


def _dispatch(protocol: ClaimProtocol, now: ClockReading) -> ClaimCommand:
    # The process may have been suspended since the write was sent.
    if protocol.remaining(now) <= timedelta():
        detail = "the deadline passed before the request was sent"
        return protocol.refuse(ErrorKind.DEADLINE_PASSED, detail)
    protocol.lifecycle.dispatch()
    return DispatchCall()


def _reject_write(protocol: ClaimProtocol) -> None:
    # A conditional write that conflicts with another claim cannot take effect
    # later, because no claim is deleted within its lifetime.
    protocol.lifecycle.reject_write()


def _refuse_held(
    protocol: ClaimProtocol, event: ClaimFound, retry_after: timedelta | None
) -> ClaimCommand:
    detail = f"attempt {event.claim.attempt} of {event.claim.instance} holds the claim"
    return protocol.refuse(ErrorKind.CLAIM_HELD, detail, Ran.UNKNOWN, retry_after)


def _retry_store(
    protocol: ClaimProtocol, detail: str, now: ClockReading
) -> ClaimCommand:
    protocol.failures += 1
    delay = _poll_delay(protocol)
    if protocol.failures > MAX_FAILURES or protocol.remaining(now) <= delay:
        return protocol.refuse(
            ErrorKind.STORE_UNAVAILABLE, detail, retry_after=STORE_RETRY_AFTER
        )
    return WaitForClaim(delay)


def _poll_delay(protocol: ClaimProtocol) -> timedelta:
    doublings = protocol.waits + protocol.failures
    growth: int = 2 ** min(doublings, MAX_DOUBLINGS)
    max_delay = min(INITIAL_POLL_DELAY * growth, MAX_POLL_DELAY)
    return max_delay * (0.5 + 0.5 * protocol.random.random())
