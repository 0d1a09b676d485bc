"""State of one upstream worker, as one instance knows it."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from typing import final

from sycamorenotch_kernel import Worker
from sycamorenotch_policies._outcomes import Outcome

LATENCY_WEIGHT = 0.2
FAILURE_WEIGHT = 0.2
FAILURE_PENALTY_FACTOR = 10.0
TRUST_DECREASE_FACTOR = 0.5
TRUST_RECOVERY_STEP = 0.1
MIN_RAMP_SHARE = 0.1
ANSWERS_TO_REFUTE_FULL = 3


@final
@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load that a worker reports about itself.

    :param running: requests that the worker runs.
    :param slots: requests that the worker can run at once.
    :param at: monotonic time at which the report was read.
    """

    worker: str
    running: int
    slots: int
    at: timedelta

    @property
    def is_full(self) -> bool:
        """Whether the worker reports no free slot."""
        return self.running >= self.slots


@final
class WorkerState:
    """Observed outcomes and load reports of one worker.

    :param connections: this instance's share of the worker's connections.
    :param service_time: latency that is assumed before the first answer.
    :param stale_after: age at which a load report no longer counts.
    :param cold_start: duration of the ramp-up of a new worker.
    """

    def __init__(
        self,
        worker: Worker,
        connections: int,
        service_time: timedelta,
        stale_after: timedelta,
        cold_start: timedelta,
    ) -> None:
        self.worker = worker
        self.connections = connections
        self.quota: int | None = None
        self.in_flight = 0
        self.leaving_since: timedelta | None = None
        self.ejected_until: timedelta | None = None
        self.ejections = 0
        self.probing = False
        self.failures_in_row = 0
        self.cold_since: timedelta | None = None
        self.trust = 1.0
        self._latency_s = service_time.total_seconds()
        self._failure_share = 0.0
        self._last_cause: str | None = None
        self._report: LoadReport | None = None
        self._answers_since_report = 0
        self._stale_after = stale_after
        self._cold_start = cold_start

    @property
    def report(self) -> LoadReport | None:
        """The last load report, or none."""
        return self._report

    @property
    def failure_share(self) -> float:
        """Moving average of the share of requests that failed."""
        return self._failure_share

    @property
    def is_usable(self) -> bool:
        """Whether the worker is neither leaving nor ejected."""
        return self.leaving_since is None and self.ejected_until is None

    def has_room(self, now: timedelta) -> bool:
        """Return whether the worker may get one more request within its bounds.

        The bounds are its connections, its quota and its ramp-up; a worker that
        is probed gets one request at a time.
        """
        if self.probing:
            return self.in_flight == 0
        ramped = max(1.0, self.worker.slots * self._ramp(now))
        bound = self.connections if self.cold_since is None else ramped
        bound = min(bound, self.connections)
        return self.in_flight < (
            bound if self.quota is None else min(bound, self.quota)
        )

    def score(self, now: timedelta) -> float:
        """Return the expected cost of one more request; lower is better."""
        by_others = self._reported_by_others(now)
        load = (self.in_flight + 1 + by_others) / self.worker.slots
        penalty = 1 + FAILURE_PENALTY_FACTOR * self._failure_share
        return load * self._latency_s * penalty / self._ramp(now)

    def finish(self, latency: timedelta, outcome: Outcome, cause: str | None) -> None:
        """Record the outcome of an attempt.

        :param cause: signature of the request. Consecutive failures of the same
            request count only once against the worker.
        """
        self.in_flight -= 1
        if outcome is Outcome.CANCELLED:
            return
        failed = outcome.is_failure
        self._failure_share += FAILURE_WEIGHT * (failed - self._failure_share)
        if not failed:
            self.failures_in_row = 0
            self._last_cause = None
        elif cause is None or cause != self._last_cause:
            self.failures_in_row += 1
            self._last_cause = cause
        if outcome is Outcome.ANSWERED:
            self._answers_since_report += 1
            change = latency.total_seconds() - self._latency_s
            self._latency_s += LATENCY_WEIGHT * change

    def shed_contradicts_report(self, now: timedelta) -> bool:
        """Return whether a worker that shed a request had reported free slots.

        Such a contradiction reduces the weight of the worker's reports.
        """
        report = self._report
        if report is None or report.is_full or not self._report_weight(now):
            return False
        self.trust *= TRUST_DECREASE_FACTOR
        return True

    def accept_report(self, report: LoadReport) -> bool:
        """Replace the load report.

        :return: whether it contradicts the outcomes since the previous report.
        """
        answered = self._answers_since_report
        # A full worker sheds requests. Several answers between two reports of
        # a full worker therefore refute the reports.
        was_full = self._report is not None and self._report.is_full
        refuted = was_full and report.is_full and answered >= ANSWERS_TO_REFUTE_FULL
        self._report = report
        self._answers_since_report = 0
        if refuted:
            self.trust *= TRUST_DECREASE_FACTOR
        else:
            self.trust = min(1.0, self.trust + TRUST_RECOVERY_STEP)
        return refuted

    def start_cold(self, now: timedelta) -> None:
        """Start the ramp-up of a worker that is new or usable again."""
        self.cold_since = now
        self._failure_share = 0.0
        self.failures_in_row = 0

    def _reported_by_others(self, now: timedelta) -> float:
        if self._report is None:
            return 0.0
        return self._report_weight(now) * max(0, self._report.running - self.in_flight)

    def _report_weight(self, now: timedelta) -> float:
        if self._report is None:
            return 0.0
        age = now - self._report.at
        return self.trust * max(0.0, 1 - age / self._stale_after)

    def _ramp(self, now: timedelta) -> float:
        if self.cold_since is None:
            return 1.0
        share = (now - self.cold_since) / self._cold_start
        if share >= 1:
            self.cold_since = None
            return 1.0
        return max(MIN_RAMP_SHARE, share)
