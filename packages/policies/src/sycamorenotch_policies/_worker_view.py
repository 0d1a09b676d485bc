"""One worker as an instance sees it: entry, load reports and observed outcomes."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from enum import unique
from math import inf
from typing import final

from sycamorenotch_kernel import LoadReport
from sycamorenotch_kernel import WorkerEntry
from sycamorenotch_policies._growth import doubled_s
from sycamorenotch_policies._overdue import MIN_WAIT_S
from sycamorenotch_policies._overdue import LatencyEstimate
from sycamorenotch_policies._rate_limit import WorkerRateLimit
from sycamorenotch_policies._service_load import ServiceLoad
from sycamorenotch_policies.work._worker_work import ExpectedRun
from sycamorenotch_policies.work._worker_work import WorkerWork

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
    :param paused_until: end of the pause that the worker asked this instance for.
    :param unreachable: whether the worker could not be connected to since its
        last regular answer.
    :param cold_until: end of the cold start, with a limited request rate.
    :param cold_cause: why the worker is taken to be cold until then.
    :param missing_until: time at which the worker is removed unless its expired
        entry comes back; none while the entry is present.
    :param revision: revision at which the entry was written.
    :param leaving: whether the worker is about to stop, by its entry or its answers, or
        is gone and only its former entry is back.
    :param estimate: latency of the answers of all workers of the service.
    :param service_load: mean load of all workers of the service.
    :param failed_at: time of the last failure.
    :param rate: limit that the worker names on the requests of all instances.
    :param latency_s: moving average of the latency of regular answers.
    :param last_answer_at: time of the last answer to this instance.
    :param last_sent_at: time of the last request of this instance.
    :param sent: send times of the requests of the last second.
    :param load_ignored: whether figures of its load reports had to be ignored.
    :param work: runs in flight, speed and warm objects.
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
    paused_until: float = -1e9
    unreachable: bool = False
    cold_until: float = -1e9
    cold_cause: ColdCause = ColdCause.REPORTED
    missing_until: float | None = None
    revision: int = 0
    leaving: bool = False
    rate: WorkerRateLimit = field(default_factory=WorkerRateLimit)
    latency_s: float | None = None
    last_answer_at: float = -1e9
    last_sent_at: float = -1e9
    sent: deque[float] = field(default_factory=deque)
    load_ignored: bool = False
    work: WorkerWork = field(default_factory=WorkerWork)
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
        if report.slowdown is not None:
            self.work.observe_slowdown(report.slowdown, now)

    def record_start(self, now: float, run: ExpectedRun | None = None) -> None:
        """Record that a request is sent.

        :param run: what is expected of it, if there are estimates.
        """
        if run is not None:
            self.work.start(run, now)
        if self.rate.limit is not None:
            self.rate.allowance.take(now)
        self.in_flight_since.append(now)
        self.sent.append(now)
        self.last_sent_at = now
        while self.sent and self.sent[0] <= now - 1.0:
            self.sent.popleft()

    def record_end(self, begun: float, run: ExpectedRun | None = None) -> None:
        """Record that a request is no longer in flight.

        :param begun: time that was passed to :meth:`record_start`.
        :param run: expectation that was passed to it.
        """
        if run is not None:
            self.work.end(run)
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

    def record_pause(self, now: float, pause_s: float) -> bool:
        """Record that the worker wants no requests of this instance for a while.

        :param pause_s: length of the pause, in seconds.
        :return: whether no pause was in force.
        """
        is_new = now >= self.paused_until
        self.paused_until = max(self.paused_until, now + pause_s)
        return is_new

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
        backoff_s = doubled_s(INITIAL_BACKOFF_S, self.failures - 1, MAX_BACKOFF_S)
        self.backoff_until = now + backoff_s
        if unreachable:
            self.unreachable = True
            if now >= self.cold_until:
                self.cold_cause = ColdCause.UNREACHABLE
            self.cold_until = max(self.cold_until, self.backoff_until + cold_s)
