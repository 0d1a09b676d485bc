"""Strategies that choose an upstream worker for a request."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta
from itertools import count
from typing import Protocol
from typing import final

from sycamorenotch_kernel import Worker
from sycamorenotch_kernel import upstream_choices
from sycamorenotch_policies._outcomes import Outcome
from sycamorenotch_policies._worker_state import LoadReport
from sycamorenotch_policies._worker_state import WorkerState
from sycamorenotch_policies._worker_table import ChoiceSetup
from sycamorenotch_policies._worker_table import WorkerTable

CANDIDATES = 2
MAX_DRAWS = 8
MAX_SCANNED_WORKERS = 64

NO_WORKERS_TRIED: frozenset[str] = frozenset()


@final
@dataclass(frozen=True, slots=True)
class Choice:
    """The worker chosen for a request.

    Each choice counts a request in flight; :meth:`UpstreamChoice.finish` has to
    be called when the request ends.

    :param reason: why the worker was chosen, as a whole sentence for the log.
    """

    worker: Worker
    reason: str


class UpstreamChoice(Protocol):
    """Strategy that chooses workers of one service on this instance."""

    @property
    def table(self) -> WorkerTable:
        """The workers and their state."""
        ...

    def update(self, workers: Iterable[Worker], now: timedelta) -> None:
        """Replace the set of workers."""
        ...

    def set_regions(self, weights: Mapping[str, float]) -> None:
        """Set the relative weight of each region; empty restores the default."""
        ...

    def choose(
        self, now: timedelta, tried: frozenset[str] = NO_WORKERS_TRIED
    ) -> Choice | None:
        """Choose a worker that was not tried and count the request in flight.

        :param tried: names of workers that received the request already.
        :return: none if no other worker can get the request.
        """
        ...

    def finish(
        self,
        worker: str,
        latency: timedelta,
        outcome: Outcome,
        now: timedelta,
        cause: str | None = None,
    ) -> None:
        """Record the outcome of a request.

        :param cause: signature of the request, so that one faulty request that
            fails repeatedly does not eject its workers.
        """
        ...

    def report(self, report: LoadReport) -> None:
        """Record a load report."""
        ...


class TableChoice:
    """Base class of the strategies that choose from a worker table."""

    def __init__(self, setup: ChoiceSetup) -> None:
        self._home_region = setup.region
        self._random = setup.random
        self._weights: Mapping[str, float] = {}
        self._default_weights: Mapping[str, float] = {self._home_region: 1.0}
        self.table = WorkerTable(setup)

    def update(self, workers: Iterable[Worker], now: timedelta) -> None:
        """Replace the set of workers."""
        deployed = tuple(workers)
        self.table.update(deployed, now)
        # The default uses the configured workers, not those usable at the
        # moment, because only the plan shifts requests to other regions.
        regions = {worker.region for worker in deployed}
        default = {self._home_region} if self._home_region in regions else regions
        self._default_weights = dict.fromkeys(
            sorted(default or {self._home_region}), 1.0
        )

    def set_regions(self, weights: Mapping[str, float]) -> None:
        """Set the relative weight of each region; empty restores the default."""
        self._weights = {region: w for region, w in weights.items() if w > 0}

    def finish(
        self,
        worker: str,
        latency: timedelta,
        outcome: Outcome,
        now: timedelta,
        cause: str | None = None,
    ) -> None:
        """Record the outcome of a request.

        :param cause: signature of the request, so that one faulty request that
            fails repeatedly does not eject its workers.
        """
        self.table.finish(worker, latency, outcome, now, cause)

    def report(self, report: LoadReport) -> None:
        """Record a load report."""
        self.table.report(report)

    def _draw_region(self) -> str:
        """Draw a region at random by weight; the home region is the default."""
        weights = self._weights or self._default_weights
        regions = tuple(weights)
        if len(regions) == 1:
            return regions[0]
        return self._random.choices(regions, tuple(weights.values()))[0]

    def _start(
        self, state: WorkerState | None, now: timedelta, reason: str
    ) -> Choice | None:
        if state is None or not self.table.start(state, now):
            return None
        return Choice(state.worker, reason)


@upstream_choices.register("two-choices")
@final
class TwoChoices(TableChoice):
    """Chooses the better of two random workers of a region."""

    def choose(
        self, now: timedelta, tried: frozenset[str] = NO_WORKERS_TRIED
    ) -> Choice | None:
        """Choose a worker that was not tried and count the request in flight.

        :param tried: names of workers that received the request already.
        :return: none if no other worker can get the request.
        """
        self.table.start_due_probes(now)
        region = self._draw_region()
        usable = self.table.usable(region)
        drawn = self._draw(usable, now, tried)
        if len(drawn) < CANDIDATES:
            drawn += self._scan(usable, now, tried)
        free = [s for s in drawn if s.in_flight < s.worker.slots]
        drawn = free or drawn
        best = min(drawn, key=lambda state: state.score(now), default=None)
        names = " and ".join(sorted(state.worker.name for state in drawn[:CANDIDATES]))
        reason = f"The best of {names} in region {region} was chosen."
        return self._start(best, now, reason)

    def _draw(
        self, usable: list[WorkerState], now: timedelta, tried: frozenset[str]
    ) -> list[WorkerState]:
        """Return up to two random workers with free slots, in bounded time."""
        drawn: list[WorkerState] = []
        for _ in range(MAX_DRAWS if usable else 0):
            state = usable[int(self._random.random() * len(usable))]
            free = state.in_flight < state.worker.slots
            if free and state not in drawn and _is_eligible(state, now, tried):
                drawn.append(state)
            if len(drawn) == min(CANDIDATES, len(usable)):
                break
        return drawn

    def _scan(
        self, usable: list[WorkerState], now: timedelta, tried: frozenset[str]
    ) -> list[WorkerState]:
        """Return the workers with room from a bounded section of the list."""
        length = min(len(usable), MAX_SCANNED_WORKERS)
        start = int(self._random.random() * len(usable))
        scanned = (usable[(start + step) % len(usable)] for step in range(length))
        return [state for state in scanned if _is_eligible(state, now, tried)]


@upstream_choices.register("round-robin")
@final
class RoundRobin(TableChoice):
    """Chooses the usable workers of all regions in turn; a baseline for comparison."""

    def __init__(self, setup: ChoiceSetup) -> None:
        super().__init__(setup)
        self._counter = count()

    def choose(
        self, now: timedelta, tried: frozenset[str] = NO_WORKERS_TRIED
    ) -> Choice | None:
        """Choose the next worker that was not tried and count the request in flight.

        :param tried: names of workers that received the request already.
        :return: none if no other worker can get the request.
        """
        self.table.start_due_probes(now)
        usable = [s for r in sorted(self.table.regions()) for s in self.table.usable(r)]
        untried = [s for s in usable if s.worker.name not in tried]
        state = untried[next(self._counter) % len(untried)] if untried else None
        return self._start(state, now, "The worker was next in round-robin order.")


@upstream_choices.register("nearest-region")
@final
class NearestRegion(TableChoice):
    """Chooses a random worker of the home region; a baseline for comparison."""

    def choose(
        self, now: timedelta, tried: frozenset[str] = NO_WORKERS_TRIED
    ) -> Choice | None:
        """Choose a worker that was not tried and count the request in flight.

        :param tried: names of workers that received the request already.
        :return: none if no other worker can get the request.
        """
        self.table.start_due_probes(now)
        region = self._draw_region()
        usable = self.table.usable(region)
        untried = [s for s in usable if s.worker.name not in tried]
        state = self._random.choice(untried) if untried else None
        return self._start(
            state, now, f"A random worker of region {region} was chosen."
        )


def _is_eligible(state: WorkerState, now: timedelta, tried: frozenset[str]) -> bool:
    return state.worker.name not in tried and state.has_room(now)
