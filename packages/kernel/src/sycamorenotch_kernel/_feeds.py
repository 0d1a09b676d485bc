"""Interfaces to a platform whose store holds configuration, workers and instances."""

from __future__ import annotations

from collections.abc import Awaitable
from dataclasses import dataclass
from enum import Enum
from enum import unique
from typing import Any
from typing import Protocol
from typing import final

from expression import Result

from sycamorenotch_kernel._forwarding import PeerEntry


@final
@unique
class Topic(Enum):
    """What a platform's store holds for the system."""

    CONFIGURATION = "configuration"
    WORKERS = "workers"
    EVACUATIONS = "evacuations"
    INSTANCES = "instances"


@final
@unique
class FeedFault(Enum):
    """Why a call to the store has no regular result."""

    UNAVAILABLE = "unavailable"
    HISTORY_GONE = "history gone"
    REFUSED = "refused"


@final
@dataclass(frozen=True, slots=True)
class FeedError:
    """The error side of a call to the store."""

    fault: FeedFault
    detail: str = ""


@final
@dataclass(frozen=True, slots=True)
class Item:
    """One object of a topic.

    :param value: the decoded object; its type depends on the topic.
    :param problem: why the object could not be decoded, if it could not.
    """

    name: str
    revision: int
    value: Any = None
    problem: str = ""
    removed: bool = False


@final
@dataclass(frozen=True, slots=True)
class Batch:
    """Objects of a topic.

    :param revision: the store's revision up to which the batch is complete.
    """

    items: tuple[Item, ...]
    revision: int


class ObjectFeed(Protocol):
    """The platform's store as a source of decoded objects."""

    def read(self, topic: Topic, *, fresh: bool) -> Awaitable[Result[Batch, FeedError]]:
        """Read every object of a topic.

        :param fresh: whether the answer must hold all that was acknowledged; it
            may be seconds old otherwise, for less load.
        """
        ...

    def watch(self, topic: Topic, after: int) -> Awaitable[Result[Batch, FeedError]]:
        """Wait for changes later than a revision; an empty batch is regular."""
        ...

    def announce(self, entry: PeerEntry) -> Awaitable[Result[None, FeedError]]:
        """Write this instance's own entry."""
        ...
