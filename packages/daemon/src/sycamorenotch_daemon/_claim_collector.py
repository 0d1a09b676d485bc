"""Removes expired claims from the store, a few at a time."""

from __future__ import annotations

from datetime import timedelta
from itertools import islice
from typing import ClassVar
from typing import final

from sycamorenotch_daemon._background import make_periodic_task
from sycamorenotch_daemon._claim_codec import SHARD_COUNT
from sycamorenotch_daemon._claim_codec import claim_kind
from sycamorenotch_daemon._claim_codec import decode_claim
from sycamorenotch_daemon._claim_events import ClaimsCollected
from sycamorenotch_daemon._lease import PlanLease
from sycamorenotch_daemon._node import Node
from sycamorenotch_kernel import StoredObject
from sycamorenotch_kernel import components
from sycamorenotch_policies import Claim
from sycamorenotch_policies import ClaimExpiry

RUN_INTERVAL = timedelta(seconds=5)
STORE_TIMEOUT = timedelta(seconds=2)
MAX_REMOVALS_PER_RUN = 10


@components.register("claim-collector")
@final
class ClaimCollector:
    """Collects expired claims, one shard in each run, at the lease holder.

    Two holders at the same time are harmless, because a claim is only removed
    if its version matches.
    """

    after: ClassVar[tuple[str, ...]] = ("lease",)

    def __init__(self, node: Node) -> None:
        self._node = node
        self._lease = node.require(PlanLease)
        self._expiry = ClaimExpiry(node.settings.instance)
        self._loop = make_periodic_task(node.reactor, node.sink, self._turn)
        # A random shard, so that a new holder does not start where every
        # earlier one started.
        self._shard = node.random.randrange(SHARD_COUNT)

    async def start(self) -> None:
        """Start to collect expired claims periodically."""
        self._loop.start(RUN_INTERVAL)

    async def stop(self) -> None:
        """Stop collecting."""
        self._loop.stop()

    async def _turn(self) -> timedelta:
        if self._lease.is_held():
            await self._collect(claim_kind(self._shard))
        return RUN_INTERVAL * (0.8 + 0.4 * self._node.random.random())

    async def _collect(self, kind: str) -> None:
        listed = await self._node.store.list(kind, STORE_TIMEOUT)
        if listed.is_error():
            return
        decoded = [(stored, decode_claim(stored.value)) for stored in listed.ok]
        claims = [(stored, item.ok) for stored, item in decoded if item.is_ok()]
        self._expiry.observe(claim for _, claim in claims)
        removed = 0
        for stored in islice(self._expired(claims), MAX_REMOVALS_PER_RUN):
            deleted = await self._node.store.delete(
                kind, stored.name, stored.version, STORE_TIMEOUT
            )
            if deleted.is_error():
                return
            removed += 1
        if removed:
            self._node.sink.emit(ClaimsCollected(kind, len(listed.ok), removed))
        if removed < MAX_REMOVALS_PER_RUN:
            self._shard = (self._shard + 1) % SHARD_COUNT

    def _expired(self, claims: list[tuple[StoredObject, Claim]]) -> list[StoredObject]:
        now = self._node.clock.now()
        return [stored for stored, item in claims if self._expiry.is_expired(item, now)]
