"""Events of claims on idempotency keys."""

from __future__ import annotations

from dataclasses import dataclass
from typing import final

from sycamorenotch_kernel import Event
from sycamorenotch_kernel import Severity
from sycamorenotch_kernel import event


@event(3501, "claim.held")
@final
@dataclass(frozen=True, slots=True)
class ClaimHeld(Event):
    """An attempt holds the claim for its key, and its request is dispatched."""

    decision: str
    attempt: str


@event(3502, "claim.settled")
@final
@dataclass(frozen=True, slots=True)
class ClaimSettled(Event):
    """The outcome of an attempt was recorded, or its claim was released."""

    attempt: str
    state: str


@event(3503, "claim.answered")
@final
@dataclass(frozen=True, slots=True)
class ClaimAnswered(Event):
    """A request was answered from a claim or refused without being dispatched."""

    decision: str
    outcome: str


@event(3504, "claim.settle-deferred", Severity.WARNING)
@final
@dataclass(frozen=True, slots=True)
class ClaimSettleDeferred(Event):
    """The store did not confirm the final state of a claim; the write is retried.

    Until it succeeds, a repeat of the request is answered with ``ran: unknown``.
    """

    attempt: str
    state: str
    detail: str


@event(3505, "claim.settle-dropped", Severity.ERROR)
@final
@dataclass(frozen=True, slots=True)
class ClaimSettleDropped(Event):
    """The final state of a claim was never recorded.

    A repeat of the request is answered with ``ran: unknown`` for the lifetime
    of the key; an operator must check at the upstream whether it ran.
    """

    attempt: str
    state: str
    detail: str


@event(3506, "claim.unreadable", Severity.ERROR)
@final
@dataclass(frozen=True, slots=True)
class ClaimUnreadableFound(Event):
    """A stored claim is invalid; requests with its key are refused."""

    decision: str
    detail: str


@event(3507, "claim.collected")
@final
@dataclass(frozen=True, slots=True)
class ClaimsCollected(Event):
    """Expired claims were removed from one shard."""

    kind: str
    found: int
    removed: int
