"""Logs how good the estimates of work are."""

from __future__ import annotations

from typing import final

from sycamorenotch_gateway._worker_events import WorkEstimated
from sycamorenotch_kernel import EventSink
from sycamorenotch_policies import WorkerDirectory

REPORT_INTERVAL_S = 60.0


@final
class WorkLog:
    """Reports, for each service with estimates, how far answers were from them.

    :param directory: workers, with what is known of their services' work.
    """

    def __init__(self, directory: WorkerDirectory, sink: EventSink) -> None:
        self._directory = directory
        self._sink = sink
        self._next_at: float | None = None
        self._reported: dict[str, list[int]] = {}

    def turn(self, now: float) -> None:
        """Report the answers since the last report, if one is due.

        :param now: monotonic time in seconds.
        """
        if self._next_at is None:
            self._next_at = now + REPORT_INTERVAL_S
        if now < self._next_at:
            return
        self._next_at = now + REPORT_INTERVAL_S
        for service, work in self._directory.service_work.items():
            before = self._reported.get(service, [0] * len(work.errors))
            counts = [n - b for n, b in zip(work.errors, before, strict=True)]
            self._reported[service] = list(work.errors)
            if not sum(counts):
                continue
            below_50, to_80, to_125, to_200, to_400, above_400 = counts
            self._sink.emit(
                WorkEstimated(
                    service,
                    below_50,
                    to_80,
                    to_125,
                    to_200,
                    to_400,
                    above_400,
                    round(work.costs.overall.mean_s, 3),
                    round(work.usual_slowdown, 2),
                )
            )
