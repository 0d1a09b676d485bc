"""When a worker would finish a request, and whether it has room for it.

For the choice of the worker that is likely to finish first.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import inf
from typing import final

from sycamorenotch_policies._overdue import overdue_run_s
from sycamorenotch_policies._worker_request import WorkerRequest
from sycamorenotch_policies._worker_view import WorkerView
from sycamorenotch_policies.work._costs import Warmth
from sycamorenotch_policies.work._worker_work import ExpectedRun

# The way within a region, and 35 ms each way between regions.
LOCAL_ROUND_TRIP_S = 0.003
REMOTE_ROUND_TRIP_S = 0.07
# A worker sheds once three requests wait for each slot. Its load is known late, so
# less is expected to wait there.
MAX_WAITING_PER_SLOT = 0.5
# A request that is late in any case may wait for this multiple of its cost.
MIN_WAIT_COSTS = 2.0
# A service with this many requests for each slot has no time for more cold runs, so
# that only workers which have an object already get requests for it.
BUSY_LOAD_PER_SLOT = 0.9


@final
@dataclass(frozen=True, slots=True)
class Candidate:
    """A worker that could run the request.

    :param requests: estimated requests there, running and waiting.
    :param optimistic_s: earliest possible finish.
    :param place: place among the owners that share the object; none for others.
    """

    view: WorkerView
    run: ExpectedRun
    requests: float
    optimistic_s: float
    place: int | None

    @property
    def per_slot(self) -> float:
        """Requests for each slot, running and waiting."""
        return self.requests / self.view.entry.slots


def assess(
    request: WorkerRequest,
    view: WorkerView,
    place: int | None,
    *,
    is_owner: bool,
    is_local: bool,
    now: float,
) -> Candidate:
    """Estimate when a worker would finish the request.

    :param place: see :class:`Candidate`.
    :param is_owner: whether other instances send it the requests for the object too.
    :param is_local: whether it is in the region of this instance.
    """
    route, key = request.route.name, request.sticky_key
    work = view.work
    costs = work.service.costs
    warmth = _warmth(request, view, is_owner=is_owner, now=now)
    cost = costs.estimate(route, warmth)
    cost_s = cost.mean_s
    slowdown = work.slowdown(now)
    running_s = None
    if key and warmth is not Warmth.SEEN:
        running_s = work.running_s(route, key, now)
    if running_s is not None:
        warm_s = costs.estimate(route, Warmth.SEEN).mean_s
        cost_s = min(cost_s, running_s / slowdown + warm_s)
    requests = view.load(now)
    wait_s = work.wait_s(requests, view.entry.slots, now)
    round_trip_s = LOCAL_ROUND_TRIP_S if is_local else REMOTE_ROUND_TRIP_S
    joined = running_s is not None
    run = ExpectedRun(
        *(route, key, warmth, cost_s, wait_s, round_trip_s, slowdown, inf, joined)
    )
    optimistic_s = round_trip_s + 0.5 * wait_s + cost.optimistic_s(now)
    return Candidate(view, run, requests, optimistic_s, place)


def _warmth(
    request: WorkerRequest, view: WorkerView, *, is_owner: bool, now: float
) -> Warmth:
    key = request.sticky_key
    if key and view.work.has_seen(request.route.name, key, now):
        return Warmth.SEEN
    return Warmth.OWNED if is_owner and now >= view.cold_until else Warmth.UNSEEN


def longest_wait_s(request: WorkerRequest, candidate: Candidate, now: float) -> float:
    """Return how long a request may be expected to wait, in seconds.

    Its answer is to be in time. Requests of lower ranks leave the rest of the
    queue to those above them.
    """
    run = candidate.run
    service = candidate.view.work.service
    in_time_s = request.route.target_latency_s - (run.finish_s - run.wait_s)
    longest_s = max(0.0, in_time_s)
    # Elsewhere it would not only be late but take the place of another object.
    if candidate.place is not None or not request.sticky_key:
        longest_s = max(in_time_s, MIN_WAIT_COSTS * run.cost_s)
    return longest_s * service.queue_share(request.route.priority, now)


def has_room(request: WorkerRequest, candidate: Candidate, now: float) -> bool:
    """Return whether a worker may get the request although it has others."""
    if candidate.optimistic_s > request.time_left_s:
        return False
    if request.beside:
        # A second run beside the first is only worth capacity that is free.
        busy = candidate.view.service_load.per_slot(now) >= BUSY_LOAD_PER_SLOT
        return not busy and candidate.run.wait_s <= 0
    return (
        candidate.per_slot < 1.0 + MAX_WAITING_PER_SLOT
        and candidate.run.wait_s <= longest_wait_s(request, candidate, now)
    )


def overdue_s(request: WorkerRequest, chosen: Candidate, now: float) -> float:
    """Return when the answer is so late that a second worker is tried."""
    route = request.route
    work = chosen.view.work
    costs = work.service.costs
    second = costs.estimate(route.name, Warmth.UNSEEN)
    second_s = REMOTE_ROUND_TRIP_S + second.mean_s * work.service.usual_slowdown
    tail_s = costs.estimate(route.name, chosen.run.warmth).tail_s
    return overdue_run_s(
        chosen.run,
        tail_s,
        second_s,
        target_s=route.target_latency_s,
        time_left_s=request.time_left_s,
    )
