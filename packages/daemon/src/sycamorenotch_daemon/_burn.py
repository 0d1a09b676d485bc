"""Records how each service-level objective is met."""

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
from sycamorenotch_daemon._node import InForce
from sycamorenotch_daemon._node import Node
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

LOWEST_LATENCY_MS = 1
HIGHEST_LATENCY_MS = 3_600_000
LATENCY_DIGITS = 2
DECISIONS_KEPT = 5
CHECK_INTERVAL = timedelta(minutes=1)
SPENT_STEP = timedelta(hours=1)
SERVER_ERROR = 500
SLOW = "slow"


@event(2410, "burn.alarm-raised", Severity.WARNING)
@final
@dataclass(frozen=True, slots=True)
class BurnAlarmRaised(Event):
    """This instance spends an objective's error budget too fast."""

    service: str
    rank: str
    alarm: str


@event(2411, "burn.alarm-cleared")
@final
@dataclass(frozen=True, slots=True)
class BurnAlarmCleared(Event):
    """This instance no longer spends an objective's error budget too fast."""

    service: str
    rank: str
    alarm: str


@final
@dataclass(frozen=True, slots=True)
class Spender:
    """A cause that spent error budget in the longest window.

    :param kind: an error kind, ``slow``, or the class of an upstream's status.
    :param decisions: the newest decisions of this kind.
    """

    kind: str
    count: int
    decisions: tuple[DecisionId, ...]


@final
class ObjectiveRecorder:
    """Counts, latencies and spenders of one objective."""

    def __init__(self, objective: Objective) -> None:
        self.objective = objective
        self.alarms: frozenset[BurnAlarm] = frozenset()
        self._counts = WindowedCounts()
        self._histogram = HdrHistogram(
            LOWEST_LATENCY_MS, HIGHEST_LATENCY_MS, LATENCY_DIGITS
        )
        self._spent: dict[str, CountRing] = {}
        self._decisions: dict[str, deque[DecisionId]] = {}

    @property
    def target(self) -> BurnTarget:
        """The shares that the objective asks for."""
        objective = self.objective
        return BurnTarget(objective.availability, objective.latency_share)

    def record(
        self, now: timedelta, call: Call, result: CallResult, latency: timedelta
    ) -> None:
        """Count one finished call."""
        milliseconds = max(LOWEST_LATENCY_MS, latency // timedelta(milliseconds=1))
        self._histogram.record_value(min(milliseconds, HIGHEST_LATENCY_MS))
        failed = _status(result) >= SERVER_ERROR
        slow = not failed and latency > self.objective.latency
        counts = BurnCounts(1, int(failed), int(slow))
        self._counts.add(now, counts)
        if failed or slow:
            kind = outcome_of(result) if failed else SLOW
            self._spend(now, kind, counts, call.id)

    def _spend(
        self, now: timedelta, kind: str, counts: BurnCounts, decision: DecisionId
    ) -> None:
        longest = BurnWindow.THREE_DAYS.length
        ring = self._spent.setdefault(kind, CountRing(SPENT_STEP, longest))
        ring.add(now, counts)
        newest = self._decisions.setdefault(kind, deque(maxlen=DECISIONS_KEPT))
        newest.append(decision)

    def counts(self, now: timedelta) -> dict[BurnWindow, BurnCounts]:
        """Return the counts of every window that ends now."""
        return self._counts.counts(now)

    def spenders(self, now: timedelta) -> tuple[Spender, ...]:
        """Return what spent the budget, the largest first."""
        longest = BurnWindow.THREE_DAYS.length
        found = (
            Spender(kind, ring.counts(now, longest).total, tuple(self._decisions[kind]))
            for kind, ring in self._spent.items()
        )
        return tuple(sorted(found, key=lambda item: (-item.count, item.kind)))

    def encoded_histogram(self) -> str:
        """Return the latencies since the start, in a form that can be merged."""
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
        """Start to check the alarms."""
        self._check.start(CHECK_INTERVAL.total_seconds(), now=False)

    async def stop(self) -> None:
        """Stop checking."""
        if self._check.running:
            self._check.stop()

    @property
    def recorders(self) -> tuple[ObjectiveRecorder, ...]:
        """The recorders, in the order of the document."""
        return tuple(self._recorders.values())

    def _on_configuration(self, in_force: InForce) -> None:
        objectives = {
            (item.service, item.rank): item for item in in_force.environment.objectives
        }
        kept = self._recorders
        self._recorders = {
            key: kept.get(key, ObjectiveRecorder(item))
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
            self._report(recorder, raised)
            recorder.alarms = raised

    def _report(
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
