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
from sycamorenotch_standins._faults import FaultSwitch
from sycamorenotch_standins._objects import ObjectTable


@store_adapters.register("memory")
@final
class MemoryStore:
    """Store adapter over an object table in the same process.

    :param table: the objects, shared by every adapter of a test.
    :param reactor: schedules watch timeouts.
    """

    def __init__(self, table: ObjectTable, reactor: IReactorTime) -> None:
        self.table = table
        self.fault = FaultSwitch()
        self.listed: tuple[ListedInstance, ...] = ()
        self._reactor = reactor

    async def get(
        self, kind: str, name: str, timeout: timedelta
    ) -> Result[StoredObject, StoreError]:
        """Read one object."""
        if self.fault.strike() != "none":
            return _unavailable()
        return self.table.get(kind, name)

    async def list(
        self, kind: str, timeout: timedelta
    ) -> Result[tuple[StoredObject, ...], StoreError]:
        """Read every object of a kind."""
        if self.fault.strike() != "none":
            return _unavailable()
        return Ok(self.table.list(kind))

    async def create(
        self, kind: str, name: str, value: bytes, timeout: timedelta
    ) -> Result[StoredObject, StoreError]:
        """Write an object that must not exist."""
        mode = self.fault.strike()
        if mode == "down":
            return _unavailable()
        result = self.table.create(kind, name, value)
        return result if mode == "none" else _unknown()

    async def update(
        self, kind: str, name: str, value: bytes, expected: Version, timeout: timedelta
    ) -> Result[StoredObject, StoreError]:
        """Replace an object of the expected version."""
        mode = self.fault.strike()
        if mode == "down":
            return _unavailable()
        result = self.table.update(kind, name, value, expected)
        return result if mode == "none" else _unknown()

    async def delete(
        self, kind: str, name: str, expected: Version, timeout: timedelta
    ) -> Result[None, StoreError]:
        """Remove an object of the expected version."""
        mode = self.fault.strike()
        if mode == "down":
            return _unavailable()
        result = self.table.delete(kind, name, expected)
        return result if mode == "none" else _unknown()

    async def watch(
        self, kind: str, after: Version, timeout: timedelta
    ) -> Result[WatchResult, StoreError]:
        """Wait for changes later than a version, or for the timeout."""
        if self.fault.strike() != "none":
            return _unavailable()
        if not self.table.changes(kind, after).objects:
            await self._change_or_timeout(kind, timeout)
        return Ok(self.table.changes(kind, after))

    async def instances(
        self, timeout: timedelta
    ) -> Result[tuple[ListedInstance, ...], StoreError]:
        """Read the platform's list of instances."""
        if self.fault.strike() != "none":
            return _unavailable()
        return Ok(self.listed)

    async def _change_or_timeout(self, kind: str, timeout: timedelta) -> None:
        fired: Deferred[None] = Deferred()

        def fire() -> None:
            if not fired.called:
                fired.callback(None)

        withdraw = self.table.on_change(kind, fire)
        call = self._reactor.callLater(timeout.total_seconds(), fire)
        try:
            await fired
        finally:
            withdraw()
            if call.active():
                call.cancel()


def _unavailable() -> Result[Any, StoreError]:
    return Error(StoreError(StoreFault.UNAVAILABLE, "the store is down"))


def _unknown() -> Result[Any, StoreError]:
    return Error(StoreError(StoreFault.UNKNOWN, "the answer was lost"))
