"""Messages that daemons exchange over peer connections."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from enum import unique
from typing import ClassVar
from typing import TypeVar
from typing import final

from sycamorenotch_kernel._ports import InstanceId
from sycamorenotch_kernel._ports import ListedInstance
from sycamorenotch_kernel._registries import message_types


class Message:
    """Base class of all messages; each subclass is a frozen data class.

    To stay compatible with older peers, a later version of a message may only
    append fields that have defaults.
    """

    number: ClassVar[int]


M = TypeVar("M", bound=type[Message])


def message(number: int, name: str) -> Callable[[M], M]:
    """Return a decorator that registers a message class under a wire number.

    :param number: unique number that identifies the class on the wire.
    :param name: dotted name, unique in the registry.
    """

    def decorate(cls: M) -> M:
        cls.number = number
        return message_types.register(name)(cls)

    return decorate


@final
@unique
class MemberState(Enum):
    """State of an instance in the membership view of one daemon."""

    LIVE = "live"
    LEAVING = "leaving"
    SUSPECT = "suspect"
    GONE = "gone"


@final
@dataclass(frozen=True, slots=True)
class Rumour:
    """A membership update about a third instance, spread by gossip.

    :param instance: the instance that the update is about.
    :param incarnation: incarnation of that instance; a higher one supersedes
        earlier updates.
    :param generation: configuration generation that it is known to have in
        force; 0 if unknown.
    """

    instance: InstanceId
    incarnation: int
    state: MemberState
    generation: int


@message(1, "heartbeat")
@final
@dataclass(frozen=True, slots=True)
class Heartbeat(Message):
    """Reports that the sender is alive and which configuration it serves.

    :param answer: whether the receiver should reply with its own heartbeat.
    :param incarnation: incarnation of the sender; a restart raises it, and so does
        the refutation of a suspicion.
    :param leaving: whether the sender is about to stop.
    :param generation: configuration generation in force at the sender; 0 if it
        has none.
    :param digest: short digest of the configuration in force.
    :param rumours: membership updates about other instances.
    """

    answer: bool
    incarnation: int
    leaving: bool
    generation: int
    digest: bytes
    rumours: tuple[Rumour, ...] = ()


@final
@dataclass(frozen=True, slots=True)
class Piece:
    """One instruction of a delta: insert new bytes, then copy from the base.

    :param new: bytes to insert.
    :param offset: byte offset in the base text from which to copy.
    :param length: number of bytes to copy.
    """

    new: bytes
    offset: int
    length: int


@message(2, "configuration.push")
@final
@dataclass(frozen=True, slots=True)
class ConfigurationPush(Message):
    """A configuration, whole or as a delta against an older one.

    :param generation: generation of the configuration.
    :param digest: digest of the whole text.
    :param base: generation of the text that the delta refers to; 0 if nothing
        is copied.
    :param pieces: instructions of the delta, in order.
    """

    generation: int
    digest: bytes
    base: int
    pieces: tuple[Piece, ...]


@message(3, "configuration.request")
@final
@dataclass(frozen=True, slots=True)
class ConfigurationRequest(Message):
    """Asks for a configuration that is newer than the sender's.

    :param generation: generation in force at the sender; 0 requests the whole
        text.
    """

    generation: int


@message(4, "listing.push")
@final
@dataclass(frozen=True, slots=True)
class ListingPush(Message):
    """A change to the platform's list of instances.

    :param base: digest of the list that the change applies to; empty if the
        message holds the whole list.
    :param digest: digest of the list after the change.
    :param changed: new and changed entries.
    :param removed: instances that are no longer listed.
    """

    base: bytes
    digest: bytes
    changed: tuple[ListedInstance, ...]
    removed: tuple[InstanceId, ...] = ()


@message(5, "listing.request")
@final
@dataclass(frozen=True, slots=True)
class ListingRequest(Message):
    """Asks for the whole list of instances."""
