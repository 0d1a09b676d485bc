"""Workers of one service, grouped by region for random choice in constant time."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta
from heapq import heappop
from heapq import heappush
from itertools import chain
from random import Random
from typing import final

from sycamorenotch_kernel import Bounds
from sycamorenotch_kernel import EventSink
from sycamorenotch_kernel import Invariant
from sycamorenotch_kernel import InvariantMonitor
from sycamorenotch_kernel import Worker
from sycamorenotch_policies._choice_events import EjectionBounded
from sycamorenotch_policies._choice_events import LoadReportContradicted
from sycamorenotch_policies._choice_events import WorkerEjected
from sycamorenotch_policies._choice_events import WorkerLeaving
from sycamorenotch_policies._choice_events import WorkerProbing
from sycamorenotch_policies._choice_events import WorkerReadmitted
from sycamorenotch_policies._outcomes import Outcome
from sycamorenotch_policies._worker_state import LoadReport
from sycamorenotch_policies._worker_state import WorkerState

FAILURES_TO_EJECT = 3
MAX_EJECTED_SHARE = 0.5
BASE_EJECTION_TIME = timedelta(seconds=5)
MAX_EJECTION_TIME = timedelta(seconds=60)
MAX_DOUBLINGS = 4


@final
@dataclass(frozen=True, slots=True)
class ChoiceSetup:
    """Dependencies and parameters of an upstream choice.

    :param region: the instance's own region.
    :param service_time: expected service time of one request.
    :param instances: number of instances that share each worker's connections.
    """

    region: str
    service_time: timedelta
    instances: int
    bounds: Bounds
    random: Random
    sink: EventSink
    invariants: InvariantMonitor


@final
class _UsableWorkers:
    """List of workers with removal in constant time."""

    def __init__(self) -> None:
        self.items: list[WorkerState] = []
        self._index: dict[str, int] = {}

    def add(self, state: WorkerState) -> None:
        """Add a worker unless it is already present."""
        if state.worker.name not in self._index:
            self._index[state.worker.name] = len(self.items)
            self.items.append(state)

    def discard(self, state: WorkerState) -> None:
        """Remove a worker if present; the last one takes its position."""
        index = self._index.pop(state.worker.name, None)
        if index is None:
            return
        last = self.items.pop()
        if last is not state:
            self.items[index] = last
            self._index[last.worker.name] = index


@final
class WorkerTable:
    """Per-worker state of one service, with outlier ejection and probing."""

    def __init__(self, setup: ChoiceSetup) -> None:
        self._setup = setup
        self._usable: dict[str, _UsableWorkers] = {}
        self._ejected: list[tuple[timedelta, str]] = []
        self._instances = max(1, setup.instances)
        self.states: dict[str, WorkerState] = {}

    def update(self, workers: Iterable[Worker], now: timedelta) -> None:
        """Replace the set of workers and keep the state of unchanged ones.

        Workers of the first set are assumed to be warm; later ones start cold.
        """
        is_first = not self.states
        wanted = {worker.name: worker for worker in workers}
        for name in self.states.keys() - wanted.keys():
            self._remove(self.states.pop(name))
        for worker in wanted.values():
            known = self.states.get(worker.name)
            if known is None or known.worker != worker:
                self._replace(worker, None if is_first else now)

    def resize(self, instances: int) -> None:
        """Divide the connections of each worker among a number of instances."""
        self._instances = max(1, instances)
        for state in self.states.values():
            state.connections = self._connections(state.worker)

    def set_quotas(self, region: str, quotas: Mapping[str, int]) -> None:
        """Bound the requests in flight on each worker of a region.

        A worker without a quota may still run one request, so that its recovery
        is detected before the next plan.
        """
        for state in self.usable(region):
            state.quota = max(1, quotas.get(state.worker.name, 0))

    def regions(self) -> Mapping[str, int]:
        """Return the number of usable workers in each region."""
        return {region: len(usable.items) for region, usable in self._usable.items()}

    def deployed_in(self, region: str) -> bool:
        """Return whether the service has a worker in a region."""
        return any(state.worker.region == region for state in self.states.values())

    def usable_slots(self, region: str | None) -> int:
        """Return the slots of the usable workers of one or of every region."""
        regions = self._usable if region is None else (region,)
        usable = chain.from_iterable(map(self.usable, regions))
        return sum(state.worker.slots for state in usable)

    def usable(self, region: str) -> list[WorkerState]:
        """Return the usable workers of a region; callers must not change the list."""
        found = self._usable.get(region)
        return [] if found is None else found.items

    def start(self, state: WorkerState, now: timedelta) -> bool:
        """Count a new request on a worker.

        :return: whether the worker may get the request; false if it has been
            leaving for too long.
        """
        since = state.leaving_since
        allowed = since is None or now - since <= self._setup.bounds.leaving
        detail = f"{state.worker.name} has been leaving since {since}"
        if not self._setup.invariants.holds(Invariant.I7, allowed, detail):
            return False
        state.in_flight += 1
        return True

    def finish(
        self,
        name: str,
        latency: timedelta,
        outcome: Outcome,
        now: timedelta,
        cause: str | None,
    ) -> None:
        """Record the outcome of a request and eject or readmit the worker."""
        state = self.states.get(name)
        # A worker that was removed and added again no longer counts the requests that
        # were sent before.
        if state is None or not state.in_flight:
            return
        state.finish(latency, outcome, cause)
        if outcome is Outcome.SHED and state.shed_contradicts_report(now):
            self._setup.sink.emit(LoadReportContradicted(name, round(state.trust, 3)))
        if state.probing and outcome is not Outcome.CANCELLED:
            self._finish_probe(state, outcome, now)
        elif state.failures_in_row >= FAILURES_TO_EJECT and state.is_usable:
            self._eject(state, now)

    def report(self, report: LoadReport) -> None:
        """Record a load report."""
        state = self.states.get(report.worker)
        if state is not None and state.accept_report(report):
            contradicted = LoadReportContradicted(report.worker, round(state.trust, 3))
            self._setup.sink.emit(contradicted)

    def mark_leaving(self, name: str, now: timedelta) -> None:
        """Stop sending new requests to a worker that is leaving."""
        state = self.states.get(name)
        if state is None or state.leaving_since is not None:
            return
        state.leaving_since = now
        self._usable_of(state).discard(state)
        self._setup.sink.emit(WorkerLeaving(name))

    def mark_live(self, name: str, now: timedelta) -> None:
        """Ramp up a worker that is no longer leaving."""
        state = self.states.get(name)
        if state is None or state.leaving_since is None:
            return
        state.leaving_since = None
        self._readmit(state, now)

    def start_due_probes(self, now: timedelta) -> None:
        """Start probing the workers whose ejection time is over."""
        while self._ejected and self._ejected[0][0] <= now:
            until, name = heappop(self._ejected)
            state = self.states.get(name)
            if state is None or state.ejected_until != until:
                continue
            state.ejected_until = None
            if state.leaving_since is None:
                state.probing = True
                self._usable_of(state).add(state)
                self._setup.sink.emit(WorkerProbing(name))

    def _replace(self, worker: Worker, cold_since: timedelta | None) -> None:
        old = self.states.get(worker.name)
        if old is not None:
            self._remove(old)
        bounds = self._setup.bounds
        state = WorkerState(
            worker,
            self._connections(worker),
            self._setup.service_time,
            bounds.stale_after,
            bounds.cold_start,
        )
        state.cold_since = cold_since
        state.in_flight = 0 if old is None else old.in_flight
        self.states[worker.name] = state
        self._usable_of(state).add(state)

    def _connections(self, worker: Worker) -> int:
        return max(1, worker.connections // self._instances)

    def _usable_of(self, state: WorkerState) -> _UsableWorkers:
        return self._usable.setdefault(state.worker.region, _UsableWorkers())

    def _remove(self, state: WorkerState) -> None:
        self._usable_of(state).discard(state)

    def _finish_probe(
        self, state: WorkerState, outcome: Outcome, now: timedelta
    ) -> None:
        state.probing = False
        if outcome.is_failure:
            self._eject(state, now)
            return
        state.ejections = 0
        self._readmit(state, now)

    def _readmit(self, state: WorkerState, now: timedelta) -> None:
        state.start_cold(now)
        if state.ejected_until is None:
            self._usable_of(state).add(state)
        self._setup.sink.emit(WorkerReadmitted(state.worker.name))

    def _eject(self, state: WorkerState, now: timedelta) -> None:
        name, region = state.worker.name, state.worker.region
        deployed = [s for s in self.states.values() if s.worker.region == region]
        ejected = sum(s.ejected_until is not None for s in deployed)
        if ejected + 1 > len(deployed) * MAX_EJECTED_SHARE:
            state.failures_in_row = 0
            self._setup.sink.emit(EjectionBounded(name, ejected, len(deployed)))
            return
        doublings = min(state.ejections, MAX_DOUBLINGS)
        period = min(MAX_EJECTION_TIME, BASE_EJECTION_TIME * 2**doublings)
        # Jitter keeps the instances from probing a worker at the same time.
        period *= 1 + self._setup.random.random() / 4
        state.ejected_until = now + period
        state.ejections += 1
        self._usable_of(state).discard(state)
        heappush(self._ejected, (state.ejected_until, name))
        event = WorkerEjected(name, period.total_seconds(), state.failures_in_row)
        self._setup.sink.emit(event)
