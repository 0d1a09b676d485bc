"""The datagrams by which instances tell that they live."""

from __future__ import annotations

import dataclasses
from collections import OrderedDict
from datetime import timedelta
from typing import Any
from typing import final

import msgpack
from pydantic import BaseModel
from pydantic import ConfigDict
from pydantic import Field

from sycamorenotch_kernel import PeerEntry
from sycamorenotch_kernel import Resources
from sycamorenotch_policies import Heartbeat
from sycamorenotch_policies import Signature
from sycamorenotch_policies import Strike

# One in this many datagrams describes the instance whole; the others refer to
# that. The first ones after a start do, as peers know nothing of it yet.
WHOLE_EVERY = 8
WHOLE_AT_START = 4
# Instances whose description is kept; the oldest are forgotten.
MOST_DESCRIBED = 4_096
MILLI = 1_000


class StrikeMessage(BaseModel):
    """The wire form of a strike.

    :param age_ms: time since it was seen.
    """

    model_config = ConfigDict(extra="ignore", frozen=True)

    signature: str
    worker: str
    origin: str
    sequence: int
    age_ms: int


class BeatMessage(BaseModel):
    """The wire form of a beat that describes its instance whole.

    :param processors: cores that the instance has, and uses.
    :param link_mbps: megabits a second that it has, and uses.
    """

    model_config = ConfigDict(extra="ignore", frozen=True)

    id: str
    region: str
    data_centre: str
    callers: str
    gossip: str
    started: int
    sequence: int
    leaving: bool
    ready: bool
    processors: float
    link_mbps: float
    used_processors: float
    used_link_mbps: float
    strikes: tuple[StrikeMessage, ...] = ()


def _short(name: str) -> Any:
    return Field(validation_alias=name, serialization_alias=name)


class PulseMessage(BaseModel):
    """The wire form of a beat of an instance that was described before.

    Names are short, as every instance sends several a second to every other.

    :param millicores: thousandths of a core in use.
    :param kilobits: kilobits a second in use.
    """

    model_config = ConfigDict(extra="ignore", frozen=True, populate_by_name=True)

    id: str = _short("i")
    started: int = _short("b")
    sequence: int = _short("n")
    ready: bool = _short("r")
    millicores: int = _short("c")
    kilobits: int = _short("k")


@final
class BeatCodec:
    """Encodes this instance's beats and decodes those of others."""

    def __init__(self) -> None:
        # By identifier and start; after a step of the wall clock a later start
        # may bear an earlier moment.
        self._described: OrderedDict[tuple[str, int], Heartbeat] = OrderedDict()

    def encode(
        self, beat: Heartbeat, strikes: tuple[Strike, ...], *, whole: bool = False
    ) -> bytes:
        """Return the datagram of a beat.

        :param whole: whether it must describe the instance whole.
        """
        regular = beat.sequence > WHOLE_AT_START and beat.sequence % WHOLE_EVERY
        if whole or strikes or beat.entry.leaving or not regular:
            message: BaseModel = _whole(beat, strikes)
        else:
            message = PulseMessage(
                id=beat.entry.id,
                started=beat.entry.started,
                sequence=beat.sequence,
                ready=beat.ready,
                millicores=round(beat.usage.processors * MILLI),
                kilobits=round(beat.usage.link_mbps * MILLI),
            )
        packed: bytes = msgpack.packb(message.model_dump(by_alias=True))
        return packed

    def decode(self, datagram: bytes) -> tuple[Heartbeat | None, tuple[Strike, ...]]:
        """Return the beat of a datagram, and the strikes that it tells.

        The beat is missing if its instance has not been described yet.

        :raises ValueError: if the datagram cannot be read.
        """
        try:
            found = msgpack.unpackb(datagram)
        except msgpack.UnpackException as exc:
            raise ValueError(type(exc).__name__) from exc
        if isinstance(found, dict) and "i" in found:
            return self._pulse(PulseMessage.model_validate(found)), ()
        message = BeatMessage.model_validate(found)
        beat = _beat(message)
        self._describe(beat)
        return beat, tuple(map(_strike, message.strikes))

    def _pulse(self, message: PulseMessage) -> Heartbeat | None:
        known = self._described.get((message.id, message.started))
        if known is None:
            return None
        uses = Resources(message.millicores / MILLI, message.kilobits / MILLI)
        return dataclasses.replace(
            known, sequence=message.sequence, ready=message.ready, usage=uses
        )

    def _describe(self, beat: Heartbeat) -> None:
        key = (beat.entry.id, beat.entry.started)
        self._described[key] = beat
        self._described.move_to_end(key)
        if len(self._described) > MOST_DESCRIBED:
            self._described.popitem(last=False)


def _whole(beat: Heartbeat, strikes: tuple[Strike, ...]) -> BeatMessage:
    entry = beat.entry
    return BeatMessage(
        id=entry.id,
        region=entry.region,
        data_centre=entry.data_centre,
        callers=entry.callers,
        gossip=entry.gossip,
        started=entry.started,
        sequence=beat.sequence,
        leaving=entry.leaving,
        ready=beat.ready,
        processors=beat.capacity.processors,
        link_mbps=beat.capacity.link_mbps,
        used_processors=beat.usage.processors,
        used_link_mbps=beat.usage.link_mbps,
        strikes=tuple(map(_strike_message, strikes)),
    )


def _beat(message: BeatMessage) -> Heartbeat:
    return Heartbeat(
        PeerEntry(
            message.id,
            message.region,
            message.data_centre,
            message.callers,
            message.gossip,
            message.started,
            message.leaving,
        ),
        message.sequence,
        message.ready,
        Resources(message.processors, message.link_mbps),
        Resources(message.used_processors, message.used_link_mbps),
    )


def _strike(message: StrikeMessage) -> Strike:
    return Strike(
        Signature(message.signature),
        message.worker,
        message.origin,
        message.sequence,
        timedelta(milliseconds=max(0, message.age_ms)),
    )


def _strike_message(strike: Strike) -> StrikeMessage:
    return StrikeMessage(
        signature=strike.signature,
        worker=strike.worker,
        origin=strike.origin,
        sequence=strike.sequence,
        age_ms=round(strike.age / timedelta(milliseconds=1)),
    )
