"""Model of workers and instances without a network, for tests of the load patterns.

Workers have slots, a short queue and a memory of the objects that they handled last.
Each instance knows only what the answers to its own requests tell.
"""

from __future__ import annotations

import heapq
from collections import OrderedDict
from collections import deque
from collections.abc import Callable
from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from itertools import count
from random import Random
from typing import Any

from sycamorenotch_kernel import ForwardingRoute
from sycamorenotch_kernel import LoadReport
from sycamorenotch_kernel import RequestKind
from sycamorenotch_kernel import WeightedService
from sycamorenotch_kernel import WorkerEntry
from sycamorenotch_kernel import worker_choices
from sycamorenotch_policies import ChosenWorker
from sycamorenotch_policies import WorkerDirectory
from sycamorenotch_policies import WorkerRequest

SERVICE = "s"
# After a request that two workers shed.
RETRY_AFTER_S = 0.5
ROUTE = ForwardingRoute(
    "r",
    "h",
    "/",
    RequestKind.SAFE,
    (WeightedService(SERVICE, 1.0),),
    sticky=True,
    attempts=2,
)


@dataclass
class Pattern:
    """A load and what serves it; times are in seconds.

    :param rate: requests per second at a time.
    :param objects: number of objects.
    :param hot_share: fraction of the requests that are for one of them; the others
        are requested equally often.
    :param work_s: mean work for an object that the worker does not remember.
    :param warm_factor: fraction of the work for one that it remembers.
    :param memory: number of objects that a worker remembers.
    :param returns: how often a caller comes back after a refusal.
    :param patience_s: time that a caller has for all its tries; it waits as it is
        told, for a third of what is left at the most.
    """

    rate: Callable[[float], float]
    duration_s: float = 20.0
    instances: int = 20
    workers: int = 18
    slots: int = 3
    queue: int = 9
    objects: int = 150
    hot_share: float = 0.0
    work_s: float = 1.0
    warm_factor: float = 0.25
    memory: int = 13
    returns: int = 1
    patience_s: float = 4.0
    deadline_s: float = 2.0
    aim_s: float = 0.6
    delay_s: float = 0.01
    seed: int = 1


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
    key: str
    arrived_at: float
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
    running: int = 0
    waiting: deque[_Work] = field(default_factory=deque)
    memory: OrderedDict[str, None] = field(default_factory=OrderedDict)


@dataclass
class _Instance:
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
            name: _Worker(name)
            for name in (f"w{number}" for number in range(pattern.workers))
        }
        self._instances = [self._build_instance() for _ in range(pattern.instances)]

    def run(self) -> Outcome:
        """Play the pattern and return its outcome."""
        self._arrive_later()
        while self._events:
            self._now, _, event = heapq.heappop(self._events)
            event()
        return self.outcome

    def _build_instance(self) -> _Instance:
        directory = WorkerDirectory(lambda data_centre: "west")
        for name in self._workers:
            entry = WorkerEntry(name, SERVICE, "", "a", self.pattern.slots, False)
            directory.put(entry, 0.0)
        choice = worker_choices.get("affinity")(
            "west", directory.limits, lambda worker: True, self._random
        )
        return _Instance(directory, choice)

    def _later(self, delay_s: float, event: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self._now + delay_s, next(self._number), event))

    def _arrive_later(self) -> None:
        delay_s = self._random.expovariate(self.pattern.rate(self._now))
        if self._now + delay_s < self.pattern.duration_s:
            self._later(delay_s, self._arrive)

    def _arrive(self) -> None:
        self._arrive_later()
        self.outcome.total += 1
        hot = self._random.random() < self.pattern.hot_share
        key = "0" if hot else str(self._random.randrange(self.pattern.objects))
        self._call(_Call(key, self._now, self._now + self.pattern.deadline_s))

    def _call(self, call: _Call) -> None:
        self._send(call, self._random.choice(self._instances), frozenset())

    def _send(self, call: _Call, instance: _Instance, tried: frozenset[str]) -> None:
        request = WorkerRequest(ROUTE, SERVICE, call.key, tried)
        views = instance.directory.usable(SERVICE, self._now)
        chosen = instance.choice.choose(request, views, self._now)
        if not isinstance(chosen, ChosenWorker):
            self._refuse(call, chosen.retry_after_s)
            return
        chosen.view.record_start(self._now)
        work = _Work(call, instance, chosen, self._now, bool(tried))
        self._later(self.pattern.delay_s, lambda: self._receive(work))

    def _refuse(self, call: _Call, retry_after_s: float) -> None:
        if call.returned >= self.pattern.returns:
            self.outcome.refused += 1
            self.outcome.refused_again += call.returned > 0
            return
        left_s = call.arrived_at + self.pattern.patience_s - self._now
        back_at = self._now + min(retry_after_s, left_s / 3)
        ends_at = call.arrived_at + self.pattern.patience_s
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
        key = work.call.key
        warm = key in worker.memory
        worker.memory[key] = None
        worker.memory.move_to_end(key)
        while len(worker.memory) > self.pattern.memory:
            worker.memory.popitem(last=False)
        work_s = self.pattern.work_s * self._random.uniform(0.7, 1.3)
        work_s *= self.pattern.warm_factor if warm else 1.0
        ends_at = min(self._now + work_s, max(self._now, work.call.deadline))
        complete = ends_at == self._now + work_s
        self._later(ends_at - self._now, lambda: self._finish(worker, work, complete))

    def _finish(self, worker: _Worker, work: _Work, complete: bool) -> None:
        worker.running -= 1
        view = work.chosen.view
        view.record_end(work.started_at)
        self._report(worker, work)
        latency_s = self._now + self.pattern.delay_s - work.started_at
        if complete:
            view.last_answer_at = self._now
            view.record_success(latency_s)
            on_time = self._now - work.call.arrived_at <= self.pattern.aim_s
            self.outcome.on_time += on_time
            self.outcome.late += not on_time
        else:
            self.outcome.failed += 1
        while worker.waiting and worker.running < self.pattern.slots:
            self._start(worker, worker.waiting.popleft())

    def _retry(self, work: _Work) -> None:
        view = work.chosen.view
        view.record_end(work.started_at)
        if work.second_try:
            self._refuse(work.call, RETRY_AFTER_S)
            return
        self._send(work.call, work.instance, frozenset({view.entry.id}))

    def _report(self, worker: _Worker, work: _Work) -> None:
        report = LoadReport(worker.running, len(worker.waiting), self.pattern.slots)
        work.chosen.view.observe_load(report, self._now)
