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
    """The store holds a claim that cannot be decoded."""

    detail: str


@final
@dataclass(frozen=True, slots=True)
class ClaimMissing:
    """The store holds no claim for the key."""


@final
@dataclass(frozen=True, slots=True)
class ClaimWritten:
    """The attempt's own claim was written."""

    version: Version


@final
@dataclass(frozen=True, slots=True)
class ClaimConflict:
    """The write conflicted with another claim, which has not been read yet."""


@final
@dataclass(frozen=True, slots=True)
class ClaimWriteLost:
    """The outcome of the write is unknown; it may still take effect."""

    detail: str


@final
@dataclass(frozen=True, slots=True)
class ClaimStoreFailed:
    """The store call failed without any effect."""

    detail: str


@final
@dataclass(frozen=True, slots=True)
class ClaimWaited:
    """The delay of a :class:`WaitForClaim` is over."""


@final
@dataclass(frozen=True, slots=True)
class DispatchEnded:
    """The later stages have returned and send nothing more upstream."""

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
    """Wait for a delay, then continue with :class:`ClaimWaited`."""

    delay: timedelta


@final
@dataclass(frozen=True, slots=True)
class DispatchCall:
    """Pass the request to the later stages without delay."""


@final
@dataclass(frozen=True, slots=True)
class FinishCall:
    """Answer the caller.

    :param settle: final state of the attempt's claim, to be written before the
        answer; none if there is nothing to write.
    :param expected: version of the claim to replace; none if it is unknown
        whether the claim was written.
    """

    result: CallResult
    settle: Claim | None = None
    expected: Version | None = None


ClaimCommand = ReadClaim | WriteClaim | WaitForClaim | DispatchCall | FinishCall
