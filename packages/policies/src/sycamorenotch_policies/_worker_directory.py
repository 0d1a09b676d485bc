"""Per-worker state of an instance: entries, load reports and observed outcomes."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from enum import unique
from heapq import nsmallest
from itertools import islice
from math import inf
from typing import final

from sycamorenotch_kernel import LoadReport
from sycamorenotch_kernel import ServiceLimits
from sycamorenotch_kernel import WorkerEntry
from sycamorenotch_policies._overdue import MIN_WAIT_S
from sycamorenotch_policies._overdue import LatencyEstimate
from sycamorenotch_policies._rate_limit import RateLimitReport
from sycamorenotch_policies._rate_limit import WorkerRateLimit
from sycamorenotch_policies._service_load import ServiceLoad

# A load report is stale after the service time of a few requests.
REPORT_LIFETIME_S = 1.5
INITIAL_BACKOFF_S = 0.3
MAX_BACKOFF_S = 3.0
# Smoothing factor of the moving average of the latency.
LATENCY_WEIGHT = 0.2
# A worker counts as unresponsive if it has requests in flight and answers none
# for this multiple of its average latency, but at least for the tail of its service.
# Service times vary by a factor of three, and a request may queue for as long again.
SILENCE_TIMEOUT_LATENCIES = 5.0
# Applies until the service has answered a request.
DEFAULT_SILENCE_TIMEOUT_S = 2.0
# A data centre is suspect while at least this many of its workers could not be
# reached within the last seconds.
SUSPECT_WORKERS = 2
SUSPECT_PERIOD_S = 5.0


@final
@unique
class ColdCause(Enum):
    """Why a worker is taken to be cold, as text for the log."""

    REPORTED = "are in cold start"
    UNREACHABLE = "may be cold after they could not be reached"
    EVACUATED = "may be cold after an evacuation"


@final
@dataclass(slots=True)
class WorkerView:
    """One worker, as this instance sees it.

    All times are seconds on the monotonic clock.

    :param entry: last entry of the worker.
    :param region: region of the worker's data centre.
    :param seen_at: time at which the entry was last received.
    :param others_in_flight: requests of other instances, by the last load report.
    :param reported_at: time of the last load report.
    :param failures: consecutive failures.
    :param backoff_until: end of the backoff after a failure.
    :param unreachable: whether the worker could not be connected to since its
        last regular answer.
    :param cold_until: end of the cold start, with a limited request rate.
    :param cold_cause: why the worker is taken to be cold until then.
    :param missing_until: time at which the worker is removed unless its expired
        entry comes back; none while the entry is present.
    :param estimate: latency of the answers of all workers of the service.
    :param service_load: mean load of all workers of the service.
    :param failed_at: time of the last failure.
    :param rate: limit that the worker names on the requests of all instances.
    :param latency_s: moving average of the latency of regular answers.
    :param last_answer_at: time of the last answer to this instance.
    :param last_sent_at: time of the last request of this instance.
    :param sent: send times of the requests of the last second.
    :param in_flight_since: send times of the requests in flight.
    """

    entry: WorkerEntry
    region: str
    seen_at: float
    estimate: LatencyEstimate = field(default_factory=LatencyEstimate)
    service_load: ServiceLoad = field(default_factory=ServiceLoad)
    failed_at: float = -1e9
    others_in_flight: float = 0.0
    reported_at: float = -1e9
    failures: int = 0
    backoff_until: float = -1e9
    unreachable: bool = False
    cold_until: float = -1e9
    cold_cause: ColdCause = ColdCause.REPORTED
    missing_until: float | None = None
    rate: WorkerRateLimit = field(default_factory=WorkerRateLimit)
    latency_s: float | None = None
    last_answer_at: float = -1e9
    last_sent_at: float = -1e9
    sent: deque[float] = field(default_factory=deque)
    in_flight_since: list[float] = field(default_factory=list)

    @property
    def in_flight(self) -> int:
        """Number of requests of this instance at the worker."""
        return len(self.in_flight_since)

    def silence_timeout_s(self) -> float:
        """Return how long the worker may give no answer while it has requests."""
        return max(
            MIN_WAIT_S,
            self.estimate.tail_s or DEFAULT_SILENCE_TIMEOUT_S,
            SILENCE_TIMEOUT_LATENCIES * (self.latency_s or 0.0),
        )

    def unresponsive_from(self) -> float:
        """Return when the worker becomes unresponsive; infinite while it is idle."""
        if not self.in_flight_since:
            return inf
        return (
            max(self.last_answer_at, min(self.in_flight_since))
            + self.silence_timeout_s()
        )

    def load(self, now: float) -> float:
        """Return the estimated number of requests at the worker, running and queued.

        As the last load report ages, the share of other instances goes over to the
        mean of the service, or to what the worker's own rate limit lets in.
        """
        weight = max(0.0, 1.0 - (now - self.reported_at) / REPORT_LIFETIME_S)
        expected = self.service_load.per_slot(now) * self.entry.slots
        if self.rate.limit is not None:
            latency_s = self.latency_s or self.estimate.tail_s or 0.0
            expected = min(expected, self.rate.limit * latency_s)
        others = max(0.0, expected - self.in_flight)
        return self.in_flight + weight * self.others_in_flight + (1.0 - weight) * others

    def observe_load(self, report: LoadReport, now: float) -> None:
        """Record a load report that came with an answer to this instance."""
        # The report may still count the request that it answers.
        own = self.in_flight + 1
        total = report.running + report.waiting
        self.others_in_flight = max(0.0, total - own)
        self.service_load.observe(total / self.entry.slots, now)
        self.reported_at = now

    def record_start(self, now: float) -> None:
        """Record that a request is sent."""
        if self.rate.limit is not None:
            self.rate.allowance.take(now)
        self.in_flight_since.append(now)
        self.sent.append(now)
        self.last_sent_at = now
        while self.sent and self.sent[0] <= now - 1.0:
            self.sent.popleft()

    def record_end(self, begun: float) -> None:
        """Record that a request is no longer in flight.

        :param begun: time that was passed to :meth:`record_start`.
        """
        self.in_flight_since.remove(begun)

    def sent_last_second(self, now: float) -> int:
        """Return the number of requests that this instance sent in the last second."""
        return sum(1 for sent_at in self.sent if sent_at > now - 1.0)

    def has_room_at(self, rate: float, now: float) -> bool:
        """Return whether one more request keeps to a rate.

        :param rate: requests per second that this instance may send.
        """
        if rate >= 1.0:
            return self.sent_last_second(now) + 1 <= rate
        return now - self.last_sent_at >= 1.0 / rate

    def record_success(self, latency_s: float) -> None:
        """Record a regular answer of the worker.

        :param latency_s: time from the request to the answer, in seconds.
        """
        self.failures = 0
        self.unreachable = False
        self.estimate.observe(latency_s)
        known = self.latency_s
        self.latency_s = (
            latency_s if known is None else known + LATENCY_WEIGHT * (latency_s - known)
        )

    def record_cold_start(self, until: float, cause: ColdCause) -> None:
        """Record that the worker is taken to be cold until a time."""
        self.cold_until = until
        self.cold_cause = cause

    def record_failure(self, now: float, cold_s: float, *, unreachable: bool) -> None:
        """Record a failure that may mean that the worker is down.

        The backoff doubles with each consecutive failure, up to a maximum.

        :param cold_s: duration of the cold start once the worker is back.
        :param unreachable: whether the connection failed.
        """
        self.failures += 1
        self.failed_at = now
        backoff_s = min(INITIAL_BACKOFF_S * 2.0 ** (self.failures - 1), MAX_BACKOFF_S)
        self.backoff_until = now + backoff_s
        if unreachable:
            self.unreachable = True
            if now >= self.cold_until:
                self.cold_cause = ColdCause.UNREACHABLE
            self.cold_until = max(self.cold_until, self.backoff_until + cold_s)


@final
class WorkerDirectory:
    """Known workers of every service, indexed by service.

    All times are seconds on the monotonic clock.

    :param region_of: returns the region of a data centre.
    """

    def __init__(self, region_of: Callable[[str], str]) -> None:
        self._region_of = region_of
        self._views: dict[str, WorkerView] = {}
        self._services: dict[str, tuple[WorkerView, ...]] = {}
        self._estimates: dict[str, LatencyEstimate] = {}
        self._service_loads: dict[str, ServiceLoad] = {}
        self._evacuated: frozenset[str] = frozenset()
        self.limits: dict[str, ServiceLimits] = {}
        self.version = 0

    def __len__(self) -> int:
        return len(self._views)

    def get(self, worker: str) -> WorkerView | None:
        """Return a worker by its identifier, or none if it is unknown."""
        return self._views.get(worker)

    def cold_s(self, service: str) -> float:
        """Return the duration of the cold start of a service's workers, in seconds."""
        limits = self.limits.get(service)
        return 0.0 if limits is None else limits.cold_s

    def usable(self, service: str, now: float) -> tuple[WorkerView, ...]:
        """Return the workers of a service that may get requests.

        Workers that are draining, under evacuation or in backoff are left out.
        """
        return tuple(
            view
            for view in self._services.get(service, ())
            if now >= view.backoff_until
        )

    def known(self, service: str) -> tuple[WorkerView, ...]:
        """Return the workers of a service, including those in backoff.

        Workers that are draining or under evacuation are left out.
        """
        return self._services.get(service, ())

    def is_suspect(self, data_centre: str, now: float) -> bool:
        """Return whether several workers of a data centre could not be reached."""
        unreachable = (
            view
            for view in self._views.values()
            if view.unreachable
            and view.entry.data_centre == data_centre
            and now - view.failed_at <= SUSPECT_PERIOD_S
        )
        return sum(1 for _ in islice(unreachable, SUSPECT_WORKERS)) >= SUSPECT_WORKERS

    def describe(self, service: str, now: float) -> str:
        """Describe how many workers a service has and why some get no requests."""
        views = [v for v in self._views.values() if v.entry.service == service]
        counts = {
            "are draining": sum(view.entry.draining for view in views),
            "are in data centres under evacuation": sum(
                view.entry.data_centre in self._evacuated for view in views
            ),
            "pause after failures": sum(now < view.backoff_until for view in views),
            **{
                cause.value: sum(
                    now < view.cold_until and view.cold_cause is cause for view in views
                )
                for cause in ColdCause
            },
            "have had their share of requests": sum(
                view.rate.limit is not None
                and not view.rate.allowance.is_available(now)
                for view in views
            ),
            "are unresponsive": sum(now >= view.unresponsive_from() for view in views),
        }
        parts = [f"{count} {what}" for what, count in counts.items() if count]
        return ", ".join([f"{len(views)} workers known", *parts])

    @property
    def evacuated(self) -> frozenset[str]:
        """Data centres under evacuation; their workers get no requests."""
        return self._evacuated

    def put(self, entry: WorkerEntry, now: float) -> bool:
        """Add a worker or update its entry.

        :return: whether the set of workers changed; always true.
        """
        view = self._views.get(entry.id)
        if view is None:
            view = self._new_view(entry, now)
        elif view.entry.incarnation != entry.incarnation:
            view = self._restarted_view(view, entry, now)
        else:
            view.entry = entry
            if entry.cold_s > 0:
                view.record_cold_start(now + entry.cold_s, ColdCause.REPORTED)
        view.missing_until = None
        view.seen_at = now
        self._views[entry.id] = view
        self._rebuild_index()
        return True

    def remove(self, worker: str) -> None:
        """Remove a worker."""
        if self._views.pop(worker, None) is not None:
            self._rebuild_index()

    def mark_missing(self, worker: str, until: float) -> None:
        """Keep a worker for now whose entry may only have expired.

        :param until: time at which the worker is removed unless its
            entry comes back.
        """
        view = self._views.get(worker)
        if view is not None:
            view.missing_until = until

    def expire(self, now: float) -> tuple[str, ...]:
        """Remove the workers whose entries did not come back in time.

        :return: identifiers of the removed workers.
        """
        expired = tuple(
            name
            for name, view in self._views.items()
            if view.missing_until is not None and now >= view.missing_until
        )
        for name in expired:
            del self._views[name]
        if expired:
            self._rebuild_index()
        return expired

    def limited_count(self) -> int:
        """Return the number of workers that name a limit on their requests."""
        return sum(view.rate.limit is not None for view in self._views.values())

    def learn_rate_limit(self, report: RateLimitReport, now: float) -> bool:
        """Record what another instance observed; return whether it is new."""
        view = self._views.get(report.worker)
        return view is not None and view.rate.learn(report.limit, now - report.age_s)

    def rate_limit_reports(self, now: float, most: int) -> tuple[RateLimitReport, ...]:
        """Return recent own observations of limits, latest changes first, in turns.

        :param most: largest number of reports.
        """
        recent = (view for view in self._views.values() if view.rate.is_recent(now))
        due = nsmallest(most, recent, key=lambda view: view.rate.turn(now))
        return tuple(view.rate.report(view.entry.id, now) for view in due)

    def names(self) -> frozenset[str]:
        """Return the identifiers of all workers."""
        return frozenset(self._views)

    def evacuate(self, data_centres: frozenset[str], now: float) -> None:
        """Set the data centres whose workers get no requests.

        Workers of a data centre whose evacuation ends start cold, because they
        may have lost their cached objects.
        """
        returned = self._evacuated - data_centres
        for view in self._views.values():
            if view.entry.data_centre in returned:
                cold_s = self.cold_s(view.entry.service)
                until = max(view.cold_until, now + cold_s)
                view.record_cold_start(until, ColdCause.EVACUATED)
        self._evacuated = data_centres
        self._rebuild_index()

    def _new_view(self, entry: WorkerEntry, now: float) -> WorkerView:
        region = self._region_of(entry.data_centre)
        estimate = self._estimates.setdefault(entry.service, LatencyEstimate())
        service_load = self._service_loads.setdefault(entry.service, ServiceLoad())
        view = WorkerView(entry, region, now, estimate, service_load)
        if entry.cold_s > 0:
            view.cold_until = now + entry.cold_s
        return view

    def _restarted_view(
        self, old: WorkerView, entry: WorkerEntry, now: float
    ) -> WorkerView:
        view = self._new_view(entry, now)
        view.in_flight_since = old.in_flight_since
        # What others observed before concerns the former start.
        view.rate.observed_at = now
        cold_s = entry.cold_s or self.cold_s(entry.service)
        view.cold_until = now + cold_s
        return view

    def _rebuild_index(self) -> None:
        self.version += 1
        found: dict[str, list[WorkerView]] = {}
        for view in self._views.values():
            if view.entry.draining or view.entry.data_centre in self._evacuated:
                continue
            found.setdefault(view.entry.service, []).append(view)
        self._services = {service: tuple(views) for service, views in found.items()}
