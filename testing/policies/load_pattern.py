"""Load patterns: requests, the workers that serve them, and a bound on the result."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from sycamorenotch_kernel import ForwardingRoute
from sycamorenotch_kernel import RequestKind
from sycamorenotch_kernel import WeightedService

SERVICE = "s"


def make_route(name: str = "r", aim_s: float = 0.6, priority: int = 0):
    return ForwardingRoute(
        name,
        "h",
        "/",
        RequestKind.SAFE,
        (WeightedService(SERVICE, 1.0),),
        sticky=True,
        attempts=2,
        target_latency_s=aim_s,
        priority=priority,
    )


@dataclass(frozen=True)
class Mix:
    """Requests of one route; see :class:`Pattern` for the parameters.

    :param share: its share of the requests, relative to the other routes.
    """

    route: ForwardingRoute
    share: float
    work_s: float
    objects: int


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
    :param choice: name of the choice of workers.
    :param mixes: the routes; without any, one as the other parameters say.
    :param tail_share: fraction of the runs that take ``tail_factor`` times the work.
    :param slow_share: fraction of the time in which work takes ``slow_factor`` times as
        long at a worker.
    :param slow_span_s: time for which a worker keeps its speed.
    :param stated: whether workers state the slowdown.
    :param regions: shares of the workers and of the callers of each region.
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
    choice: str = "affinity"
    mixes: tuple[Mix, ...] = ()
    spread: float = 0.3
    tail_share: float = 0.0
    tail_factor: float = 7.0
    slow_share: float = 0.0
    slow_factor: float = 2.5
    slow_span_s: float = 0.3
    stated: bool = False
    regions: tuple[tuple[float, float], ...] = ((1.0, 1.0),)

    def all_mixes(self) -> tuple[Mix, ...]:
        route = make_route(aim_s=self.aim_s)
        return self.mixes or (Mix(route, 1.0, self.work_s, self.objects),)

    def work_of_run(self, mix: Mix, random: Random) -> float:
        """Draw the work of a run for a cold object at the usual speed."""
        work_s = mix.work_s * random.uniform(1.0 - self.spread, 1.0 + self.spread)
        return work_s * (self.tail_factor if random.random() < self.tail_share else 1.0)


@dataclass
class Arrival:
    """A request, with the work of its first run for a cold object."""

    at: float
    mix: Mix
    key: str
    work_s: float
    region: int
    answered: bool = False


def draw_arrivals(pattern: Pattern) -> list[Arrival]:
    """Draw all requests of a pattern, the same for every choice of workers."""
    random = Random(pattern.seed)
    mixes = pattern.all_mixes()
    shares = [mix.share for mix in mixes]
    callers = [callers for _, callers in pattern.regions]
    arrivals: list[Arrival] = []
    now = random.expovariate(pattern.rate(0.0))
    while now < pattern.duration_s:
        mix = random.choices(mixes, shares)[0]
        hot = random.random() < pattern.hot_share
        key = "0" if hot else str(random.randrange(mix.objects))
        region = random.choices(range(len(callers)), callers)[0]
        work_s = pattern.work_of_run(mix, random)
        arrivals.append(Arrival(now, mix, f"{mix.route.name}{key}", work_s, region))
        now += random.expovariate(pattern.rate(now))
    return arrivals


def best_possible(pattern: Pattern) -> float:
    """Return the fraction in time with one queue, all work known and kept in memory.

    Only the first run for each object is cold, no machine is slow, and requests that
    would be late take no capacity.
    """
    free_at = [0.0] * (pattern.workers * pattern.slots)
    warm: set[str] = set()
    arrivals = draw_arrivals(pattern)
    on_time = 0
    for arrival in arrivals:
        work_s = arrival.work_s * (pattern.warm_factor if arrival.key in warm else 1.0)
        ends_at = max(arrival.at + pattern.delay_s, free_at[0]) + work_s
        aim_s = arrival.mix.route.target_latency_s
        warm.add(arrival.key)
        if ends_at + pattern.delay_s - arrival.at <= aim_s:
            heapq.heapreplace(free_at, ends_at)
            on_time += 1
    return on_time / len(arrivals)
