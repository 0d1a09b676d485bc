"""A small model of instances that keep a customer's quota together."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop
from heapq import heappush
from itertools import count
from math import exp
from random import Random

from sycamorenotch_kernel import Customer
from sycamorenotch_policies._liveness import far_interval_s
from sycamorenotch_policies._liveness import near_interval_s
from sycamorenotch_policies.customer_quotas import CustomerQuotas
from sycamorenotch_policies.customer_quotas import QuotaBounds

NAME = "c"
STEP_S = 0.05
LATENCY_S = 0.035
REGIONS = 3
BOUNDS = QuotaBounds()
USUAL = 0.62


def poisson(random: Random, mean: float) -> int:
    found, product, limit = 0, random.random(), exp(-mean)
    while product > limit:
        found += 1
        product *= random.random()
    return found


class Member:
    """An instance; the heartbeats to far peers are sent by turns."""

    def __init__(self, fleet: Fleet, index: int, phase_s: float) -> None:
        self.index = index
        self.quotas = CustomerQuotas(BOUNDS, fleet.random.random, fleet.now)
        self.quotas.configure([fleet.customer], fleet.now)
        others = [n for n in range(fleet.size) if n != index]
        self.near = [n for n in others if n % REGIONS == index % REGIONS]
        self.far = [n for n in others if n % REGIONS != index % REGIONS]
        self.interval_s = near_interval_s(len(self.near))
        far_s = max(self.interval_s, far_interval_s(len(self.far)))
        self.per_turn = len(self.far) * self.interval_s / far_s
        self.quotas.set_fleet(fleet.size - 1, far_s)
        self.next_at = fleet.now + phase_s
        self.credit, self.turn = 0.0, 0

    def recipients(self) -> list[int]:
        self.credit += self.per_turn
        due = [
            self.far[(self.turn + n) % len(self.far)] for n in range(int(self.credit))
        ]
        self.turn += len(due)
        self.credit -= len(due)
        return self.near + due


class Fleet:
    """Instances with Poisson arrivals, and heartbeats that take time or get lost.

    :param weights: part of the arrivals of each instance.
    :param loss: part of the heartbeats that are lost.
    :param is_cut: whether heartbeats between two instances are lost at present.
    """

    def __init__(
        self, weights: list[float], rate: float, seed: int, loss: float = 0.0
    ) -> None:
        self.random = Random(seed)
        self.size, self.loss, self.now = len(weights), loss, 0.0
        self.weights = [weight / sum(weights) for weight in weights]
        self.customer = Customer(NAME, frozenset(), rate=rate, burst=rate)
        self.extra_delay_s: Callable[[], float] = lambda: 0.0
        self.is_cut: Callable[[int, int], bool] = lambda a, b: False
        self.arrived = 0
        self.admitted: list[float] = []
        self.refused: list[float] = []
        self._order = count()
        self._in_flight: list[tuple[float, int, int, int, dict]] = []
        self.members = [
            Member(self, n, self.random.uniform(0, 0.5)) for n in range(self.size)
        ]

    def restart(self, index: int) -> None:
        self.members[index] = Member(self, index, 0.05)

    def configure(self, rate: float) -> None:
        self.customer = Customer(NAME, frozenset(), rate=rate, burst=rate)
        for member in self.members:
            member.quotas.configure([self.customer], self.now)

    def run(self, seconds: float, demand: float) -> None:
        """Play a time with a demand in requests per second."""
        end = self.now + seconds
        while self.now < end:
            self._deliver()
            for member in self.members:
                if self.now >= member.next_at:
                    self._send(member)
                mean = demand * self.weights[member.index] * STEP_S
                for _ in range(poisson(self.random, mean)):
                    self.arrived += 1
                    refusal = member.quotas.admit(NAME, self.now)
                    (self.refused if refusal else self.admitted).append(self.now)
            self.now += STEP_S

    def _send(self, member: Member) -> None:
        member.next_at += member.interval_s
        reports = member.quotas.report(self.now)
        for to in member.recipients():
            if self.random.random() < self.loss or self.is_cut(member.index, to):
                continue
            at = self.now + LATENCY_S + self.extra_delay_s()
            order = next(self._order)
            message = (at, order, to, member.index, reports)
            heappush(self._in_flight, message)

    def _deliver(self) -> None:
        while self._in_flight and self._in_flight[0][0] <= self.now:
            _, _, to, sender, reports = heappop(self._in_flight)
            member = self.members[to]
            member.quotas.peers.learn(str(sender), reports, self.now)

    def most_in_window(self, since: float = 0.0) -> int:
        """Return the largest number of admitted requests in a quota window."""
        times = [at for at in self.admitted if at >= since]
        first = best = 0
        for last, at in enumerate(times):
            while at - times[first] >= BOUNDS.window_s - 1e-9:
                first += 1
            best = max(best, last - first + 1)
        return best

    def bound(self) -> float:
        return BOUNDS.allowed(self.customer.rate, self.customer.burst)


def unequal(size: int, seed: int) -> list[float]:
    random = Random(seed)
    return [0.2 + random.expovariate(1.0) for _ in range(size)]
