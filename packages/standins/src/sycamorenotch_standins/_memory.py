"""The in-memory store adapter."""

from __future__ import annotations

from datetime import timedelta
from typing import Any
from typing import final

from expression import Error
from expression import Ok
from expression import Result
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime

from sycamorenotch_kernel import ListedInstance
from sycamorenotch_kernel import StoredObject
from sycamorenotch_kernel import StoreError
from sycamorenotch_kernel import StoreFault
from sycamorenotch_kernel import Version
from sycamorenotch_kernel import WatchResult
from sycamorenotch_kernel import store_adapters
from sycamorenotch_standins._faults import FaultInjector
from sycamorenotch_standins._objects import ObjectTable


@store_adapters.register("memory")
@final
class MemoryStore:
    """Store adapter on an object table in the same process.

    The fault ``down`` makes every call fail. Any other fault executes a write and
    reports its outcome as unknown, and makes a read fail.

    :param table: the objects; several adapters may share a table.
    :param reactor: schedules the timeouts of watches.
    """

    def __init__(self, table: ObjectTable, reactor: IReactorTime) -> None:
        self.table = table
        self.fault = FaultInjector()
        self.listed: tuple[ListedInstance, ...] = ()
        self._reactor = reactor

    async def get(
        self, kind: str, name: str, timeout: timedelta
    ) -> Result[StoredObject, StoreError]:
        """Return one object."""
        if self.fault.next_mode() != "none":
            return _unavailable()
        return self.table.get(kind, name)

    async def list(
        self, kind: str, timeout: timedelta
    ) -> Result[tuple[StoredObject, ...], StoreError]:
        """Return all objects of a kind."""
        if self.fault.next_mode() != "none":
            return _unavailable()
        return Ok(self.table.list(kind))

    async def create(
        self, kind: str, name: str, value: bytes, timeout: timedelta
    ) -> Result[StoredObject, StoreError]:
        """Create an object, or return a conflict if it exists."""
        mode = self.fault.next_mode()
        if mode == "down":
            return _unavailable()
        result = self.table.create(kind, name, value)
        return result if mode == "none" else _unknown()

    async def update(
        self, kind: str, name: str, value: bytes, expected: Version, timeout: timedelta
    ) -> Result[StoredObject, StoreError]:
        """Replace an object, or return a conflict if its version differs."""
        mode = self.fault.next_mode()
        if mode == "down":
            return _unavailable()
        result = self.table.update(kind, name, value, expected)
        return result if mode == "none" else _unknown()

    async def delete(
        self, kind: str, name: str, expected: Version, timeout: timedelta
    ) -> Result[None, StoreError]:
        """Delete an object, or return a conflict if its version differs."""
        mode = self.fault.next_mode()
        if mode == "down":
            return _unavailable()
        result = self.table.delete(kind, name, expected)
        return result if mode == "none" else _unknown()

    async def watch(
        self, kind: str, after: Version, timeout: timedelta
    ) -> Result[WatchResult, StoreError]:
        """Return the changes after a version, waiting for one until the timeout."""
        if self.fault.next_mode() != "none":
            return _unavailable()
        if not self.table.changes(kind, after).objects:
            await self._wait_for_change(kind, timeout)
        return Ok(self.table.changes(kind, after))

    async def instances(
        self, timeout: timedelta
    ) -> Result[tuple[ListedInstance, ...], StoreError]:
        """Return the platform's list of instances."""
        if self.fault.next_mode() != "none":
            return _unavailable()
        return Ok(self.listed)

    async def _wait_for_change(self, kind: str, timeout: timedelta) -> None:
        wake_fut: Deferred[None] = Deferred()

        def wake() -> None:
            if not wake_fut.called:
                wake_fut.callback(None)

        unsubscribe = self.table.on_change(kind, wake)
        timer = self._reactor.callLater(timeout.total_seconds(), wake)
        try:
            await wake_fut
        finally:
            unsubscribe()
            if timer.active():
                timer.cancel()


def _unavailable() -> Result[Any, StoreError]:
    return Error(StoreError(StoreFault.UNAVAILABLE, "the store is down"))


def _unknown() -> Result[Any, StoreError]:
    return Error(StoreError(StoreFault.UNKNOWN, "the response was lost"))
