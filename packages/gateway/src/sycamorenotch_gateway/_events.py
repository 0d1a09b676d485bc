"""Events of the gateway."""

from __future__ import annotations

from dataclasses import dataclass
from typing import final

from sycamorenotch_kernel import Event
from sycamorenotch_kernel import Severity
from sycamorenotch_kernel import event


@event(6001, "gateway.started")
@final
@dataclass(frozen=True, slots=True)
class GatewayStarted(Event):
    """Every component of the gateway has started."""

    instance: str
    region: str
    data_centre: str
    callers: str


@event(6002, "gateway.stopping")
@final
@dataclass(frozen=True, slots=True)
class GatewayStopping(Event):
    """The gateway has begun its shutdown; it is not ready and finishes its requests."""

    instance: str
    open_connections: int


@event(6003, "gateway.stopped")
@final
@dataclass(frozen=True, slots=True)
class GatewayStopped(Event):
    """The gateway has stopped; unfinished requests are counted."""

    instance: str
    unfinished: int


@event(6004, "gateway.reloaded")
@final
@dataclass(frozen=True, slots=True)
class SettingsReloaded(Event):
    """The settings file was read again and applied."""

    instance: str
    changed: bool


@event(6005, "gateway.settings-invalid", Severity.ERROR)
@final
@dataclass(frozen=True, slots=True)
class SettingsInvalid(Event):
    """The settings file is invalid; the previous settings stay in force."""

    problems: str


@event(6006, "gateway.turn-failed", Severity.ERROR)
@final
@dataclass(frozen=True, slots=True)
class GatewayTurnFailed(Event):
    """A turn of a background task raised an exception; later turns still run."""

    turn: str
    error: str


@event(6007, "gateway.request-rejected", Severity.WARNING)
@final
@dataclass(frozen=True, slots=True)
class RequestRejected(Event):
    """A request was malformed, too large or too slow, or its handler failed."""

    listener: str
    detail: str


@event(6008, "gateway.paused", Severity.WARNING)
@final
@dataclass(frozen=True, slots=True)
class ProcessPaused(Event):
    """The process was suspended, so its data may be stale."""

    seconds: float


@event(6009, "gateway.cannot-listen", Severity.ERROR)
@final
@dataclass(frozen=True, slots=True)
class GatewayCannotListen(Event):
    """A listener could not be opened; the process ends."""

    detail: str


@event(6010, "gateway.loop-stalled", Severity.WARNING)
@final
@dataclass(frozen=True, slots=True)
class LoopStalled(Event):
    """A turn of the event loop delayed all others by so many seconds."""

    seconds: float


@event(6101, "configuration.applied")
@final
@dataclass(frozen=True, slots=True)
class ConfigurationApplied(Event):
    """A newer version of the routes, services and limits was applied.

    :param era: era of the store that the revision belongs to.
    :param source: the instance from which it was read, or ``store``.
    """

    version: int
    revision: int
    routes: int
    era: int
    source: str


@event(6102, "configuration.rejected", Severity.ERROR)
@final
@dataclass(frozen=True, slots=True)
class ConfigurationRejected(Event):
    """The stored configuration is invalid; the one in force stays."""

    entry: str
    revision: int
    problem: str


@event(6103, "configuration.ignored")
@final
@dataclass(frozen=True, slots=True)
class ConfigurationIgnored(Event):
    """A configuration was read that is not newer than the one in force.

    :param in_force: version of the configuration in force.
    :param in_force_revision: revision of the configuration in force.
    """

    version: int
    revision: int
    in_force: int
    in_force_revision: int


@event(6301, "store.lost", Severity.WARNING)
@final
@dataclass(frozen=True, slots=True)
class StoreLost(Event):
    """A topic of the store cannot be followed; its last state stays in force.

    :param age_s: time since the topic was last confirmed, in seconds.
    """

    topic: str
    fault: str
    detail: str
    age_s: float


@event(6305, "store.call-failed", Severity.WARNING)
@final
@dataclass(frozen=True, slots=True)
class StoreCallFailed(Event):
    """Another call failed while a topic of the store cannot be followed."""

    topic: str
    fault: str
    detail: str
    failures: int


@event(6302, "store.regained")
@final
@dataclass(frozen=True, slots=True)
class StoreRegained(Event):
    """A topic of the store is followed again."""

    topic: str
    outage_s: float


@event(6303, "store.history-gone", Severity.WARNING)
@final
@dataclass(frozen=True, slots=True)
class StoreHistoryGone(Event):
    """The store has discarded changes since a revision; the topic is read again."""

    topic: str
    revision: int


@event(6309, "store.era-changed", Severity.WARNING)
@final
@dataclass(frozen=True, slots=True)
class StoreEraChanged(Event):
    """The store has lost acknowledged writes, and gives out their revisions again.

    :param revision: revision of the first answer of the new era.
    :param previous_revision: last revision that was known of the former era.
    """

    topic: str
    era: int
    previous_era: int
    revision: int
    previous_revision: int


@event(6306, "store.relayed")
@final
@dataclass(frozen=True, slots=True)
class TopicRelayed(Event):
    """A topic was read from a peer while the store does not serve it."""

    topic: str
    revision: int


@event(6304, "store.announcement-failed", Severity.WARNING)
@final
@dataclass(frozen=True, slots=True)
class AnnouncementFailed(Event):
    """Instance entries could not be written or read; the call is retried."""

    detail: str


@event(6307, "store.source-failed", Severity.WARNING)
@final
@dataclass(frozen=True, slots=True)
class TopicSourceFailed(Event):
    """The instance that a topic was followed from is not current or not there.

    The topic is followed from another one or from the store.
    """

    topic: str
    source: str
    detail: str


@event(6308, "store.pulse-lost", Severity.WARNING)
@final
@dataclass(frozen=True, slots=True)
class StorePulseLost(Event):
    """The store did not answer in time; instances that follow this one are refused."""

    detail: str


@event(6401, "peer.joined")
@final
@dataclass(frozen=True, slots=True)
class PeerJoined(Event):
    """Another instance sent its first heartbeat, or the first after a timeout."""

    peer: str
    live: int


@event(6402, "peer.lost", Severity.WARNING)
@final
@dataclass(frozen=True, slots=True)
class PeerLost(Event):
    """Heartbeats of another instance timed out; look-up answers omit it."""

    peer: str
    live: int


@event(6403, "peer.datagram-rejected", Severity.WARNING)
@final
@dataclass(frozen=True, slots=True)
class DatagramRejected(Event):
    """A datagram could not be read or sent."""

    sender: str
    problem: str


@event(6501, "request.answered")
@final
@dataclass(frozen=True, slots=True)
class RequestAnswered(Event):
    """A worker's answer to a request was forwarded to the caller.

    :param configuration: version by which the request was routed; its age in seconds
        was ``configuration_age_s`` then, or unknown.
    """

    request: str
    route: str
    service: str
    worker: str
    status: int
    attempts: int
    seconds: float
    configuration: int
    configuration_age_s: float | None


@event(6502, "request.refused", Severity.WARNING)
@final
@dataclass(frozen=True, slots=True)
class RequestRefused(Event):
    """A request was answered with an error of the system itself.

    :param configuration: version that decided on the request, 0 if there was none; its
        age in seconds was ``configuration_age_s`` then, or unknown.
    """

    request: str
    route: str
    service: str
    kind: str
    ran: str
    status: int
    detail: str
    attempts: int
    seconds: float
    retry_after_s: float
    configuration: int
    configuration_age_s: float | None


@event(6503, "request.attempt-failed", Severity.WARNING)
@final
@dataclass(frozen=True, slots=True)
class AttemptFailed(Event):
    """An attempt failed: a worker refused the request, failed or did not answer."""

    request: str
    worker: str
    outcome: str
    detail: str
    load: float
    choice: str
    entry_age_s: float
    seconds: float


@event(6504, "request.abandoned")
@final
@dataclass(frozen=True, slots=True)
class RequestAbandoned(Event):
    """The caller closed its connection; its request was cancelled."""

    request: str
    attempts: int
    seconds: float


@event(6505, "request.quarantined", Severity.ERROR)
@final
@dataclass(frozen=True, slots=True)
class RequestQuarantined(Event):
    """A request has crashed several workers and is quarantined.

    :param request: identifier of the request that was lost last; empty if another
        instance saw that.
    """

    request: str
    signature: str
    worker: str


@event(6506, "request.struck", Severity.WARNING)
@final
@dataclass(frozen=True, slots=True)
class RequestStruck(Event):
    """A worker crashed while it ran a request, as seen by the instance ``origin``.

    :param lost_s: time since the loss, in seconds.
    :param crashes: crashes that count against the request, with this one.
    """

    signature: str
    worker: str
    origin: str
    lost_s: float
    crashes: int


@event(6507, "request.quarantine-ended")
@final
@dataclass(frozen=True, slots=True)
class QuarantineEnded(Event):
    """A quarantined request was answered by a worker and is served again."""

    signature: str


@event(6601, "log.dropped", Severity.WARNING)
@final
@dataclass(frozen=True, slots=True)
class LogDropped(Event):
    """Log lines were dropped by the rate limit or because the queue was full."""

    lines: int
