"""Events of the streams between daemons."""

from __future__ import annotations

from dataclasses import dataclass
from typing import final

from sycamorenotch_kernel import Event
from sycamorenotch_kernel import Severity
from sycamorenotch_kernel import event


@event(4101, "peer.connected")
@final
@dataclass(frozen=True, slots=True)
class PeerConnected(Event):
    """A peer was authenticated and its stream is open."""

    instance: str
    dialled: bool


@event(4102, "peer.refused", Severity.WARNING)
@final
@dataclass(frozen=True, slots=True)
class PeerRefused(Event):
    """A connection was closed: its peer was rejected or violated the protocol."""

    address: str
    reason: str


@event(4103, "peer.lost")
@final
@dataclass(frozen=True, slots=True)
class PeerLost(Event):
    """The last open stream to a peer was closed."""

    instance: str


@event(4104, "peer.frame-refused", Severity.WARNING)
@final
@dataclass(frozen=True, slots=True)
class PeerFrameRefused(Event):
    """A malformed message was discarded; the stream stays open."""

    instance: str
    reason: str


@event(4105, "peer.key-missing", Severity.WARNING)
@final
@dataclass(frozen=True, slots=True)
class PeerKeyMissing(Event):
    """The settings have no peer key; peer streams are disabled."""
