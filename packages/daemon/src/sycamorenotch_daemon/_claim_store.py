"""Reads and writes a claim and converts store results for the protocol."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from typing import final

from expression import Result

from sycamorenotch_daemon._claim_codec import claim_location
from sycamorenotch_daemon._claim_codec import decode_claim
from sycamorenotch_daemon._claim_codec import encode_claim
from sycamorenotch_kernel import Store
from sycamorenotch_kernel import StoredObject
from sycamorenotch_kernel import StoreError
from sycamorenotch_kernel import StoreFault
from sycamorenotch_kernel import Version
from sycamorenotch_policies import Claim
from sycamorenotch_policies import ClaimConflict
from sycamorenotch_policies import ClaimFound
from sycamorenotch_policies import ClaimMissing
from sycamorenotch_policies import ClaimStoreFailed
from sycamorenotch_policies import ClaimUnreadable
from sycamorenotch_policies import ClaimWriteLost
from sycamorenotch_policies import ClaimWritten

ReadOutcome = ClaimFound | ClaimMissing | ClaimUnreadable | ClaimStoreFailed
WriteOutcome = ClaimWritten | ClaimConflict | ClaimWriteLost | ReadOutcome


@final
@dataclass(frozen=True, slots=True)
class ClaimHandle:
    """Handle of one claim in the store.

    :param kind: object kind of the claim's shard.
    :param name: object name of the claim.
    """

    store: Store
    kind: str
    name: str

    async def read(self, timeout: timedelta) -> ReadOutcome:
        """Read and decode the claim.

        :return: the claim, or the reason why it could not be read.
        """
        found = await self.store.get(self.kind, self.name, timeout)
        if found.is_ok():
            return _decode_stored(found.ok)
        if found.error.fault is StoreFault.NOT_FOUND:
            return ClaimMissing()
        return ClaimStoreFailed(_describe(found.error))

    async def write(
        self, claim: Claim, expected: Version | None, timeout: timedelta
    ) -> WriteOutcome:
        """Create the claim, or replace it if its version matches.

        :param expected: version to replace; none to create the claim.
        """
        value = encode_claim(claim)
        if expected is None:
            created = await self.store.create(self.kind, self.name, value, timeout)
            return _convert_write(created)
        return _convert_write(
            await self.store.update(self.kind, self.name, value, expected, timeout)
        )


def claim_handle(store: Store, service: str, key: str) -> ClaimHandle:
    """Return the handle of the claim for a key of a service."""
    return ClaimHandle(store, *claim_location(service, key))


def _decode_stored(stored: StoredObject) -> ClaimFound | ClaimUnreadable:
    decoded = decode_claim(stored.value)
    if decoded.is_error():
        return ClaimUnreadable(decoded.error)
    return ClaimFound(decoded.ok, stored.version)


def _convert_write(result: Result[StoredObject, StoreError]) -> WriteOutcome:
    if result.is_ok():
        return ClaimWritten(result.ok.version)
    error = result.error
    if error.fault is StoreFault.CONFLICT:
        return (
            ClaimConflict() if error.current is None else _decode_stored(error.current)
        )
    if error.fault is StoreFault.NOT_FOUND:
        return ClaimMissing()
    if error.fault is StoreFault.UNKNOWN:
        return ClaimWriteLost(_describe(error))
    return ClaimStoreFailed(_describe(error))


def _describe(error: StoreError) -> str:
    return f"{error.fault.value}: {error.detail}"
