"""Work left at one worker, its speed and its warm objects, as one instance sees them.

The choice of a worker computes from it when a request would be finished there.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from dataclasses import field
from typing import final

from sycamorenotch_policies.work._costs import Warmth
from sycamorenotch_policies.work._service_work import ServiceWork

# The slowdown changes several times a second, so a figure counts for less the older
# it is, and the usual one takes its place.
SLOWDOWN_LIFETIME_S = 1.0
# Figures of one worker that count as much as the average of the service, and the most
# that its own average stands for.
FIGURES_FOR_HALF = 8
MAX_FIGURES = 20
# More than a worker remembers. Requests of other instances displace objects too, so
# an object that was not asked for within the lifetime may be gone.
MAX_OBJECTS = 64
OBJECT_LIFETIME_S = 20.0
# Of a run that takes longer than expected, this part of the expected cost is left.
MIN_REMAINING = 0.3
# A run is an unusually long one beyond this multiple of its cost, and then as much is
# left as it has taken.
LONG_RUN = 2.0
# Smallest part of the time taken that counts as service, whatever the waiting was.
MIN_SERVICE = 0.1


@final
@dataclass(frozen=True, slots=True)
class ExpectedRun:
    """What was expected of a request when its worker was chosen; times in seconds.

    :param cost_s: likely cost at the usual speed of the worker's machine.
    :param wait_s: time in the worker's queue.
    :param round_trip_s: time on the way to the worker and back.
    :param slowdown: how long work takes at the worker, relative to usual.
    :param overdue_s: time after which an answer is later than the likely tail.
    :param joined: whether the same worker already ran a request for the object, so
        that the cost shows neither a cold nor a warm object.
    """

    route: str
    object_key: str
    warmth: Warmth
    cost_s: float
    wait_s: float
    round_trip_s: float
    slowdown: float
    overdue_s: float
    joined: bool = False

    @property
    def finish_s(self) -> float:
        """Time from sending the request to its answer."""
        return self.round_trip_s + self.wait_s + self.cost_s * self.slowdown


@final
@dataclass(slots=True)
class WorkerWork:
    """Runs in flight, speed and warm objects of one worker.

    All times are seconds on the monotonic clock.

    :param service: what is known from all workers of the service.
    """

    service: ServiceWork = field(default_factory=ServiceWork)
    _slowdown: float = 1.0
    _stated_at: float = -1e9
    _usual: float = 1.0
    _stated: int = 0
    _runs: list[tuple[float, ExpectedRun]] = field(default_factory=list)
    _objects: OrderedDict[tuple[str, str], float] = field(default_factory=OrderedDict)

    def observe_slowdown(self, slowdown: float, now: float) -> None:
        """Record how long work takes at the worker, by its own statement."""
        self._slowdown, self._stated_at = slowdown, now
        self._stated = min(self._stated + 1, MAX_FIGURES)
        self._usual += (slowdown - self._usual) / self._stated
        self.service.observe_slowdown(slowdown, now)

    def slowdown(self, now: float) -> float:
        """Return how long work is likely to take, relative to usual."""
        weight = max(0.0, 1.0 - (now - self._stated_at) / SLOWDOWN_LIFETIME_S)
        # Some machines are slow for long; few figures tell little of one.
        own_weight = self._stated / (self._stated + FIGURES_FOR_HALF)
        usual = self.service.usual_slowdown
        usual += own_weight * (self._usual - usual)
        return usual + weight * (self._slowdown - usual)

    def start(self, run: ExpectedRun, now: float) -> None:
        """Record that a request is sent."""
        self._runs.append((now, run))

    def end(self, run: ExpectedRun) -> None:
        """Record that a request is no longer in flight."""
        self._runs = [item for item in self._runs if item[1] is not run]

    def record_answer(self, run: ExpectedRun, taken_s: float, now: float) -> None:
        """Learn from a request that was answered in full and without an error."""
        service = self.service
        service.record_error(taken_s, run.finish_s)
        if run.object_key:
            self._objects[run.route, run.object_key] = now
            self._objects.move_to_end((run.route, run.object_key))
            if len(self._objects) > MAX_OBJECTS:
                self._objects.popitem(last=False)
        if run.joined:
            return
        at_worker_s = max(0.0, taken_s - run.round_trip_s)
        service_s = max(MIN_SERVICE * at_worker_s, at_worker_s - run.wait_s)
        slowdown = (run.slowdown + self.slowdown(now)) / 2
        # The longer the expected wait, the less the time shows of the cost.
        weight = run.cost_s / (run.cost_s + 2.0 * run.wait_s)
        cost_s = service_s / slowdown
        service.costs.observe(run.route, run.warmth, cost_s, weight, now)

    def has_seen(self, route: str, object_key: str, now: float) -> bool:
        """Return whether the worker answered for an object lately."""
        seen_at = self._objects.get((route, object_key), -1e9)
        return now - seen_at <= OBJECT_LIFETIME_S

    def running_s(self, route: str, object_key: str, now: float) -> float | None:
        """Return after which time a run for an object ends; none if there is none."""
        left = [
            run.wait_s + _remaining_s(run, begun, now) * run.slowdown
            for begun, run in self._runs
            if run.object_key == object_key and run.route == route
        ]
        return min(left, default=None)

    def wait_s(self, requests: float, slots: int, now: float) -> float:
        """Return the likely time that a further request waits for a slot.

        :param requests: requests at the worker, of this and of other instances.
        """
        # So many have to end before a slot is free.
        ahead = requests - slots + 1.0
        if ahead <= 0.0:
            return 0.0
        own_s = sum(_remaining_s(run, begun, now) for begun, run in self._runs)
        others = max(0.0, requests - len(self._runs))
        work_s = own_s + others * self.service.costs.overall.mean_s
        return ahead / requests * work_s / slots * self.slowdown(now)


def _remaining_s(run: ExpectedRun, begun: float, now: float) -> float:
    """Return the likely cost that is left of a run."""
    ran_s = max(0.0, now - begun - run.round_trip_s / 2 - run.wait_s) / run.slowdown
    if ran_s > LONG_RUN * run.cost_s:
        return ran_s
    return max(MIN_REMAINING * run.cost_s, run.cost_s - ran_s)
