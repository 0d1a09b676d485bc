"""Choice of an upstream worker for one request."""

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

DRAWS = 2
MAXIMUM_DRAWS = 8
MAXIMUM_SCAN = 64

NOTHING_TRIED: frozenset[str] = frozenset()


@final
@dataclass(frozen=True, slots=True)
class Choice:
    """A worker for one request; the request must be finished later.

    :param reason: whole sentence for the record.
    """

    worker: Worker
    reason: str


class UpstreamChoice(Protocol):
    """Chooses workers of one service on this instance."""

    @property
    def table(self) -> WorkerTable:
        """The workers and what is known about them."""
        ...

    def update(self, workers: Iterable[Worker], now: timedelta) -> None:
        """Replace the set of workers."""
        ...

    def set_regions(self, weights: Mapping[str, float]) -> None:
        """Set the share of requests for each region; empty is the default."""
        ...

    def choose(
        self, now: timedelta, tried: frozenset[str] = NOTHING_TRIED
    ) -> Choice | None:
        """Choose a worker that was not tried and count the request."""
        ...

    def finish(
        self,
        worker: str,
        latency: timedelta,
        outcome: Outcome,
        now: timedelta,
        cause: str | None = None,
    ) -> None:
        """Count the end of a request."""
        ...

    def report(self, report: LoadReport) -> None:
        """Take in a load report."""
        ...


class TableChoice:
    """Base class of the choices that draw from a worker table."""

    def __init__(self, setup: ChoiceSetup) -> None:
        self._home = setup.region
        self._random = setup.random
        self._weights: Mapping[str, float] = {}
        self._default_weights: Mapping[str, float] = {self._home: 1.0}
        self.table = WorkerTable(setup)

    def update(self, workers: Iterable[Worker], now: timedelta) -> None:
        """Replace the set of workers."""
        deployed = tuple(workers)
        self.table.update(deployed, now)
        # The regions of the document count, not those usable at the moment,
        # because moves to other regions belong to the plan.
        regions = {worker.region for worker in deployed}
        default = {self._home} if self._home in regions else regions
        self._default_weights = dict.fromkeys(sorted(default or {self._home}), 1.0)

    def set_regions(self, weights: Mapping[str, float]) -> None:
        """Set the share of requests for each region; empty is the default."""
        self._weights = {region: w for region, w in weights.items() if w > 0}

    def finish(
        self,
        worker: str,
        latency: timedelta,
        outcome: Outcome,
        now: timedelta,
        cause: str | None = None,
    ) -> None:
        """Count the end of a request."""
        self.table.finish(worker, latency, outcome, now, cause)

    def report(self, report: LoadReport) -> None:
        """Take in a load report."""
        self.table.report(report)

    def _region(self) -> str:
        """Draw a region by weight; the home region is the default."""
        weights = self._weights or self._default_weights
        regions = tuple(weights)
        if len(regions) == 1:
            return regions[0]
        return self._random.choices(regions, tuple(weights.values()))[0]

    def _take(
        self, state: WorkerState | None, now: timedelta, reason: str
    ) -> Choice | None:
        if state is None or not self.table.start(state, now):
            return None
        return Choice(state.worker, reason)


@upstream_choices.register("two-choices")
@final
class TwoChoices(TableChoice):
    """Takes the better of two random workers of a region."""

    def choose(
        self, now: timedelta, tried: frozenset[str] = NOTHING_TRIED
    ) -> Choice | None:
        """Choose a worker that was not tried and count the request."""
        self.table.wake(now)
        region = self._region()
        usable = self.table.usable(region)
        drawn = self._draw(usable, now, tried)
        if len(drawn) < DRAWS:
            drawn += self._scan(usable, now, tried)
        free = [s for s in drawn if s.in_flight < s.worker.slots]
        drawn = free or drawn
        best = min(drawn, key=lambda state: state.score(now), default=None)
        names = " and ".join(sorted(state.worker.name for state in drawn[:DRAWS]))
        reason = f"The best of {names} in region {region} was chosen."
        return self._take(best, now, reason)

    def _draw(
        self, usable: list[WorkerState], now: timedelta, tried: frozenset[str]
    ) -> list[WorkerState]:
        """Draw up to two workers with free slots, in a bounded number of draws."""
        drawn: list[WorkerState] = []
        for _ in range(MAXIMUM_DRAWS if usable else 0):
            state = usable[int(self._random.random() * len(usable))]
            free = state.in_flight < state.worker.slots
            if free and state not in drawn and _fits(state, now, tried):
                drawn.append(state)
            if len(drawn) == min(DRAWS, len(usable)):
                break
        return drawn

    def _scan(
        self, usable: list[WorkerState], now: timedelta, tried: frozenset[str]
    ) -> list[WorkerState]:
        """Return the workers with room in a bounded part of the list."""
        length = min(len(usable), MAXIMUM_SCAN)
        start = int(self._random.random() * len(usable))
        part = (usable[(start + step) % len(usable)] for step in range(length))
        return [state for state in part if _fits(state, now, tried)]


@upstream_choices.register("round-robin")
@final
class RoundRobin(TableChoice):
    """Takes the usable workers of all regions in turn; a baseline."""

    def __init__(self, setup: ChoiceSetup) -> None:
        super().__init__(setup)
        self._turn = count()

    def choose(
        self, now: timedelta, tried: frozenset[str] = NOTHING_TRIED
    ) -> Choice | None:
        """Choose the next worker that was not tried and count the request."""
        self.table.wake(now)
        usable = [s for r in sorted(self.table.regions()) for s in self.table.usable(r)]
        untried = [s for s in usable if s.worker.name not in tried]
        state = untried[next(self._turn) % len(untried)] if untried else None
        return self._take(state, now, "It was the worker's turn.")


@upstream_choices.register("nearest-region")
@final
class NearestRegion(TableChoice):
    """Takes a random worker of the home region; a baseline."""

    def choose(
        self, now: timedelta, tried: frozenset[str] = NOTHING_TRIED
    ) -> Choice | None:
        """Choose a worker that was not tried and count the request."""
        self.table.wake(now)
        region = self._region()
        usable = self.table.usable(region)
        untried = [s for s in usable if s.worker.name not in tried]
        state = self._random.choice(untried) if untried else None
        return self._take(state, now, f"A worker of region {region} was drawn.")


def _fits(state: WorkerState, now: timedelta, tried: frozenset[str]) -> bool:
    return state.worker.name not in tried and state.has_room(now)
