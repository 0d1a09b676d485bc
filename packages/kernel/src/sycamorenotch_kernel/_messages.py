"""Messages that daemons send each other over their streams."""

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

    A later version of a message may only add fields with defaults at the end.
    """

    number: ClassVar[int]


M = TypeVar("M", bound=type[Message])


def message(number: int, name: str) -> Callable[[M], M]:
    """Return a decorator that numbers and registers a message class.

    :param number: unique number that stands for the class on the wire.
    :param name: dotted name, unique in the registry.
    """

    def decorate(cls: M) -> M:
        cls.number = number
        return message_types.register(name)(cls)

    return decorate


@final
@unique
class MemberState(Enum):
    """State of an instance as one daemon sees it."""

    LIVE = "live"
    LEAVING = "leaving"
    SUSPECT = "suspect"
    GONE = "gone"


@final
@dataclass(frozen=True, slots=True)
class Rumour:
    """News of a third instance.

    :param generation: configuration generation it is known to serve, or 0.
    """

    instance: InstanceId
    incarnation: int
    state: MemberState
    generation: int


@message(1, "heartbeat")
@final
@dataclass(frozen=True, slots=True)
class Heartbeat(Message):
    """The sender is alive and serves a configuration.

    :param answer: whether the receiver is asked to answer with its own.
    :param digest: short digest of the configuration in force.
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
    """A part of a text: new bytes, then bytes copied from an older text.

    :param offset: place in the older text from which bytes are copied.
    :param length: number of bytes that are copied.
    """

    new: bytes
    offset: int
    length: int


@message(2, "configuration.push")
@final
@dataclass(frozen=True, slots=True)
class ConfigurationPush(Message):
    """A configuration, whole or as its differences from an older one.

    :param digest: digest of the whole text.
    :param base: generation of the older text; 0 if nothing is copied.
    """

    generation: int
    digest: bytes
    base: int
    pieces: tuple[Piece, ...]


@message(3, "configuration.request")
@final
@dataclass(frozen=True, slots=True)
class ConfigurationRequest(Message):
    """The sender asks for a configuration newer than its own.

    :param generation: generation in force at the sender; 0 asks for the whole.
    """

    generation: int


@message(4, "listing.push")
@final
@dataclass(frozen=True, slots=True)
class ListingPush(Message):
    """A change of the platform's list of instances.

    :param base: digest of the list that the change applies to; empty if the
        change is the whole list.
    :param digest: digest of the list after the change.
    """

    base: bytes
    digest: bytes
    changed: tuple[ListedInstance, ...]
    removed: tuple[InstanceId, ...] = ()


@message(5, "listing.request")
@final
@dataclass(frozen=True, slots=True)
class ListingRequest(Message):
    """The sender asks for the whole list of instances."""
