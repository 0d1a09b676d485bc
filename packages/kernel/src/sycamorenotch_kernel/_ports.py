"""Interfaces to the systems around an instance."""

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

    :param version: store-wide revision of the last write to the object.
    """

    kind: str
    name: str
    version: Version
    value: bytes


@final
@unique
class StoreFault(Enum):
    """Why a store call has no regular result."""

    NOT_FOUND = "not found"
    CONFLICT = "conflict"
    UNAVAILABLE = "unavailable"
    UNKNOWN = "unknown whether it took effect"
    REFUSED = "refused by the call budget"


@final
@dataclass(frozen=True, slots=True)
class StoreError:
    """The error side of a store call.

    :param current: the object that won, for a conflict.
    """

    fault: StoreFault
    detail: str = ""
    current: StoredObject | None = None


@final
@dataclass(frozen=True, slots=True)
class Changes:
    """What a watch returns.

    :param objects: changed objects in the order of their versions.
    :param version: revision up to which the watch has seen every change.
    """

    objects: tuple[StoredObject, ...]
    version: Version


class Store(Protocol):
    """The platform's object API.

    A write whose answer is lost gives :attr:`StoreFault.UNKNOWN`. Every call
    takes a deadline relative to now.
    """

    def get(
        self, kind: str, name: str, timeout: timedelta
    ) -> Awaitable[Result[StoredObject, StoreError]]:
        """Read one object."""
        ...

    def list(
        self, kind: str, timeout: timedelta
    ) -> Awaitable[Result[tuple[StoredObject, ...], StoreError]]:
        """Read every object of a kind."""
        ...

    def create(
        self, kind: str, name: str, value: bytes, timeout: timedelta
    ) -> Awaitable[Result[StoredObject, StoreError]]:
        """Write an object that must not exist."""
        ...

    def update(
        self, kind: str, name: str, value: bytes, expected: Version, timeout: timedelta
    ) -> Awaitable[Result[StoredObject, StoreError]]:
        """Replace an object whose version must be the expected one."""
        ...

    def delete(
        self, kind: str, name: str, expected: Version, timeout: timedelta
    ) -> Awaitable[Result[None, StoreError]]:
        """Remove an object whose version must be the expected one."""
        ...

    def watch(
        self, kind: str, after: Version, timeout: timedelta
    ) -> Awaitable[Result[Changes, StoreError]]:
        """Wait for changes later than a version, or for the timeout."""
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

    :param callers: ``IP:port`` of the callers' listener.
    :param peers: ``IP:port`` of the peers' listener.
    """

    id: InstanceId
    region: str
    data_centre: str
    callers: str
    peers: str
    state: InstanceState
    operators: str = ""


class Directory(Protocol):
    """The platform's list of live and leaving instances, which lags."""

    def instances(
        self, timeout: timedelta
    ) -> Awaitable[Result[tuple[ListedInstance, ...], StoreError]]:
        """Read the list."""
        ...


class Cancellable(Protocol):
    """A scheduled call that can be cancelled."""

    def cancel(self) -> None:
        """Cancel the call; does nothing after it ran."""
        ...


class Scheduler(Protocol):
    """Runs functions later on the one loop."""

    def call_later(self, delay: timedelta, function: Callable[[], None]) -> Cancellable:
        """Run a function after a delay."""
        ...


@final
@dataclass(frozen=True, slots=True)
class Attempt:
    """One dispatch of a request to a worker."""

    id: AttemptId
    worker: str
    timeout: timedelta
