"""Codec of the heartbeat datagrams between instances."""

from __future__ import annotations

import dataclasses
from collections import OrderedDict
from datetime import timedelta
from typing import Annotated
from typing import Any
from typing import final

import msgpack
from pydantic import BaseModel
from pydantic import ConfigDict
from pydantic import Field

from sycamorenotch_kernel import PeerEntry
from sycamorenotch_kernel import Resources
from sycamorenotch_policies import AnsweredRequest
from sycamorenotch_policies import Heartbeat
from sycamorenotch_policies import RateLimitReport
from sycamorenotch_policies import Signature
from sycamorenotch_policies import Strike

# One heartbeat in this many describes the instance in full; compact ones refer to
# it. The first ones after a start are full, as no peer knows the instance yet.
FULL_HEARTBEAT_EVERY = 8
FULL_HEARTBEATS_AT_START = 4
# Bound on instances whose full heartbeat is kept; the oldest are discarded.
MAX_KNOWN_INSTANCES = 4_096
MILLI_PER_UNIT = 1_000


def _wire_name(name: str) -> Any:
    return Field(validation_alias=name, serialization_alias=name)


def _optional_wire_name(name: str, default: Any) -> Any:
    return Field(default, validation_alias=name, serialization_alias=name)


_Amount = Annotated[float, Field(ge=0)]
_COMPACT_CONFIG = ConfigDict(
    extra="ignore", frozen=True, allow_inf_nan=False, populate_by_name=True
)


class StrikeMessage(BaseModel):
    """The wire form of a strike.

    :param age_ms: time since the loss, in milliseconds.
    :param incarnation: start of the worker, as in :class:`Strike`.
    """

    model_config = ConfigDict(extra="ignore", frozen=True, allow_inf_nan=False)

    signature: str
    worker: str
    origin: str
    sequence: int
    age_ms: int
    incarnation: int = 0


class AnsweredRequestMessage(BaseModel):
    """The wire form of a request that was answered after workers were lost with it.

    :param age_ms: time since the answer, in milliseconds.
    """

    model_config = _COMPACT_CONFIG

    signature: str = _wire_name("s")
    age_ms: int = _wire_name("a")


class RateLimitMessage(BaseModel):
    """The wire form of a worker's rate limit that an instance observed.

    :param limit: requests per second; none if the worker names no limit.
    """

    model_config = _COMPACT_CONFIG

    worker: str = _wire_name("w")
    limit: _Amount | None = _wire_name("l")
    age_ms: int = _wire_name("a")


class HeartbeatMessage(BaseModel):
    """The wire form of a heartbeat that describes its instance in full.

    :param processors: capacity in cores; ``used_processors`` are in use.
    :param link_mbps: capacity in Mbit/s; ``used_link_mbps`` are in use.
    """

    model_config = ConfigDict(extra="ignore", frozen=True, allow_inf_nan=False)

    id: str
    region: str
    data_centre: str
    callers: str
    gossip: str
    started: int
    sequence: int
    leaving: bool
    ready: bool
    processors: _Amount
    link_mbps: _Amount
    used_processors: float
    used_link_mbps: float
    strikes: tuple[StrikeMessage, ...] = ()
    demand: dict[str, _Amount] | None = None
    limits: tuple[RateLimitMessage, ...] = ()
    quotas: bytes | None = None
    answered: tuple[AnsweredRequestMessage, ...] = ()


class CompactHeartbeatMessage(BaseModel):
    """The wire form of a heartbeat that refers to an earlier full one.

    Names are short, as every instance sends several a second to every other.

    :param millicores: thousandths of a core in use.
    :param kilobits: bandwidth in use, in kbit/s.
    :param demand: only while workers name limits, as it divides these.
    """

    model_config = _COMPACT_CONFIG

    id: str = _wire_name("i")
    started: int = _wire_name("b")
    sequence: int = _wire_name("n")
    ready: bool = _wire_name("r")
    millicores: int = _wire_name("c")
    kilobits: int = _wire_name("k")
    demand: dict[str, _Amount] | None = _optional_wire_name("d", None)
    limits: tuple[RateLimitMessage, ...] = _optional_wire_name("l", ())
    quotas: bytes | None = _optional_wire_name("q", None)


@final
class HeartbeatCodec:
    """Encodes this instance's heartbeats and decodes those of its peers."""

    def __init__(self) -> None:
        # By identifier and start time. The newest start time alone would not do, as
        # a later start may have an earlier one after a step of the wall clock.
        self._known: OrderedDict[tuple[str, int], Heartbeat] = OrderedDict()

    def encode(
        self,
        heartbeat: Heartbeat,
        strikes: tuple[Strike, ...],
        *,
        full: bool = False,
        demand: bool = False,
    ) -> bytes:
        """Return the datagram of a heartbeat.

        :param full: whether it must describe the instance in full.
        :param demand: whether it must state the demand.
        """
        regular = (
            heartbeat.sequence > FULL_HEARTBEATS_AT_START
            and heartbeat.sequence % FULL_HEARTBEAT_EVERY
        )
        full = full or bool(strikes or heartbeat.answered)
        if full or heartbeat.entry.leaving or not regular:
            message: BaseModel = _full_message(heartbeat, strikes)
        else:
            message = CompactHeartbeatMessage(
                id=heartbeat.entry.id,
                started=heartbeat.entry.started,
                sequence=heartbeat.sequence,
                ready=heartbeat.ready,
                millicores=round(heartbeat.usage.processors * MILLI_PER_UNIT),
                kilobits=round(heartbeat.usage.link_mbps * MILLI_PER_UNIT),
                demand=_demand_message(heartbeat) if demand else None,
                limits=_limit_messages(heartbeat),
                quotas=heartbeat.quotas,
            )
        packed: bytes = msgpack.packb(
            message.model_dump(by_alias=True, exclude_defaults=True)
        )
        return packed

    def decode(self, datagram: bytes) -> tuple[Heartbeat | None, tuple[Strike, ...]]:
        """Return the heartbeat and the strikes of a datagram.

        The heartbeat is ``None`` if it is compact and no full one came before.

        :raises ValueError: if the datagram cannot be read.
        """
        try:
            return self._decode(datagram)
        # Numbers may be too large for a time.
        except (msgpack.UnpackException, OverflowError) as exc:
            raise ValueError(type(exc).__name__) from exc

    def _decode(self, datagram: bytes) -> tuple[Heartbeat | None, tuple[Strike, ...]]:
        found = msgpack.unpackb(datagram)
        if isinstance(found, dict) and "i" in found:
            return self._expand(CompactHeartbeatMessage.model_validate(found)), ()
        message = HeartbeatMessage.model_validate(found)
        heartbeat = _to_heartbeat(message)
        self._remember(heartbeat)
        return heartbeat, tuple(map(_to_strike, message.strikes))

    def _expand(self, message: CompactHeartbeatMessage) -> Heartbeat | None:
        known = self._known.get((message.id, message.started))
        if known is None:
            return None
        usage = Resources(
            message.millicores / MILLI_PER_UNIT, message.kilobits / MILLI_PER_UNIT
        )
        return dataclasses.replace(
            known,
            sequence=message.sequence,
            ready=message.ready,
            usage=usage,
            demand=known.demand if message.demand is None else message.demand,
            limits=tuple(map(_to_limit_report, message.limits)),
            quotas=message.quotas,
            answered=(),
        )

    def _remember(self, heartbeat: Heartbeat) -> None:
        key = (heartbeat.entry.id, heartbeat.entry.started)
        self._known[key] = heartbeat
        self._known.move_to_end(key)
        if len(self._known) > MAX_KNOWN_INSTANCES:
            self._known.popitem(last=False)


def _full_message(
    heartbeat: Heartbeat, strikes: tuple[Strike, ...]
) -> HeartbeatMessage:
    entry = heartbeat.entry
    return HeartbeatMessage(
        id=entry.id,
        region=entry.region,
        data_centre=entry.data_centre,
        callers=entry.callers,
        gossip=entry.gossip,
        started=entry.started,
        sequence=heartbeat.sequence,
        leaving=entry.leaving,
        ready=heartbeat.ready,
        processors=heartbeat.capacity.processors,
        link_mbps=heartbeat.capacity.link_mbps,
        used_processors=heartbeat.usage.processors,
        used_link_mbps=heartbeat.usage.link_mbps,
        strikes=tuple(map(_strike_message, strikes)),
        demand=_demand_message(heartbeat),
        limits=_limit_messages(heartbeat),
        quotas=heartbeat.quotas,
        answered=tuple(map(_answered_message, heartbeat.answered)),
    )


def _demand_message(heartbeat: Heartbeat) -> dict[str, float] | None:
    return None if heartbeat.demand is None else dict(heartbeat.demand)


def _limit_messages(heartbeat: Heartbeat) -> tuple[RateLimitMessage, ...]:
    return tuple(
        RateLimitMessage(
            worker=report.worker,
            limit=report.limit,
            age_ms=round(report.age_s * MILLI_PER_UNIT),
        )
        for report in heartbeat.limits
    )


def _to_limit_report(message: RateLimitMessage) -> RateLimitReport:
    age_s = max(0, message.age_ms) / MILLI_PER_UNIT
    return RateLimitReport(message.worker, message.limit, age_s)


def _to_heartbeat(message: HeartbeatMessage) -> Heartbeat:
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
        message.demand,
        tuple(map(_to_limit_report, message.limits)),
        message.quotas,
        tuple(map(_to_answered, message.answered)),
    )


def _to_answered(message: AnsweredRequestMessage) -> AnsweredRequest:
    age = timedelta(milliseconds=max(0, message.age_ms))
    return AnsweredRequest(Signature(message.signature), age)


def _answered_message(answered: AnsweredRequest) -> AnsweredRequestMessage:
    age_ms = round(answered.age / timedelta(milliseconds=1))
    return AnsweredRequestMessage(signature=answered.signature, age_ms=age_ms)


def _to_strike(message: StrikeMessage) -> Strike:
    return Strike(
        Signature(message.signature),
        message.worker,
        message.origin,
        message.sequence,
        timedelta(milliseconds=max(0, message.age_ms)),
        message.incarnation,
    )


def _strike_message(strike: Strike) -> StrikeMessage:
    return StrikeMessage(
        signature=strike.signature,
        worker=strike.worker,
        origin=strike.origin,
        sequence=strike.sequence,
        age_ms=round(strike.age / timedelta(milliseconds=1)),
        incarnation=strike.incarnation,
    )
