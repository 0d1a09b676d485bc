"""Simulated workers, links and caches behind the dispatch interface."""

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

QUEUED_PER_SLOT = 4
COLD_SERVICE_TIME_FACTOR = 2.0
# Number of requests after which the cold-start penalty has decayed to 1/e.
WARM_UP_REQUESTS = 50.0
BITS_PER_BYTE = 8

FinishCallback = Callable[[Outcome], None]


@final
@dataclass(slots=True)
class Job:
    """Attempt dispatched to a worker.

    :param source: region of the caller.
    :param deadline_s: virtual time of the deadline in seconds.
    :param on_finish: callback for the outcome.
    """

    source: str
    deadline_s: float
    on_finish: FinishCallback


@final
class SimulatedWorker:
    """Worker with a fixed number of slots and a bounded queue; it sheds the excess."""

    def __init__(self, worker: Worker, fleet: SimulatedFleet) -> None:
        self.worker = worker
        self.alive = True
        self.leaving_since_s: float | None = None
        self.idle_since_s: float | None = None
        self.running = 0
        self._queue: deque[Job] = deque()
        self._fleet = fleet

    @property
    def in_flight(self) -> int:
        """Number of attempts that are running or queued."""
        return self.running + len(self._queue)

    def accept(self, job: Job) -> None:
        """Run, queue, shed or fail an attempt."""
        if not self.alive:
            job.on_finish(Outcome.FAILED)
        elif self.running < self.worker.slots:
            self._start(job)
        elif len(self._queue) < QUEUED_PER_SLOT * self.worker.slots:
            self._queue.append(job)
        else:
            job.on_finish(Outcome.SHED)

    def kill(self) -> None:
        """Fail queued attempts at once and running ones when their time is over."""
        self.alive = False
        while self._queue:
            self._queue.popleft().on_finish(Outcome.FAILED)

    def _start(self, job: Job) -> None:
        self.running += 1
        duration_s = self._fleet.duration_s(self.worker, job.source)
        self._fleet.time.after(duration_s, lambda: self._end(job))

    def _end(self, job: Job) -> None:
        self.running -= 1
        job.on_finish(Outcome.ANSWERED if self.alive else Outcome.FAILED)
        # Workers honour deadlines: they skip queued work whose deadline has passed.
        while self._queue and self.running < self.worker.slots:
            queued = self._queue.popleft()
            if queued.deadline_s < self._fleet.time.now_s:
                queued.on_finish(Outcome.LATE)
            else:
                self._start(queued)
        if not self.in_flight:
            self.idle_since_s = self._fleet.time.now_s


@final
class SimulatedFleet:
    """Workers, links between regions, and per-region caches that warm up with use."""

    def __init__(
        self, environment: Environment, time: VirtualTime, random: Random
    ) -> None:
        self.environment = environment
        self.time = time
        self._random = random
        self._served: Counter[tuple[str, str, str]] = Counter()
        self._link_busy_until_s: defaultdict[tuple[str, str], float] = defaultdict(
            float
        )
        self.link_bits: Counter[tuple[str, str, int]] = Counter()
        self.max_utilisation: defaultdict[tuple[str, str], float] = defaultdict(float)
        self._in_flight: Counter[tuple[str, str]] = Counter()
        self.late_starts = 0
        self.workers = {
            name: SimulatedWorker(worker, self)
            for name, worker in environment.workers.items()
        }

    def usable_slots(self, region: str, service: str) -> int:
        """Return the number of slots of the live workers of a pool."""
        return sum(
            item.worker.slots
            for item in self.workers.values()
            if item.alive
            and (item.worker.region, item.worker.service) == (region, service)
        )

    def dispatch(self, worker: Worker, job: Job) -> None:
        """Dispatch an attempt to a worker and record the utilisation of its pool."""
        simulated_worker = self.workers[worker.name]
        pool = (worker.region, worker.service)
        leaving_since = simulated_worker.leaving_since_s
        leaving_s = self.environment.bounds.leaving.total_seconds()
        self.late_starts += (
            leaving_since is not None and self.time.now_s > leaving_since + leaving_s
        )
        on_finish = job.on_finish

        def done(outcome: Outcome) -> None:
            self._in_flight[pool] -= 1
            on_finish(outcome)

        job.on_finish = done
        self._in_flight[pool] += 1
        slots = self.usable_slots(*pool)
        if slots:
            utilisation = self._in_flight[pool] / slots
            self.max_utilisation[pool] = max(self.max_utilisation[pool], utilisation)
        simulated_worker.accept(job)

    def duration_s(self, worker: Worker, source: str) -> float:
        """Draw a random service time in seconds; a cold cache prolongs it."""
        key = (worker.service, worker.region, source)
        mean_s = self.environment.services[worker.service].service_time.total_seconds()
        cold_share = (
            0.0
            if source == worker.region
            else exp(-self._served[key] / WARM_UP_REQUESTS)
        )
        self._served[key] += 1
        return (
            mean_s
            * self._random.uniform(0.5, 1.5)
            * (1 + (COLD_SERVICE_TIME_FACTOR - 1) * cold_share)
        )

    def latency_s(self, source: str, target: str) -> float:
        """Return the one-way latency between two regions in seconds."""
        if source == target:
            return self.environment.regions[source].internal_latency.total_seconds()
        return self.environment.links[source, target].latency.total_seconds()

    def answer_delay_s(self, serving: str, client: str, service: str) -> float:
        """Return the time in seconds to transfer an answer, and count its bits."""
        if serving == client:
            return self.environment.regions[client].client_latency.total_seconds()
        link = self.environment.links[serving, client]
        bits = self.environment.services[service].answer_size * BITS_PER_BYTE
        self.link_bits[serving, client, int(self.time.now_s)] += bits
        start_s = max(self.time.now_s, self._link_busy_until_s[serving, client])
        self._link_busy_until_s[serving, client] = start_s + bits / link.budget
        waiting_s = start_s + bits / link.budget - self.time.now_s
        return waiting_s + link.latency.total_seconds()

    def max_link_utilisation(self) -> float:
        """Return the highest utilisation of any link in any second; 1 is its budget."""
        links = self.environment.links
        utilisations = (
            bits / links[key[:2]].budget for key, bits in self.link_bits.items()
        )
        return max(utilisations, default=0.0)
