"""Objects with versions, conditional updates and watches, in memory."""

from __future__ import annotations

from collections.abc import Callable
from typing import final

from expression import Error
from expression import Ok
from expression import Result

from sycamorenotch_kernel import StoredObject
from sycamorenotch_kernel import StoreError
from sycamorenotch_kernel import StoreFault
from sycamorenotch_kernel import Version
from sycamorenotch_kernel import WatchResult

MAXIMUM_VALUE_BYTES = 2**20

Waiter = Callable[[], None]


@final
class ObjectTable:
    """The state of the stand-in object API.

    :param first_version: revision before the first write.
    """

    def __init__(self, first_version: int = 0) -> None:
        self._objects: dict[tuple[str, str], StoredObject] = {}
        self._version = first_version
        self._waiters: dict[str, list[Waiter]] = {}

    @property
    def version(self) -> Version:
        """The revision of the last write."""
        return Version(self._version)

    def get(self, kind: str, name: str) -> Result[StoredObject, StoreError]:
        """Read one object."""
        found = self._objects.get((kind, name))
        if found is None:
            return Error(StoreError(StoreFault.NOT_FOUND, f"{kind}/{name}"))
        return Ok(found)

    def list(self, kind: str) -> tuple[StoredObject, ...]:
        """Read every object of a kind, by name."""
        objects = (o for (k, _), o in self._objects.items() if k == kind)
        return tuple(sorted(objects, key=lambda stored: stored.name))

    def create(
        self, kind: str, name: str, value: bytes
    ) -> Result[StoredObject, StoreError]:
        """Write an object that must not exist."""
        current = self._objects.get((kind, name))
        if current is not None:
            return Error(StoreError(StoreFault.CONFLICT, "exists", current))
        return self._write(kind, name, value)

    def update(
        self, kind: str, name: str, value: bytes, expected: Version
    ) -> Result[StoredObject, StoreError]:
        """Replace an object of the expected version."""
        current = self._objects.get((kind, name))
        if current is None:
            return Error(StoreError(StoreFault.NOT_FOUND, f"{kind}/{name}"))
        if current.version != expected:
            return Error(StoreError(StoreFault.CONFLICT, "changed", current))
        return self._write(kind, name, value)

    def delete(
        self, kind: str, name: str, expected: Version
    ) -> Result[None, StoreError]:
        """Remove an object of the expected version."""
        current = self._objects.get((kind, name))
        if current is None:
            return Error(StoreError(StoreFault.NOT_FOUND, f"{kind}/{name}"))
        if current.version != expected:
            return Error(StoreError(StoreFault.CONFLICT, "changed", current))
        self._version += 1
        del self._objects[kind, name]
        return Ok(None)

    def changes(self, kind: str, after: Version) -> WatchResult:
        """Return the objects written after a version."""
        changed = (o for o in self.list(kind) if o.version > after)
        ordered = sorted(changed, key=lambda stored: stored.version)
        return WatchResult(tuple(ordered), self.version)

    def on_change(self, kind: str, waiter: Waiter) -> Callable[[], None]:
        """Call a function once at the next write of a kind.

        :return: function that withdraws the waiter.
        """
        waiters = self._waiters.setdefault(kind, [])
        waiters.append(waiter)

        def withdraw() -> None:
            if waiter in waiters:
                waiters.remove(waiter)

        return withdraw

    def _write(
        self, kind: str, name: str, value: bytes
    ) -> Result[StoredObject, StoreError]:
        if len(value) > MAXIMUM_VALUE_BYTES:
            return Error(StoreError(StoreFault.UNAVAILABLE, "value too large"))
        self._version += 1
        stored = StoredObject(kind, name, Version(self._version), value)
        self._objects[kind, name] = stored
        # A waiter withdraws itself from the list while it is called.
        for waiter in tuple(self._waiters.pop(kind, ())):
            waiter()
        return Ok(stored)
