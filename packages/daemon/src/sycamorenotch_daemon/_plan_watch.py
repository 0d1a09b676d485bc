"""Keeps the newest plan in force."""

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
FIRST_DELAY = timedelta(seconds=1)
MAXIMUM_DELAY = timedelta(seconds=30)
MAXIMUM_DOUBLINGS = 6

Listener = Callable[[Plan], None]


@components.register("plan")
@final
class PlanWatch:
    """Reads the plan from the store and watches for newer ones.

    While the store is down the last plan stays in force.
    """

    after: ClassVar[tuple[str, ...]] = ("configuration",)

    def __init__(self, node: Node) -> None:
        self._node = node
        self._name = node.settings.environment
        self._loop = make_periodic_task(node.reactor, node.sink, self._turn)
        self._listeners: list[Listener] = []
        self._failures = 0
        self._after: Version | None = None
        self.version: Version | None = None
        self.stored: StoredPlan | None = None
        node.provide(PlanWatch, self)
        node.provide(PlanView, self)  # type: ignore[type-abstract]

    async def start(self) -> None:
        """Read the plan once and start to watch."""
        await self.read()
        self._loop.start(self._node.random.random() * FIRST_DELAY)

    async def stop(self) -> None:
        """Stop watching."""
        self._loop.stop()

    def plan(self) -> Plan | None:
        """Return the plan in force, if there is one."""
        return None if self.stored is None else self.stored.plan

    def subscribe(self, listener: Listener) -> None:
        """Call a function now, if possible, and for each newer plan."""
        self._listeners.append(listener)
        if self.stored is not None:
            listener(self.stored.plan)

    async def read(self) -> bool:
        """Read the plan from the store.

        :return: whether the store told what the newest plan is.
        """
        found = await self._node.store.get(PLAN_KIND, self._name, READ_TIMEOUT)
        if found.is_ok():
            self.accept(found.ok)
            self._after = max(self._after or Version(0), found.ok.version)
            return True
        if found.error.fault is StoreFault.NOT_FOUND:
            # The plan stays in force, and the holder may create the object.
            self._after = self._after or Version(0)
            self.version = None
            return True
        self._report(found.error)
        return False

    def accept(self, stored: StoredObject) -> bool:
        """Put a stored plan in force if it is newer.

        :return: whether the plan is in force now.
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
        for listener in self._listeners:
            listener(plan)
        return True

    async def _turn(self) -> timedelta:
        if self._after is None and not await self.read():
            return self._delay()
        assert self._after is not None
        changes = await self._node.store.watch(PLAN_KIND, self._after, WATCH_TIMEOUT)
        if changes.is_error():
            self._report(changes.error)
            return self._delay()
        self._failures = 0
        self._after = changes.ok.version
        for stored in changes.ok.objects:
            if stored.name == self._name:
                self.accept(stored)
        return WATCH_INTERVAL

    def _report(self, error: StoreError) -> None:
        if not self._failures:
            detail = f"{error.fault.value}: {error.detail}"
            self._node.sink.emit(PlanUnavailable(detail))
        self._failures += 1

    def _delay(self) -> timedelta:
        growth: int = 2 ** min(self._failures, MAXIMUM_DOUBLINGS)
        longest = min(FIRST_DELAY * growth, MAXIMUM_DELAY)
        return WATCH_INTERVAL + longest * self._node.random.random()
