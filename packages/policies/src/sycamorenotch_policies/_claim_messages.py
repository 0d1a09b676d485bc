"""Inputs and commands of the claim protocol."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from typing import final

from sycamorenotch_kernel import CallResult
from sycamorenotch_kernel import Version
from sycamorenotch_policies._claims import Claim


@final
@dataclass(frozen=True, slots=True)
class ClaimFound:
    """The store holds a claim for the key."""

    claim: Claim
    version: Version


@final
@dataclass(frozen=True, slots=True)
class ClaimUnreadable:
    """The store holds a claim that this program cannot decode."""

    detail: str


@final
@dataclass(frozen=True, slots=True)
class ClaimMissing:
    """The store holds no claim for the key."""


@final
@dataclass(frozen=True, slots=True)
class ClaimWritten:
    """The write of the attempt's own claim took effect."""

    version: Version


@final
@dataclass(frozen=True, slots=True)
class ClaimConflict:
    """The write did not take effect, and the winner is not known yet."""


@final
@dataclass(frozen=True, slots=True)
class ClaimWriteLost:
    """The write may have taken effect, now or later."""

    detail: str


@final
@dataclass(frozen=True, slots=True)
class ClaimStoreFailed:
    """The store call did not take effect."""

    detail: str


@final
@dataclass(frozen=True, slots=True)
class ClaimWaited:
    """The delay of a :class:`WaitForClaim` is over."""


@final
@dataclass(frozen=True, slots=True)
class DispatchEnded:
    """The later stages have returned and will send nothing more."""

    result: CallResult


ClaimInput = (
    ClaimFound
    | ClaimUnreadable
    | ClaimMissing
    | ClaimWritten
    | ClaimConflict
    | ClaimWriteLost
    | ClaimStoreFailed
    | ClaimWaited
    | DispatchEnded
)


@final
@dataclass(frozen=True, slots=True)
class ReadClaim:
    """Read the claim of the key."""


@final
@dataclass(frozen=True, slots=True)
class WriteClaim:
    """Write the attempt's own claim.

    :param expected: version of the claim to replace; none to create it.
    """

    claim: Claim
    expected: Version | None


@final
@dataclass(frozen=True, slots=True)
class WaitForClaim:
    """Wait before the next step."""

    delay: timedelta


@final
@dataclass(frozen=True, slots=True)
class DispatchCall:
    """Hand the request to the later stages, at once."""


@final
@dataclass(frozen=True, slots=True)
class FinishCall:
    """Answer the caller.

    :param settle: last state of the attempt's claim, to be written first.
    :param expected: version of the claim to replace; none if it is not known
        whether the claim was written.
    """

    result: CallResult
    settle: Claim | None = None
    expected: Version | None = None


ClaimCommand = ReadClaim | WriteClaim | WaitForClaim | DispatchCall | FinishCall
