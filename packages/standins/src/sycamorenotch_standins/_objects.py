"""In-memory objects with versions, conditional updates and watches."""

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

MAX_VALUE_BYTES = 2**20

Callback = Callable[[], None]


@final
class ObjectTable:
    """Objects of the stand-in object API.

    :param first_version: version before the first write.
    """

    def __init__(self, first_version: int = 0) -> None:
        self._objects: dict[tuple[str, str], StoredObject] = {}
        self._version = first_version
        self._callbacks: dict[str, list[Callback]] = {}

    @property
    def version(self) -> Version:
        """The version of the last write."""
        return Version(self._version)

    def get(self, kind: str, name: str) -> Result[StoredObject, StoreError]:
        """Return one object."""
        found = self._objects.get((kind, name))
        if found is None:
            return Error(StoreError(StoreFault.NOT_FOUND, f"{kind}/{name}"))
        return Ok(found)

    def list(self, kind: str) -> tuple[StoredObject, ...]:
        """Return all objects of a kind, sorted by name."""
        objects = (o for (k, _), o in self._objects.items() if k == kind)
        return tuple(sorted(objects, key=lambda stored: stored.name))

    def create(
        self, kind: str, name: str, value: bytes
    ) -> Result[StoredObject, StoreError]:
        """Create an object, or return a conflict if it exists."""
        current = self._objects.get((kind, name))
        if current is not None:
            return Error(StoreError(StoreFault.CONFLICT, "exists", current))
        return self._write(kind, name, value)

    def update(
        self, kind: str, name: str, value: bytes, expected: Version
    ) -> Result[StoredObject, StoreError]:
        """Replace an object, or return a conflict if its version differs."""
        current = self._objects.get((kind, name))
        if current is None:
            return Error(StoreError(StoreFault.NOT_FOUND, f"{kind}/{name}"))
        if current.version != expected:
            return Error(StoreError(StoreFault.CONFLICT, "changed", current))
        return self._write(kind, name, value)

    def delete(
        self, kind: str, name: str, expected: Version
    ) -> Result[None, StoreError]:
        """Delete an object, or return a conflict if its version differs."""
        current = self._objects.get((kind, name))
        if current is None:
            return Error(StoreError(StoreFault.NOT_FOUND, f"{kind}/{name}"))
        if current.version != expected:
            return Error(StoreError(StoreFault.CONFLICT, "changed", current))
        self._version += 1
        del self._objects[kind, name]
        return Ok(None)

    def changes(self, kind: str, after: Version) -> WatchResult:
        """Return the objects written after a version, the oldest first."""
        changed = (o for o in self.list(kind) if o.version > after)
        ordered = sorted(changed, key=lambda stored: stored.version)
        return WatchResult(tuple(ordered), self.version)

    def on_change(self, kind: str, callback: Callback) -> Callable[[], None]:
        """Call a function once, at the next write of a kind.

        :return: function that removes the callback.
        """
        callbacks = self._callbacks.setdefault(kind, [])
        callbacks.append(callback)

        def unsubscribe() -> None:
            if callback in callbacks:
                callbacks.remove(callback)

        return unsubscribe

    def _write(
        self, kind: str, name: str, value: bytes
    ) -> Result[StoredObject, StoreError]:
        if len(value) > MAX_VALUE_BYTES:
            return Error(StoreError(StoreFault.UNAVAILABLE, "value too large"))
        self._version += 1
        stored = StoredObject(kind, name, Version(self._version), value)
        self._objects[kind, name] = stored
        # Callbacks may remove themselves while they are called.
        for callback in tuple(self._callbacks.pop(kind, ())):
            callback()
        return Ok(stored)
