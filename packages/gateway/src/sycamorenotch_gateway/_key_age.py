"""Keeps the configuration recent enough for keys, and refuses keys when it is not."""

from __future__ import annotations

from datetime import timedelta
from math import isfinite
from typing import ClassVar
from typing import final

from sycamorenotch_gateway._customer_events import KeysAccepted
from sycamorenotch_gateway._customer_events import KeysRefused
from sycamorenotch_gateway._node import GatewayNode
from sycamorenotch_gateway._routes import Routes
from sycamorenotch_gateway._sources import Sources
from sycamorenotch_kernel import gateway_components
from sycamorenotch_policies.customers import KeyAgeLimits

CHECK_INTERVAL = timedelta(seconds=0.2)
# Each refresh may be a call to the store, which is charged. Spread, so that instances
# that lost the store together do not return together.
REFRESH_INTERVAL_S = (1.0, 1.2)


@gateway_components.register("key-age")
@final
class KeyAge:
    """Decides whether the configuration's age allows keys.

    :ivar refused: requests that were refused because of the age.
    """

    after: ClassVar[tuple[str, ...]] = ("routes", "sources")

    def __init__(self, node: GatewayNode) -> None:
        self._node = node
        self._routes = node.require(Routes)
        self._sources = node.require(Sources)
        self._checks = node.background(self._check)
        self._refreshes = node.background(self._refresh_if_old)
        self._refused_since: float | None = None
        self._refused_before = 0
        self.refused = 0
        node.provide(KeyAge, self)

    def start(self) -> None:
        """Start to check the age."""
        self._checks.start()
        self._refreshes.start()

    async def stop(self) -> None:
        """Stop the checks; requests are still judged by the age."""
        self._checks.stop()
        self._refreshes.stop()

    def allows_keys(self) -> bool:
        """Whether keys may be trusted at this moment."""
        limits = self._node.settings.key_age_limits
        if limits is None:
            return True
        age_s = self._routes.age_s
        allowed = limits.allows_keys(age_s)
        if allowed is (self._refused_since is not None):
            self._report_change(age_s, limits)
        return allowed

    @property
    def _has_customers(self) -> bool:
        table = self._routes.table
        return table is not None and len(table.customers) > 0

    def _report_change(self, age_s: float, limits: KeyAgeLimits) -> None:
        now = self._node.boot_clock()
        known_age_s = round(age_s, 3) if isfinite(age_s) else None
        if self._refused_since is None:
            self._refused_since, self._refused_before = now, self.refused
            limit_s = round(limits.refuse_from_s, 3)
            self._node.sink.emit(KeysRefused(known_age_s, limit_s))
            return
        seconds, self._refused_since = round(now - self._refused_since, 3), None
        refused = self.refused - self._refused_before
        self._node.sink.emit(KeysAccepted(known_age_s, refused, seconds))

    async def _check(self) -> timedelta:
        """Report a change without requests too."""
        if self._has_customers:
            self.allows_keys()
        return CHECK_INTERVAL

    async def _refresh_if_old(self) -> timedelta:
        """Ask the store whether the configuration is current, if it is getting old."""
        limits = self._node.settings.key_age_limits
        age_s = self._routes.age_s
        if limits is None or age_s < limits.ask_from_s or not self._has_customers:
            return CHECK_INTERVAL
        next_at = self._node.clock() + self._node.random.uniform(*REFRESH_INTERVAL_S)
        # In a long outage only the watchers try the store; the others poll them.
        waits = self._routes.lost and not self._sources.watches
        waits = waits and not limits.allows_keys(age_s)
        await self._routes.refresh(asks_store=not waits)
        return max(CHECK_INTERVAL, timedelta(seconds=next_at - self._node.clock()))
