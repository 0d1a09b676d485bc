"""Keeps the configuration recent enough for keys, and refuses keys when it is not."""

from __future__ import annotations

from datetime import timedelta
from math import isfinite
from typing import ClassVar
from typing import final

from sycamorenotch_gateway._events import KeysAccepted
from sycamorenotch_gateway._events import KeysRefused
from sycamorenotch_gateway._node import GatewayNode
from sycamorenotch_gateway._routes import Routes
from sycamorenotch_kernel import gateway_components
from sycamorenotch_policies.customers import KeyAgeLimits

CHECK_INTERVAL = timedelta(seconds=0.2)
# Each question may be a call to the store, which is charged. Spread, so that instances
# that lost the store together do not return together.
ASK_INTERVAL_S = (1.0, 1.3)


@gateway_components.register("key-age")
@final
class KeyAge:
    """Decides whether the configuration's age allows keys.

    :ivar refused: requests that were refused because of the age.
    """

    after: ClassVar[tuple[str, ...]] = ("routes",)

    def __init__(self, node: GatewayNode) -> None:
        self._node = node
        self._routes = node.require(Routes)
        self._checks = node.background(self._check)
        self._refused_since: float | None = None
        self._refused_before = 0
        self.refused = 0
        node.provide(KeyAge, self)

    def start(self) -> None:
        """Start to check the age."""
        self._checks.start()

    async def stop(self) -> None:
        """Stop the checks; requests are still judged by the age."""
        self._checks.stop()

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
        limits, table = self._node.settings.key_age_limits, self._routes.table
        if limits is None or table is None or not len(table.customers):
            return CHECK_INTERVAL
        self.allows_keys()
        if self._routes.age_s < limits.ask_from_s:
            return CHECK_INTERVAL
        await self._routes.refresh()
        return timedelta(seconds=self._node.random.uniform(*ASK_INTERVAL_S))
