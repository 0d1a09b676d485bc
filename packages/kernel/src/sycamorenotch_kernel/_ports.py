"""Interfaces to the platform, the instance list and the event loop."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from enum import unique
from typing import NewType
from typing import Protocol
from typing import final

from expression import Result

from sycamorenotch_kernel._identifiers import AttemptId

Version = NewType("Version", int)
InstanceId = NewType("InstanceId", str)


@final
@dataclass(frozen=True, slots=True)
class StoredObject:
    """An object of the platform's object API.

    :param kind: kind under which the object is stored.
    :param name: name of the object, unique within its kind.
    :param version: store-wide revision of the last write to the object.
    :param value: encoded object.
    """

    kind: str
    name: str
    version: Version
    value: bytes


@final
@unique
class StoreFault(Enum):
    """Why a store call failed."""

    NOT_FOUND = "not found"
    CONFLICT = "conflict"
    UNAVAILABLE = "unavailable"
    UNKNOWN = "unknown whether it took effect"
    REFUSED = "refused by the call budget"


@final
@dataclass(frozen=True, slots=True)
class StoreError:
    """The error side of a store call.

    :param detail: description of the failure for operators; may be empty.
    :param current: on a conflict, the object as another writer left it, if
        the store returned it.
    """

    fault: StoreFault
    detail: str = ""
    current: StoredObject | None = None


@final
@dataclass(frozen=True, slots=True)
class WatchResult:
    """The result of a watch.

    :param objects: changed objects in the order of their versions.
    :param version: revision up to which the result is complete; the next watch
        continues after it.
    """

    objects: tuple[StoredObject, ...]
    version: Version


class Store(Protocol):
    """The platform's object API.

    A write whose response is lost returns :attr:`StoreFault.UNKNOWN`, because
    it may have taken effect. Every timeout is relative to the start of the call.
    """

    def get(
        self, kind: str, name: str, timeout: timedelta
    ) -> Awaitable[Result[StoredObject, StoreError]]:
        """Read one object; a missing one gives :attr:`StoreFault.NOT_FOUND`."""
        ...

    def list(
        self, kind: str, timeout: timedelta
    ) -> Awaitable[Result[tuple[StoredObject, ...], StoreError]]:
        """Read all objects of a kind."""
        ...

    def create(
        self, kind: str, name: str, value: bytes, timeout: timedelta
    ) -> Awaitable[Result[StoredObject, StoreError]]:
        """Create an object.

        An existing object of this name gives :attr:`StoreFault.CONFLICT`.
        """
        ...

    def update(
        self, kind: str, name: str, value: bytes, expected: Version, timeout: timedelta
    ) -> Awaitable[Result[StoredObject, StoreError]]:
        """Replace an object if it still has the expected version.

        Another version gives :attr:`StoreFault.CONFLICT`.
        """
        ...

    def delete(
        self, kind: str, name: str, expected: Version, timeout: timedelta
    ) -> Awaitable[Result[None, StoreError]]:
        """Delete an object if it still has the expected version.

        Another version gives :attr:`StoreFault.CONFLICT`.
        """
        ...

    def watch(
        self, kind: str, after: Version, timeout: timedelta
    ) -> Awaitable[Result[WatchResult, StoreError]]:
        """Wait for changes after a version; on timeout the result is empty."""
        ...


@final
@unique
class InstanceState(Enum):
    """State of an instance in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


@final
@dataclass(frozen=True, slots=True)
class ListedInstance:
    """An entry of the platform's list of instances.

    :param callers: ``IP:port`` of the listener for callers.
    :param peers: ``IP:port`` of the listener for peers.
    :param operators: ``IP:port`` of the listener for operators; empty if the
        list does not have it.
    """

    id: InstanceId
    region: str
    data_centre: str
    callers: str
    peers: str
    state: InstanceState
    operators: str = ""


class Directory(Protocol):
    """The platform's list of live and leaving instances.

    The list is eventually consistent: it may still name a stopped instance or
    lack a new one.
    """

    def instances(
        self, timeout: timedelta
    ) -> Awaitable[Result[tuple[ListedInstance, ...], StoreError]]:
        """Read the whole list."""
        ...


class Cancellable(Protocol):
    """A scheduled call that can be cancelled."""

    def cancel(self) -> None:
        """Cancel the call; has no effect once the call has run."""
        ...


class Scheduler(Protocol):
    """Runs functions later on the event loop."""

    def call_later(self, delay: timedelta, function: Callable[[], None]) -> Cancellable:
        """Schedule a function to run after a delay."""
        ...


@final
@dataclass(frozen=True, slots=True)
class Attempt:
    """One dispatch of a request to a worker.

    :param worker: name of the worker.
    :param timeout: longest time to wait for the answer.
    """

    id: AttemptId
    worker: str
    timeout: timedelta
