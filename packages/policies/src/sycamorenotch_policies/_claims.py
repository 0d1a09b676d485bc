"""Claims on idempotency keys, independent of their encoding."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import replace
from datetime import datetime
from datetime import timedelta
from enum import Enum
from enum import unique
from typing import final

from sycamorenotch_kernel import AttemptId
from sycamorenotch_kernel import CallAnswer
from sycamorenotch_kernel import Headers

BODY_LIMIT_BYTES = 128 * 1024
LENGTH_PREFIX_BYTES = 8


@final
@unique
class ClaimState(Enum):
    """State of the attempt that holds a claim."""

    HELD = "held"
    DONE = "done"
    UNKNOWN = "unknown"
    RELEASED = "released"


@final
@dataclass(frozen=True, slots=True)
class RecordedAnswer:
    """Recorded answer, returned to repeated requests with the same key.

    :param body: none if the body is larger than :data:`BODY_LIMIT_BYTES`.
    :param digest: SHA-256 of the body, in hexadecimal.
    :param size: length of the body in bytes.
    """

    status: int
    headers: Headers
    body: bytes | None
    digest: str
    size: int


@final
@dataclass(frozen=True, slots=True)
class Claim:
    """Exclusive right of one attempt to run the request of an idempotency key.

    :param fingerprint: digest of the request.
    :param attempt: unique identifier of the attempt that wrote the claim.
    :param instance: instance that runs the attempt.
    :param state: state of the attempt.
    :param created: wall clock time of the first write by this attempt.
    :param due: wall clock deadline of the attempt.
    :param expires: wall clock time after which the claim may be deleted.
    :param answer: the recorded answer, for :attr:`ClaimState.DONE`.
    """

    fingerprint: str
    attempt: AttemptId
    instance: str
    state: ClaimState
    created: datetime
    due: datetime
    expires: datetime
    answer: RecordedAnswer | None = None

    def is_same_attempt(self, other: Claim) -> bool:
        """Return whether one attempt wrote both claims.

        The identifier is random. Comparing the instance and the time as well
        tells two attempts apart even if their random generators have the same
        state.
        """
        return (self.attempt, self.instance, self.created) == (
            other.attempt,
            other.instance,
            other.created,
        )

    def done(self, answer: CallAnswer) -> Claim:
        """Return the claim of an answered attempt, with the recorded answer."""
        return replace(self, state=ClaimState.DONE, answer=record_answer(answer))

    def unknown(self) -> Claim:
        """Return the claim of an attempt with an unknown outcome."""
        return replace(self, state=ClaimState.UNKNOWN)

    def released(self) -> Claim:
        """Return the claim of an attempt that did not run and never will."""
        return replace(self, state=ClaimState.RELEASED)


@final
@dataclass(frozen=True, slots=True)
class ClaimRequest:
    """A request to be run under an idempotency key.

    :param fingerprint: digest of the request.
    :param attempt: unique identifier of the attempt.
    :param instance: instance that runs the attempt.
    :param deadline: monotonic time.
    :param lifetime: how long the claim is kept after the deadline.
    :param earlier_may_have_run: whether this instance knows of an earlier attempt
        for the key that may have run.
    """

    fingerprint: str
    attempt: AttemptId
    instance: str
    deadline: timedelta
    lifetime: timedelta
    earlier_may_have_run: bool = False


@final
@dataclass(frozen=True, slots=True)
class ClockReading:
    """Reading of both clocks at one time.

    :param monotonic: for deadlines on this instance.
    :param wall: for times that other instances read.
    """

    monotonic: timedelta
    wall: datetime


def fingerprint(method: str, path: str, body: bytes) -> str:
    """Return a digest that detects the reuse of a key for another request."""
    return _digest((method.encode(), path.encode("utf-8", "surrogateescape"), body))


def record_answer(answer: CallAnswer) -> RecordedAnswer:
    """Return an answer in the form that is stored with a claim."""
    size = len(answer.body)
    return RecordedAnswer(
        status=answer.status,
        headers=answer.headers,
        body=answer.body if size <= BODY_LIMIT_BYTES else None,
        digest=hashlib.sha256(answer.body).hexdigest(),
        size=size,
    )


def _digest(parts: Iterable[bytes]) -> str:
    # The length prefixes keep different requests from having the same input.
    digest = hashlib.sha256()
    for part in parts:
        digest.update(len(part).to_bytes(LENGTH_PREFIX_BYTES, "big"))
        digest.update(part)
    return digest.hexdigest()
