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


@event(6101, "configuration.applied")
@final
@dataclass(frozen=True, slots=True)
class ConfigurationApplied(Event):
    """A newer version of the routes, services and limits was applied."""

    version: int
    revision: int
    routes: int


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


@event(6150, "customers.changed")
@final
@dataclass(frozen=True, slots=True)
class CustomersChanged(Event):
    """The configuration has more or fewer customers than the one before.

    :param version: version of the configuration.
    """

    version: int
    customers: int
    previous: int


@event(6151, "customers.keys-refused", Severity.ERROR)
@final
@dataclass(frozen=True, slots=True)
class KeysRefused(Event):
    """Requests with keys are refused, as the configuration may be out of date.

    :param age_s: age that the configuration is known to have; none if it is unknown.
    :param limit_s: age from which keys are refused.
    """

    age_s: float | None
    limit_s: float


@event(6152, "customers.keys-accepted")
@final
@dataclass(frozen=True, slots=True)
class KeysAccepted(Event):
    """Requests with keys are accepted again.

    :param age_s: age that the configuration is known to have.
    :param refused: requests that were refused because of the age.
    """

    age_s: float | None
    refused: int
    seconds: float


@event(6170, "quota.exceeded", Severity.WARNING)
@final
@dataclass(frozen=True, slots=True)
class QuotaExceeded(Event):
    """A customer's requests were refused as beyond its quota, at most once a second.

    :param rate: the quota, in requests per second.
    :param mode: how requests are admitted: ``share`` by tokens of the own share,
        ``chance`` at random.
    :param share: part of the quota that this instance may use.
    :param demand: known demand of all reached instances, in requests per second.
    :param debt: requests admitted beyond the share, or beyond the quota if by chance.
    :param reached: number of other instances whose demand is known.
    :param known_age_s: age of the oldest of these reports.
    :param refused: requests refused since the last such line.
    """

    customer: str
    rate: float
    mode: str
    share: float
    demand: float
    debt: float
    reached: int
    known_age_s: float
    refused: int


@event(6171, "quota.shares-frozen", Severity.WARNING)
@final
@dataclass(frozen=True, slots=True)
class QuotaSharesFrozen(Event):
    """Fewer than half of the other instances are heard from; shares do not rise."""

    reached: int
    instances: int


@event(6172, "quota.shares-resumed")
@final
@dataclass(frozen=True, slots=True)
class QuotaSharesResumed(Event):
    """At least half of the other instances are heard from again."""

    reached: int
    instances: int


@event(6190, "clients.limited", Severity.WARNING)
@final
@dataclass(frozen=True, slots=True)
class ClientsLimited(Event):
    """Clients were closed or refused because of what clients use.

    :param reasons: number of clients by reason, since the last such event.
    :param used_bytes: bytes held for clients now.
    :param total_bytes: limit on these bytes.
    """

    reasons: str
    used_bytes: int
    total_bytes: int
    connections: int
    requests: int


@event(6201, "worker.changed")
@final
@dataclass(frozen=True, slots=True)
class WorkerChanged(Event):
    """A new or changed entry of a worker was read."""

    worker: str
    service: str
    data_centre: str
    draining: bool
    cold_s: float
    revision: int


@event(6202, "worker.removed")
@final
@dataclass(frozen=True, slots=True)
class WorkerRemoved(Event):
    """A worker was removed and receives no more requests."""

    worker: str
    reason: str
    revision: int


@event(6203, "worker.entry-ignored", Severity.WARNING)
@final
@dataclass(frozen=True, slots=True)
class WorkerEntryIgnored(Event):
    """An entry of the store is invalid and was ignored."""

    entry: str
    problem: str
    revision: int


@event(6204, "worker.failed", Severity.WARNING)
@final
@dataclass(frozen=True, slots=True)
class WorkerFailed(Event):
    """A worker failed a request and receives none during the pause."""

    worker: str
    service: str
    detail: str
    failures: int
    pause_s: float
    unreachable: bool


@event(6205, "evacuation.changed", Severity.WARNING)
@final
@dataclass(frozen=True, slots=True)
class EvacuationChanged(Event):
    """The set of evacuated data centres, whose workers get no requests, has changed."""

    data_centres: str
    revision: int


@event(6206, "worker.idle-connection-forgotten", Severity.WARNING)
@final
@dataclass(frozen=True, slots=True)
class IdleConnectionForgotten(Event):
    """A worker reset a request on a connection that had been idle.

    :param idle_s: time for which it had been idle, in seconds.
    :param trusted_s: maximum idle time, in seconds, up to which connections to the
        service are reused.
    """

    worker: str
    service: str
    idle_s: float
    trusted_s: float


@event(6207, "worker.rate-limit-changed", Severity.WARNING)
@final
@dataclass(frozen=True, slots=True)
class RateLimitChanged(Event):
    """A worker named another limit on its requests, or none any more.

    :param limit: requests per second from all instances together; none if it ended.
    :param previous: the limit before.
    :param source: ``answer`` if this instance observed it, ``peer`` if another one did.
    :param share: requests per second of it that this instance may send.
    :param sent: requests that this instance sent to it in the last second.
    """

    worker: str
    service: str
    limit: float | None
    previous: float | None
    source: str
    share: float
    sent: int


@event(6208, "worker.leaving")
@final
@dataclass(frozen=True, slots=True)
class WorkerLeaving(Event):
    """A worker's answer says that it is about to stop, before its entry did.

    :param entry_age_s: time since its entry was read, in seconds.
    """

    worker: str
    service: str
    entry_age_s: float


@event(6209, "worker.paused", Severity.WARNING)
@final
@dataclass(frozen=True, slots=True)
class WorkerPaused(Event):
    """A worker turned a request away and wants no others for a while.

    :param request: identifier of the request that it turned away.
    :param sent: requests that this instance sent to it in the last second.
    """

    worker: str
    service: str
    pause_s: float
    request: str
    sent: int


@event(6210, "worker.resumed")
@final
@dataclass(frozen=True, slots=True)
class WorkerResumed(Event):
    """The pause that a worker asked for is over."""

    worker: str
    service: str


@event(6211, "worker.load-ignored", Severity.WARNING)
@final
@dataclass(frozen=True, slots=True)
class WorkerLoadIgnored(Event):
    """A worker states a load with figures that are malformed or absurd.

    These figures are ignored. It is reported once for each start of a worker.

    :param load: the load as the worker states it, cut off after some characters.
    """

    worker: str
    service: str
    load: str


@event(6212, "work.estimated")
@final
@dataclass(frozen=True, slots=True)
class WorkEstimated(Event):
    """How long answers took relative to their estimates, since the last such line.

    :param below_50: answers that took less than half of the expected time.
    :param to_80: answers that took between 50 and 80% of it; the others likewise.
    :param cost_s: mean cost of a request at the usual speed, in seconds.
    :param slowdown: usual slowdown that the workers state.
    """

    service: str
    below_50: int
    to_80: int
    to_125: int
    to_200: int
    to_400: int
    above_400: int
    cost_s: float
    slowdown: float


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


@event(6230, "worker.probed")
@final
@dataclass(frozen=True, slots=True)
class WorkerProbed(Event):
    """A connection was opened to a worker that lost requests, to see if it lives."""

    worker: str
    service: str
    result: str


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
    """A worker's answer to a request was forwarded to the caller."""

    request: str
    route: str
    service: str
    worker: str
    status: int
    attempts: int
    seconds: float
    configuration: int


@event(6502, "request.refused", Severity.WARNING)
@final
@dataclass(frozen=True, slots=True)
class RequestRefused(Event):
    """A request was answered with an error of the system itself."""

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
    """A request has crashed several workers and is quarantined."""

    request: str
    signature: str
    worker: str


@event(6601, "log.dropped", Severity.WARNING)
@final
@dataclass(frozen=True, slots=True)
class LogDropped(Event):
    """Log lines were dropped by the rate limit or because the queue was full."""

    lines: int
