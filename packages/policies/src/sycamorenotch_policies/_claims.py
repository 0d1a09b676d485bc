"""Claims of idempotency keys, independent of their encoding."""

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
LENGTH_BYTES = 8


@final
@unique
class ClaimState(Enum):
    """What is known about the attempt that holds a claim."""

    HELD = "held"
    DONE = "done"
    UNKNOWN = "unknown"
    RELEASED = "released"


@final
@dataclass(frozen=True, slots=True)
class RecordedAnswer:
    """The answer that a repeated request is given.

    :param body: none if the body was larger than the limit.
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
    """The right of one attempt to run the request of an idempotency key.

    :param fingerprint: digest of the request.
    :param attempt: unique identifier of the attempt that wrote the claim.
    :param instance: instance that runs the attempt.
    :param created: wall clock time of the first write by this attempt.
    :param due: wall clock time after which no answer of the attempt is awaited.
    :param expires: wall clock time after which the claim may be collected.
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

    def has_attempt_of(self, other: Claim) -> bool:
        """Return whether one attempt wrote both claims.

        The identifier is drawn at random; instance and time keep two attempts
        apart even when their random sources stand alike.
        """
        return (self.attempt, self.instance, self.created) == (
            other.attempt,
            other.instance,
            other.created,
        )

    def done(self, answer: CallAnswer) -> Claim:
        """Return the claim with the outcome of its attempt."""
        return replace(self, state=ClaimState.DONE, answer=record_answer(answer))

    def unknown(self) -> Claim:
        """Return the claim of an attempt that may have run."""
        return replace(self, state=ClaimState.UNKNOWN)

    def released(self) -> Claim:
        """Return the claim of an attempt that did not run and never will."""
        return replace(self, state=ClaimState.RELEASED)


@final
@dataclass(frozen=True, slots=True)
class ClaimRequest:
    """The request that an attempt wants to run.

    :param deadline: moment on the monotonic clock.
    :param lifetime: how long the key is remembered.
    :param seen: whether this instance knows of an earlier attempt for the key
        that may have run.
    """

    fingerprint: str
    attempt: AttemptId
    instance: str
    deadline: timedelta
    lifetime: timedelta
    seen: bool = False


@final
@dataclass(frozen=True, slots=True)
class Moment:
    """One reading of both clocks.

    :param monotonic: for deadlines of this instance.
    :param wall: for dates that other instances read.
    """

    monotonic: timedelta
    wall: datetime


def fingerprint(method: str, path: str, body: bytes) -> str:
    """Return the digest that tells two requests with one key apart."""
    return _digest((method.encode(), path.encode("utf-8", "surrogateescape"), body))


def record_answer(answer: CallAnswer) -> RecordedAnswer:
    """Return the form of an answer that is kept with a claim."""
    size = len(answer.body)
    return RecordedAnswer(
        status=answer.status,
        headers=answer.headers,
        body=answer.body if size <= BODY_LIMIT_BYTES else None,
        digest=hashlib.sha256(answer.body).hexdigest(),
        size=size,
    )


def _digest(parts: Iterable[bytes]) -> str:
    # A length before each part keeps different requests from one digest.
    digest = hashlib.sha256()
    for part in parts:
        digest.update(len(part).to_bytes(LENGTH_BYTES, "big"))
        digest.update(part)
    return digest.hexdigest()
