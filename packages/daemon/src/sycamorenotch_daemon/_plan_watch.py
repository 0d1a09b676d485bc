"""Watches the stored plan and puts newer ones in force."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from typing import ClassVar
from typing import final

from sycamorenotch_daemon._background import make_periodic_task
from sycamorenotch_daemon._node import Node
from sycamorenotch_daemon._plan_codec import PLAN_KIND
from sycamorenotch_daemon._plan_codec import StoredPlan
from sycamorenotch_daemon._plan_codec import decode_plan
from sycamorenotch_daemon._plan_events import PlanInForceChanged
from sycamorenotch_daemon._plan_events import PlanInvalid
from sycamorenotch_daemon._plan_events import PlanUnavailable
from sycamorenotch_daemon._plan_view import PlanView
from sycamorenotch_kernel import Plan
from sycamorenotch_kernel import StoredObject
from sycamorenotch_kernel import StoreError
from sycamorenotch_kernel import StoreFault
from sycamorenotch_kernel import Version
from sycamorenotch_kernel import components

READ_TIMEOUT = timedelta(seconds=2)
WATCH_TIMEOUT = timedelta(seconds=30)
WATCH_INTERVAL = timedelta(milliseconds=200)
INITIAL_BACKOFF = timedelta(seconds=1)
MAX_BACKOFF = timedelta(seconds=30)
MAX_BACKOFF_DOUBLINGS = 6

Subscriber = Callable[[Plan], None]


@components.register("plan")
@final
class PlanWatch:
    """Reads the plan from the store and watches for newer plans.

    The last plan stays in force while the store is unavailable.
    """

    after: ClassVar[tuple[str, ...]] = ("configuration",)

    def __init__(self, node: Node) -> None:
        self._node = node
        self._name = node.settings.environment
        self._loop = make_periodic_task(node.reactor, node.sink, self._turn)
        self._subscribers: list[Subscriber] = []
        self._failures = 0
        self._watch_after: Version | None = None
        self.version: Version | None = None
        self.stored: StoredPlan | None = None
        node.provide(PlanWatch, self)
        node.provide(PlanView, self)  # type: ignore[type-abstract]

    async def start(self) -> None:
        """Read the plan once and start the watch loop."""
        await self.read()
        self._loop.start(self._node.random.random() * INITIAL_BACKOFF)

    async def stop(self) -> None:
        """Stop the watch loop."""
        self._loop.stop()

    def plan(self) -> Plan | None:
        """Return the plan in force, or None before the first one."""
        return None if self.stored is None else self.stored.plan

    def subscribe(self, subscriber: Subscriber) -> None:
        """Call a function with the plan in force, if any, and with each newer one."""
        self._subscribers.append(subscriber)
        if self.stored is not None:
            subscriber(self.stored.plan)

    async def read(self) -> bool:
        """Read the plan from the store.

        :return: whether the read succeeded; an absent plan counts as success.
        """
        result = await self._node.store.get(PLAN_KIND, self._name, READ_TIMEOUT)
        if result.is_ok():
            self.accept(result.ok)
            self._watch_after = max(self._watch_after or Version(0), result.ok.version)
            return True
        if result.error.fault is StoreFault.NOT_FOUND:
            # The plan in force stays, and the holder may create the object again.
            self._watch_after = self._watch_after or Version(0)
            self.version = None
            return True
        self._report_failure(result.error)
        return False

    def accept(self, stored: StoredObject) -> bool:
        """Put a stored plan in force if its version is newer.

        :return: whether the stored plan is the one in force.
        """
        if self.version is not None and stored.version <= self.version:
            return stored.version == self.version
        decoded = decode_plan(stored.value)
        if decoded.is_error():
            self._node.sink.emit(PlanInvalid(stored.version, decoded.error))
            return False
        self.version, self.stored = stored.version, decoded.ok
        term, plan = decoded.ok.term, decoded.ok.plan
        self._node.sink.emit(PlanInForceChanged(term, plan.sequence, plan.holder))
        for subscriber in self._subscribers:
            subscriber(plan)
        return True

    async def _turn(self) -> timedelta:
        if self._watch_after is None and not await self.read():
            return self._backoff_delay()
        assert self._watch_after is not None
        watched = await self._node.store.watch(
            PLAN_KIND, self._watch_after, WATCH_TIMEOUT
        )
        if watched.is_error():
            self._report_failure(watched.error)
            return self._backoff_delay()
        self._failures = 0
        self._watch_after = watched.ok.version
        for stored in watched.ok.objects:
            if stored.name == self._name:
                self.accept(stored)
        return WATCH_INTERVAL

    def _report_failure(self, error: StoreError) -> None:
        if not self._failures:
            detail = f"{error.fault.value}: {error.detail}"
            self._node.sink.emit(PlanUnavailable(detail))
        self._failures += 1

    def _backoff_delay(self) -> timedelta:
        factor: int = 2 ** min(self._failures, MAX_BACKOFF_DOUBLINGS)
        max_delay = min(INITIAL_BACKOFF * factor, MAX_BACKOFF)
        return WATCH_INTERVAL + max_delay * self._node.random.random()
