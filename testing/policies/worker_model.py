"""Model of workers and instances without a network, for tests of the load patterns.

Workers have slots, a short queue and a memory of the objects that they handled last.
Each instance knows only what the answers to its own requests tell.
"""

from __future__ import annotations

import heapq
from bisect import bisect_left
from collections import Counter
from collections import OrderedDict
from collections import deque
from collections.abc import Callable
from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from functools import partial
from itertools import accumulate
from itertools import count
from random import Random
from typing import Any

from testing.policies.load_pattern import SERVICE
from testing.policies.load_pattern import Arrival
from testing.policies.load_pattern import Pattern
from testing.policies.load_pattern import draw_arrivals

from sycamorenotch_kernel import LoadReport
from sycamorenotch_kernel import WorkerEntry
from sycamorenotch_kernel import worker_choices
from sycamorenotch_policies import ChosenWorker
from sycamorenotch_policies import WorkerDirectory
from sycamorenotch_policies import WorkerRequest
from sycamorenotch_policies import hash_to_unit_interval
from sycamorenotch_policies import overdue_after_s

# After a request that two workers shed.
RETRY_AFTER_S = 0.5
# Retries and second attempts per request, as deployments allow them.
RETRY_RATIO = 0.2


@dataclass
class Outcome:
    """Counts of requests by their end, and of arrivals at workers."""

    total: int = 0
    on_time: int = 0
    late: int = 0
    refused: int = 0
    refused_again: int = 0
    failed: int = 0
    arrivals: int = 0
    shed: int = 0
    cold: int = 0
    second: int = 0
    on_time_by_route: Counter[str] = field(default_factory=Counter)
    total_by_route: Counter[str] = field(default_factory=Counter)
    regions: Counter[tuple[int, str, str]] = field(default_factory=Counter)

    @property
    def served(self) -> float:
        """Fraction of the requests that were answered."""
        return (self.on_time + self.late) / self.total

    @property
    def credit(self) -> float:
        """Fraction answered in time, with a fifth for late answers."""
        return (self.on_time + 0.2 * self.late) / self.total


@dataclass(frozen=True)
class _Call:
    arrival: Arrival
    deadline: float
    returned: int = 0


@dataclass
class _Work:
    call: _Call
    instance: _Instance
    chosen: ChosenWorker
    started_at: float
    second_try: bool


@dataclass
class _Worker:
    name: str
    region: int
    running: int = 0
    waiting: deque[_Work] = field(default_factory=deque)
    memory: OrderedDict[str, None] = field(default_factory=OrderedDict)


@dataclass
class _Instance:
    region: int
    directory: WorkerDirectory
    choice: Any


class Simulation:
    """Plays a pattern event by event."""

    def __init__(self, pattern: Pattern) -> None:
        self.pattern = pattern
        self.outcome = Outcome()
        self._random = Random(pattern.seed)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._number: Iterator[int] = count()
        self._now = 0.0
        self._workers = {
            f"w{number}": _Worker(f"w{number}", region)
            for number, region in enumerate(self._spread(pattern.workers, 0))
        }
        self._instances = [
            self._build_instance(region)
            for region in self._spread(pattern.instances, 1)
        ]

    def run(self) -> Outcome:
        """Play the pattern and return its outcome."""
        for arrival in draw_arrivals(self.pattern):
            self._later(arrival.at, partial(self._arrive, arrival))
        while self._events:
            self._now, _, event = heapq.heappop(self._events)
            event()
        return self.outcome

    def _spread(self, count: int, column: int) -> list[int]:
        """Return the region of each of several workers or instances."""
        shares = [region[column] for region in self.pattern.regions]
        places = [(number + 0.5) / count * sum(shares) for number in range(count)]
        ends = list(accumulate(shares))
        return [bisect_left(ends, place) for place in places]

    def _build_instance(self, region: int) -> _Instance:
        directory = WorkerDirectory(str)
        for name, worker in self._workers.items():
            place = str(worker.region)
            entry = WorkerEntry(name, SERVICE, "", place, self.pattern.slots, False)
            directory.put(entry, 0.0)
        choice = worker_choices.get(self.pattern.choice)(
            str(region), directory.limits, lambda worker: True, self._random
        )
        return _Instance(region, directory, choice)

    def _later(self, delay_s: float, event: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self._now + delay_s, next(self._number), event))

    def _arrive(self, arrival: Arrival) -> None:
        self.outcome.total += 1
        self.outcome.total_by_route[arrival.mix.route.name] += 1
        self._call(_Call(arrival, self._now + self.pattern.deadline_s))

    def _call(self, call: _Call) -> None:
        region = call.arrival.region
        near = [i for i in self._instances if i.region == region]
        self._send(call, self._random.choice(near), frozenset())

    def _send(
        self, call: _Call, instance: _Instance, tried: frozenset[str], beside=False
    ) -> None:
        left_s = call.deadline - self._now
        arrival = call.arrival
        request = WorkerRequest(
            arrival.mix.route, SERVICE, arrival.key, tried, left_s, beside
        )
        views = instance.directory.known(SERVICE)
        chosen = instance.choice.choose(request, views, self._now)
        if not isinstance(chosen, ChosenWorker):
            if not beside:
                self._refuse(call, chosen.retry_after_s)
            return
        if tried:
            self.outcome.second += 1
        view = chosen.view
        span = int(self._now / 2.0), str(instance.region), view.region
        self.outcome.regions[span] += 1
        view.record_start(self._now, chosen.run)
        work = _Work(call, instance, chosen, self._now, bool(tried))
        self._later(self._delay(work), lambda: self._receive(work))
        overdue_s = overdue_after_s(
            view.estimate, left_s, suspect=False, run=chosen.run
        )
        if not tried and overdue_s < left_s:
            self._later(overdue_s, lambda: self._overdue(work))

    def _delay(self, work: _Work) -> float:
        is_near = work.chosen.view.region == str(work.instance.region)
        return self.pattern.delay_s if is_near else 0.035

    def _overdue(self, work: _Work) -> None:
        """Try a second worker beside the first one, within the budget."""
        left_s = work.call.deadline - self._now
        spent = self.outcome.second + 1 > RETRY_RATIO * self.outcome.total
        if work.call.arrival.answered or spent or left_s <= 0:
            return
        tried = frozenset({work.chosen.view.entry.id})
        self._send(work.call, work.instance, tried, beside=True)

    def _refuse(self, call: _Call, retry_after_s: float) -> None:
        if call.returned >= self.pattern.returns:
            self.outcome.refused += 1
            self.outcome.refused_again += call.returned > 0
            return
        left_s = call.arrival.at + self.pattern.patience_s - self._now
        back_at = self._now + min(retry_after_s, left_s / 3)
        ends_at = call.arrival.at + self.pattern.patience_s
        deadline = min(back_at + self.pattern.deadline_s, ends_at)
        again = replace(call, deadline=deadline, returned=call.returned + 1)
        self._later(back_at - self._now, lambda: self._call(again))

    def _receive(self, work: _Work) -> None:
        worker = self._workers[work.chosen.view.entry.id]
        self.outcome.arrivals += 1
        if worker.running < self.pattern.slots:
            self._start(worker, work)
        elif len(worker.waiting) < self.pattern.queue:
            worker.waiting.append(work)
        else:
            self.outcome.shed += 1
            self._later(self.pattern.delay_s, lambda: self._retry(work))
            self._report(worker, work)

    def _start(self, worker: _Worker, work: _Work) -> None:
        worker.running += 1
        arrival = work.call.arrival
        warm = arrival.key in worker.memory
        worker.memory[arrival.key] = None
        worker.memory.move_to_end(arrival.key)
        while len(worker.memory) > self.pattern.memory:
            worker.memory.popitem(last=False)
        work_s = arrival.work_s
        if work.second_try:
            work_s = self.pattern.work_of_run(arrival.mix, self._random)
        work_s *= self.pattern.warm_factor if warm else 1.0
        self.outcome.cold += not warm
        done_at = self._done_at(worker, work_s)
        ends_at = min(done_at, max(self._now, work.call.deadline))
        complete = ends_at == done_at
        self._later(ends_at - self._now, lambda: self._finish(worker, work, complete))

    def _slowdown(self, worker: _Worker, span: int) -> float:
        drawn = hash_to_unit_interval(worker.name, str(span), str(self.pattern.seed))
        return self.pattern.slow_factor if drawn < self.pattern.slow_share else 1.0

    def _done_at(self, worker: _Worker, work_s: float) -> float:
        """Return when a run ends that starts now, as the speed changes."""
        at, span = self._now, int(self._now / self.pattern.slow_span_s)
        while True:
            slowdown = self._slowdown(worker, span)
            span += 1
            left_s = max(0.0, span * self.pattern.slow_span_s - at)
            if work_s * slowdown <= left_s:
                return at + work_s * slowdown
            work_s -= left_s / slowdown
            at += left_s

    def _finish(self, worker: _Worker, work: _Work, complete: bool) -> None:
        worker.running -= 1
        self._later(self._delay(work), lambda: self._answer(work, complete))
        self._report(worker, work)
        while worker.waiting and worker.running < self.pattern.slots:
            self._start(worker, worker.waiting.popleft())

    def _answer(self, work: _Work, complete: bool) -> None:
        view = work.chosen.view
        view.record_end(work.started_at, work.chosen.run)
        arrival = work.call.arrival
        taken_s = self._now - work.started_at
        if complete:
            view.last_answer_at = self._now
            view.record_success(taken_s)
            if work.chosen.run is not None:
                view.work.record_answer(work.chosen.run, taken_s, self._now)
        if arrival.answered:
            return
        if not complete:
            self.outcome.failed += 1
            return
        arrival.answered = True
        on_time = self._now - arrival.at <= arrival.mix.route.target_latency_s
        self.outcome.on_time += on_time
        self.outcome.late += not on_time
        self.outcome.on_time_by_route[arrival.mix.route.name] += on_time

    def _retry(self, work: _Work) -> None:
        view = work.chosen.view
        view.record_end(work.started_at, work.chosen.run)
        if work.second_try:
            self._refuse(work.call, RETRY_AFTER_S)
            return
        self._send(work.call, work.instance, frozenset({view.entry.id}))

    def _report(self, worker: _Worker, work: _Work) -> None:
        span = int(self._now / self.pattern.slow_span_s)
        stated = self._slowdown(worker, span) if self.pattern.stated else None
        report = LoadReport(
            worker.running, len(worker.waiting), self.pattern.slots, stated
        )
        view, delay_s = work.chosen.view, self._delay(work)
        self._later(delay_s, lambda: view.observe_load(report, self._now))
