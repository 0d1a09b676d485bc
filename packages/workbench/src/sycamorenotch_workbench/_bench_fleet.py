"""Fake upstream workers, links and caches at the interface of dispatch."""

from __future__ import annotations

from collections import Counter
from collections import defaultdict
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from math import exp
from random import Random
from typing import final

from sycamorenotch_kernel import Environment
from sycamorenotch_kernel import Worker
from sycamorenotch_policies import Outcome
from sycamorenotch_workbench._bench_clock import VirtualTime

QUEUE_PER_SLOT = 4
COLD_COST = 2.0
# Requests after which a cache has lost two thirds of its coldness.
WARMING_REQUESTS = 50.0
BITS_PER_BYTE = 8

Finished = Callable[[Outcome], None]


@final
@dataclass(slots=True)
class Job:
    """One attempt at a worker."""

    source: str
    deadline_s: float
    finished: Finished


@final
class FakeWorker:
    """Slots, a short queue and shedding of what does not fit."""

    def __init__(self, worker: Worker, fleet: FakeFleet) -> None:
        self.worker = worker
        self.alive = True
        self.leaving_since_s: float | None = None
        self.emptied_s: float | None = None
        self.running = 0
        self._queue: deque[Job] = deque()
        self._fleet = fleet

    @property
    def in_flight(self) -> int:
        """Attempts that run or wait here."""
        return self.running + len(self._queue)

    def take(self, job: Job) -> None:
        """Run, queue, shed or lose an attempt."""
        if not self.alive:
            job.finished(Outcome.FAILED)
        elif self.running < self.worker.slots:
            self._start(job)
        elif len(self._queue) < QUEUE_PER_SLOT * self.worker.slots:
            self._queue.append(job)
        else:
            job.finished(Outcome.SHED)

    def kill(self) -> None:
        """Lose everything that runs or waits here."""
        self.alive = False
        while self._queue:
            self._queue.popleft().finished(Outcome.FAILED)

    def _start(self, job: Job) -> None:
        self.running += 1
        duration_s = self._fleet.duration_s(self.worker, job.source)
        self._fleet.time.after(duration_s, lambda: self._end(job))

    def _end(self, job: Job) -> None:
        self.running -= 1
        job.finished(Outcome.ANSWERED if self.alive else Outcome.FAILED)
        # An upstream accepts deadlines: it skips work that is too late.
        while self._queue and self.running < self.worker.slots:
            waiting = self._queue.popleft()
            if waiting.deadline_s < self._fleet.time.now_s:
                waiting.finished(Outcome.LATE)
            else:
                self._start(waiting)
        if not self.in_flight:
            self.emptied_s = self._fleet.time.now_s


@final
class FakeFleet:
    """Workers, links between regions, and caches that warm with use."""

    def __init__(
        self, environment: Environment, time: VirtualTime, random: Random
    ) -> None:
        self.environment = environment
        self.time = time
        self._random = random
        self._served: Counter[tuple[str, str, str]] = Counter()
        self._link_free_s: defaultdict[tuple[str, str], float] = defaultdict(float)
        self.link_bits: Counter[tuple[str, str, int]] = Counter()
        self.highest_use: defaultdict[tuple[str, str], float] = defaultdict(float)
        self._in_flight: Counter[tuple[str, str]] = Counter()
        self.late_starts = 0
        self.workers = {
            name: FakeWorker(worker, self)
            for name, worker in environment.workers.items()
        }

    def usable_slots(self, region: str, service: str) -> int:
        """Return the slots of living workers."""
        return sum(
            item.worker.slots
            for item in self.workers.values()
            if item.alive
            and (item.worker.region, item.worker.service) == (region, service)
        )

    def dispatch(self, worker: Worker, job: Job) -> None:
        """Send an attempt and count the use of its region."""
        fake = self.workers[worker.name]
        pool = (worker.region, worker.service)
        since = fake.leaving_since_s
        bound_s = self.environment.bounds.leaving.total_seconds()
        self.late_starts += since is not None and self.time.now_s > since + bound_s
        finished = job.finished

        def done(outcome: Outcome) -> None:
            self._in_flight[pool] -= 1
            finished(outcome)

        job.finished = done
        self._in_flight[pool] += 1
        slots = self.usable_slots(*pool)
        if slots:
            use = self._in_flight[pool] / slots
            self.highest_use[pool] = max(self.highest_use[pool], use)
        fake.take(job)

    def duration_s(self, worker: Worker, source: str) -> float:
        """Draw the time in a slot; data new to the region takes longer."""
        key = (worker.service, worker.region, source)
        usual_s = self.environment.services[worker.service].service_time.total_seconds()
        cold = (
            0.0
            if source == worker.region
            else exp(-self._served[key] / WARMING_REQUESTS)
        )
        self._served[key] += 1
        return usual_s * self._random.uniform(0.5, 1.5) * (1 + (COLD_COST - 1) * cold)

    def latency_s(self, source: str, target: str) -> float:
        """Return the one-way latency between two regions."""
        if source == target:
            return self.environment.regions[source].internal_latency.total_seconds()
        return self.environment.links[source, target].latency.total_seconds()

    def answer_delay_s(self, serving: str, client: str, service: str) -> float:
        """Return the time of an answer over the link, and count its bits."""
        if serving == client:
            return self.environment.regions[client].client_latency.total_seconds()
        link = self.environment.links[serving, client]
        bits = self.environment.services[service].answer_size * BITS_PER_BYTE
        self.link_bits[serving, client, int(self.time.now_s)] += bits
        free_s = max(self.time.now_s, self._link_free_s[serving, client])
        self._link_free_s[serving, client] = free_s + bits / link.budget
        waiting_s = free_s + bits / link.budget - self.time.now_s
        return waiting_s + link.latency.total_seconds()

    def highest_link_use(self) -> float:
        """Return the highest use of a link in any second, 1 being its budget."""
        links = self.environment.links
        uses = (bits / links[key[:2]].budget for key, bits in self.link_bits.items())
        return max(uses, default=0.0)
