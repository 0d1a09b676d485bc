"""Records calls against service-level objectives and raises burn-rate alarms."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from datetime import timedelta
from typing import ClassVar
from typing import final

from hdrh.histogram import HdrHistogram
from twisted.internet.task import LoopingCall

from sycamorenotch_daemon._calls import CallPipeline
from sycamorenotch_daemon._metrics import outcome_of
from sycamorenotch_daemon._node import Node
from sycamorenotch_daemon._node import ServedConfiguration
from sycamorenotch_kernel import BurnAlarm
from sycamorenotch_kernel import BurnCounts
from sycamorenotch_kernel import BurnTarget
from sycamorenotch_kernel import BurnWindow
from sycamorenotch_kernel import Call
from sycamorenotch_kernel import CallResult
from sycamorenotch_kernel import DecisionId
from sycamorenotch_kernel import Event
from sycamorenotch_kernel import Objective
from sycamorenotch_kernel import Rank
from sycamorenotch_kernel import Severity
from sycamorenotch_kernel import components
from sycamorenotch_kernel import event
from sycamorenotch_kernel import raised_alarms
from sycamorenotch_policies import CountRing
from sycamorenotch_policies import WindowedCounts

MIN_LATENCY_MS = 1
MAX_LATENCY_MS = 3_600_000
LATENCY_SIGNIFICANT_DIGITS = 2
MAX_DECISIONS_PER_KIND = 5
CHECK_INTERVAL = timedelta(minutes=1)
SPENT_RESOLUTION = timedelta(hours=1)
MIN_SERVER_ERROR_STATUS = 500
SLOW_KIND = "slow"


@event(2410, "burn.alarm-raised", Severity.WARNING)
@final
@dataclass(frozen=True, slots=True)
class BurnAlarmRaised(Event):
    """The burn rate of an objective on this instance exceeds the alarm's threshold."""

    service: str
    rank: str
    alarm: str


@event(2411, "burn.alarm-cleared")
@final
@dataclass(frozen=True, slots=True)
class BurnAlarmCleared(Event):
    """The burn rate on this instance no longer exceeds the alarm's threshold."""

    service: str
    rank: str
    alarm: str


@final
@dataclass(frozen=True, slots=True)
class FailureKindCount:
    """Failed or slow calls of one kind in the longest window.

    :param kind: an error kind, ``slow``, or the class of an upstream's status.
    :param count: number of calls; each of them spent error budget.
    :param decisions: identifiers of the newest calls of this kind.
    """

    kind: str
    count: int
    decisions: tuple[DecisionId, ...]


@final
class ObjectiveRecorder:
    """Counts, latencies and failure kinds of one objective."""

    def __init__(self, objective: Objective) -> None:
        self.objective = objective
        self.alarms: frozenset[BurnAlarm] = frozenset()
        self._counts = WindowedCounts()
        self._histogram = HdrHistogram(
            MIN_LATENCY_MS, MAX_LATENCY_MS, LATENCY_SIGNIFICANT_DIGITS
        )
        self._spent: dict[str, CountRing] = {}
        self._decisions: dict[str, deque[DecisionId]] = {}

    @property
    def target(self) -> BurnTarget:
        """The target shares of the objective."""
        objective = self.objective
        return BurnTarget(objective.availability, objective.latency_share)

    def record(
        self, now: timedelta, call: Call, result: CallResult, latency: timedelta
    ) -> None:
        """Record one finished call."""
        milliseconds = max(MIN_LATENCY_MS, latency // timedelta(milliseconds=1))
        self._histogram.record_value(min(milliseconds, MAX_LATENCY_MS))
        failed = _status(result) >= MIN_SERVER_ERROR_STATUS
        slow = not failed and latency > self.objective.latency
        counts = BurnCounts(1, int(failed), int(slow))
        self._counts.add(now, counts)
        if failed or slow:
            kind = outcome_of(result) if failed else SLOW_KIND
            self._record_spent(now, kind, counts, call.id)

    def _record_spent(
        self, now: timedelta, kind: str, counts: BurnCounts, decision: DecisionId
    ) -> None:
        longest_window = BurnWindow.THREE_DAYS.length
        ring = self._spent.setdefault(kind, CountRing(SPENT_RESOLUTION, longest_window))
        ring.add(now, counts)
        newest = self._decisions.setdefault(kind, deque(maxlen=MAX_DECISIONS_PER_KIND))
        newest.append(decision)

    def counts(self, now: timedelta) -> dict[BurnWindow, BurnCounts]:
        """Return the counts by window; every window ends now."""
        return self._counts.counts(now)

    def failure_kinds(self, now: timedelta) -> tuple[FailureKindCount, ...]:
        """Return the kinds of failure that spent error budget, the largest first."""
        longest_window = BurnWindow.THREE_DAYS.length
        unsorted_kinds = (
            FailureKindCount(
                kind,
                ring.counts(now, longest_window).total,
                tuple(self._decisions[kind]),
            )
            for kind, ring in self._spent.items()
        )
        return tuple(sorted(unsorted_kinds, key=lambda item: (-item.count, item.kind)))

    def encoded_histogram(self) -> str:
        """Return the latency histogram since the start as mergeable HDR V2 text."""
        return str(self._histogram.encode().decode())


@components.register("burn")
@final
class BurnRecorder:
    """Records every call against the objectives of the document in force."""

    after: ClassVar[tuple[str, ...]] = ("calls", "metrics")

    def __init__(self, node: Node) -> None:
        self._node = node
        self._recorders: dict[tuple[str, Rank], ObjectiveRecorder] = {}
        self._check = LoopingCall(self._on_check)
        self._check.clock = node.reactor
        node.provide(BurnRecorder, self)
        node.configuration.subscribe(self._on_configuration)
        node.require(CallPipeline).observe(self._on_call)

    async def start(self) -> None:
        """Start to check the alarms periodically."""
        self._check.start(CHECK_INTERVAL.total_seconds(), now=False)

    async def stop(self) -> None:
        """Stop checking the alarms."""
        if self._check.running:
            self._check.stop()

    @property
    def recorders(self) -> tuple[ObjectiveRecorder, ...]:
        """The recorders, in the document's order of objectives."""
        return tuple(self._recorders.values())

    def _on_configuration(self, in_force: ServedConfiguration) -> None:
        objectives = {
            (item.service, item.rank): item for item in in_force.environment.objectives
        }
        previous = self._recorders
        self._recorders = {
            key: previous.get(key, ObjectiveRecorder(item))
            for key, item in objectives.items()
        }
        for key, item in objectives.items():
            self._recorders[key].objective = item

    def _on_call(self, call: Call, result: CallResult, latency: timedelta) -> None:
        recorder = self._recorders.get((call.route.service, call.rank))
        if recorder is not None:
            recorder.record(self._node.clock.monotonic(), call, result, latency)

    def _on_check(self) -> None:
        now = self._node.clock.monotonic()
        for recorder in self.recorders:
            raised = frozenset(raised_alarms(recorder.target, recorder.counts(now)))
            self._report_alarms(recorder, raised)
            recorder.alarms = raised

    def _report_alarms(
        self, recorder: ObjectiveRecorder, raised: frozenset[BurnAlarm]
    ) -> None:
        service, rank = recorder.objective.service, recorder.objective.rank.label
        for alarm in BurnAlarm:
            if alarm in raised - recorder.alarms:
                self._node.sink.emit(BurnAlarmRaised(service, rank, alarm.value))
            if alarm in recorder.alarms - raised:
                self._node.sink.emit(BurnAlarmCleared(service, rank, alarm.value))


def _status(result: CallResult) -> int:
    return result.error.answer.status if result.is_error() else result.ok.status
