"""Events about workers and evacuations of their data centres."""

from __future__ import annotations

from dataclasses import dataclass
from typing import final

from sycamorenotch_kernel import Event
from sycamorenotch_kernel import Severity
from sycamorenotch_kernel import event


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


@event(6230, "worker.probed")
@final
@dataclass(frozen=True, slots=True)
class WorkerProbed(Event):
    """A connection was opened to a worker that lost requests, to see if it lives."""

    worker: str
    service: str
    result: str
