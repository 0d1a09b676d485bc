"""When a request that got no answer yet is tried at a second worker."""

from __future__ import annotations

from dataclasses import dataclass
from math import inf
from typing import final

from sycamorenotch_policies.work._worker_work import ExpectedRun

# Smoothing factors of the moving averages of the latency and of its deviation.
MEAN_WEIGHT = 0.125
DEVIATION_WEIGHT = 0.25
TAIL_DEVIATIONS = 4.0
# A lost packet is sent again within this time, so less silence means nothing.
MIN_WAIT_S = 1.2
# Fraction of the time left that the first worker gets at the most. The rest has to
# suffice for the second one.
FIRST_WORKER_FRACTION = 0.5
# A tail beyond this fraction of the time left says that the service is slow as a
# whole. A second try would then add load and come too late.
MAX_TAIL_FRACTION = 0.75
# Multiple of its likely time that the second worker has before the deadline.
SECOND_WORKER_MARGIN = 1.5


@final
@dataclass(slots=True)
class LatencyEstimate:
    """Moving averages of the latency of a service's regular answers.

    :param mean_s: mean latency in seconds; ``None`` before the first answer.
    :param deviation_s: mean absolute deviation in seconds.
    """

    mean_s: float | None = None
    deviation_s: float = 0.0

    def observe(self, latency_s: float) -> None:
        """Add the latency of an answer, in seconds."""
        if self.mean_s is None:
            self.mean_s, self.deviation_s = latency_s, latency_s / 2
            return
        error = latency_s - self.mean_s
        self.mean_s += MEAN_WEIGHT * error
        self.deviation_s += DEVIATION_WEIGHT * (abs(error) - self.deviation_s)

    @property
    def tail_s(self) -> float | None:
        """Latency in seconds that few sound workers exceed, if it is known."""
        if self.mean_s is None:
            return None
        return self.mean_s + TAIL_DEVIATIONS * self.deviation_s


def overdue_run_s(
    run: ExpectedRun,
    tail_s: float,
    second_s: float,
    *,
    target_s: float,
    time_left_s: float,
) -> float:
    """Return after how long a run is so late that a second worker is tried.

    Three runs in a hundred take seven times the mean, so a run beyond the likely tail
    has most of its time before it.

    :param tail_s: cost at the usual speed that few runs of its kind exceed.
    :param second_s: likely time that another worker takes.
    :param target_s: latency up to which an answer has its full value.
    :param time_left_s: time until the deadline, at the start of the first attempt.
    :return: seconds since the start of the first attempt, infinite if no second
        worker should be tried for this reason.
    """
    late_s = run.round_trip_s + 2.0 * run.wait_s + tail_s * run.slowdown
    if late_s + second_s <= target_s:
        return late_s
    # The second answer would be late too, so the first one gets all the time that it
    # can have without the request failing.
    last_s = time_left_s - SECOND_WORKER_MARGIN * second_s
    return last_s if last_s >= late_s else inf


def overdue_after_s(
    estimate: LatencyEstimate,
    time_left_s: float,
    *,
    suspect: bool,
    run: ExpectedRun | None = None,
) -> float:
    """Return after how long without an answer a second worker is tried.

    Silence alone does not tell a worker that is at work from one that is gone, so
    the first attempt continues and its answer is used if it comes first.

    :param estimate: latencies of the service's answers to this instance.
    :param time_left_s: time until the deadline, at the start of the first attempt.
    :param suspect: whether other workers in the same data centre cannot be reached.
    :param run: what was expected of the first attempt; none without estimates.
    :return: seconds since the start of the first attempt, infinite if no second
        worker should be tried.
    """
    run_s = inf if run is None else run.overdue_s
    if suspect:
        return min(MIN_WAIT_S, run_s)
    tail_s = estimate.tail_s
    longest_s = FIRST_WORKER_FRACTION * time_left_s
    if tail_s is None:
        return min(run_s, max(MIN_WAIT_S, longest_s))
    if tail_s > MAX_TAIL_FRACTION * time_left_s:
        return run_s
    return min(run_s, max(MIN_WAIT_S, min(tail_s, longest_s)))
