"""Interface to a store of configuration, workers and instances."""

from __future__ import annotations

from collections.abc import Awaitable
from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from enum import unique
from typing import Any
from typing import Protocol
from typing import final

from expression import Result

from sycamorenotch_kernel._forwarding import PeerEntry

# A watch without changes is to be answered this long before its timeout.
WATCH_ANSWER_S = 1.2


@final
@unique
class Topic(Enum):
    """Kinds of object that the platform's store holds."""

    CONFIGURATION = "configuration"
    WORKERS = "workers"
    EVACUATIONS = "evacuations"
    INSTANCES = "instances"


@final
@unique
class FeedFault(Enum):
    """Why a call to the store failed.

    ``HISTORY_GONE`` means that the store has discarded changes since the requested
    revision, so that the topic must be read again.
    """

    UNAVAILABLE = "unavailable"
    HISTORY_GONE = "history gone"
    REFUSED = "refused"


@final
@dataclass(frozen=True, slots=True)
class FeedError:
    """The error side of a call to the store.

    :param detail: description of the failure for operators; may be empty.
    """

    fault: FeedFault
    detail: str = ""


@final
@dataclass(frozen=True, slots=True)
class Item:
    """One object of a topic.

    :param revision: revision of the last write to the object.
    :param value: decoded object, whose type depends on the topic.
    :param problem: why the object could not be decoded; empty if it was.
    :param removed: whether the object was deleted.
    """

    name: str
    revision: int
    value: Any = None
    problem: str = ""
    removed: bool = False


@final
@dataclass(frozen=True, slots=True, order=True)
class Position:
    """Moment in the history of the store; later ones are larger.

    :param era: rises when the store loses acknowledged writes and gives out their
        revisions again.
    :param revision: rises with each write of one era.
    """

    era: int = 0
    revision: int = 0


@final
@dataclass(frozen=True, slots=True)
class Batch:
    """Objects of a topic, all of them or only the changed ones.

    :param revision: store revision up to which the batch is complete.
    :param era: era of the store to which the revision belongs.
    :param age_s: how much earlier than the call that got the batch the moment lies up
        to which it is known to include all acknowledged writes, in seconds; negative
        if that moment is later than the call, and none if the source does not say.
    :param version: version of the newest item that a peer has in force, to which its
        age applies, for topics whose items have an order of their own; 0 if the source
        does not say.
    """

    items: tuple[Item, ...]
    revision: int
    era: int = 0
    age_s: float | None = field(default=None, compare=False)
    version: int = field(default=0, compare=False)

    @property
    def position(self) -> Position:
        """Moment up to which the batch is complete."""
        return Position(self.era, self.revision)


class ObjectFeed(Protocol):
    """Reads and watches decoded objects of the platform's store."""

    def read(self, topic: Topic, *, fresh: bool) -> Awaitable[Result[Batch, FeedError]]:
        """Read all objects of a topic.

        :param fresh: whether the result must include every acknowledged write;
            otherwise it may be seconds old, which puts less load on the store.
        """
        ...

    def watch(
        self, topic: Topic, after: int, timeout_s: float
    ) -> Awaitable[Result[Batch, FeedError]]:
        """Wait for changes after a revision.

        An empty batch means that nothing changed. The store is asked to answer
        ``WATCH_ANSWER_S`` before the timeout, so that a call without an answer has
        failed.

        :param timeout_s: time within which the call ends, in seconds.
        """
        ...

    def announce(self, entry: PeerEntry) -> Awaitable[Result[None, FeedError]]:
        """Register this instance by writing its entry to the store."""
        ...
