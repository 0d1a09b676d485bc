"""Checks of a plan, independent of the policy that made it."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from collections.abc import Iterator

from sycamorenotch_kernel import Environment
from sycamorenotch_kernel import Grant
from sycamorenotch_kernel import Plan
from sycamorenotch_policies._steering_view import Demand

SHARE_TOLERANCE = 1e-9
BITS_PER_BYTE = 8


def excess_shifts(
    plan: Plan, previous: Plan | None, environment: Environment
) -> tuple[str, ...]:
    """Return the services whose new shifts exceed the shift cap.

    A plan without new shifts passes, even if shifts of earlier plans exceed a cap
    that has been lowered since.

    :param previous: the plan whose shifts this plan continues.
    :return: descriptions with the moved share and the cap, empty if none exceed.
    """
    known_shifts = frozenset(() if previous is None else previous.shifts)
    moved: defaultdict[str, float] = defaultdict(float)
    for shift in plan.shifts:
        moved[shift.service] += shift.share
    grown = {shift.service for shift in plan.shifts if shift not in known_shifts}
    cap = environment.shift.cap + SHARE_TOLERANCE
    return tuple(
        f"{service}: {moved[service]:.4f} of {environment.shift.cap}"
        for service in sorted(grown)
        if moved[service] > cap
    )


def excess_grants(
    plan: Plan, previous: Plan | None, environment: Environment
) -> tuple[str, ...]:
    """Return the regions and services whose grants exceed the workers' slots.

    After a change of the document lowers the slots, grants may stay as large as
    in the previous plan until they have been reduced.

    :return: descriptions with granted and usable slots, empty if none exceed.
    """
    before = _totals(() if previous is None else previous.grants)
    slots: defaultdict[tuple[str, str], int] = defaultdict(int)
    for worker in environment.workers.values():
        slots[worker.region, worker.service] += worker.slots
    return tuple(_excess(_totals(plan.grants), before, slots))


def excess_links(
    plan: Plan,
    previous: Plan | None,
    environment: Environment,
    demands: Iterable[Demand],
) -> tuple[str, ...]:
    """Return the links that the plan's routes load beyond their budgets.

    A link passes if the previous plan loads it as much under the same demand.

    :param demands: current request rates of the clients.
    :return: descriptions with load and budget in bit/s, empty if none exceed.
    """
    offered = tuple(demands)
    before = _link_rates(previous, environment, offered)
    after = _link_rates(plan, environment, offered)
    return tuple(_overloaded(before, after, environment))


def _overloaded(
    before: dict[tuple[str, str], float],
    after: dict[tuple[str, str], float],
    environment: Environment,
) -> Iterator[str]:
    for (source, target), rate in sorted(after.items()):
        budget = environment.links[source, target].budget
        previous_rate = before.get((source, target), 0.0) * (1 + SHARE_TOLERANCE)
        if rate > max(budget, previous_rate):
            yield f"{source} to {target}: {rate:.0f} of {budget} bit/s"


def _link_rates(
    plan: Plan | None, environment: Environment, demands: tuple[Demand, ...]
) -> dict[tuple[str, str], float]:
    rates = {(d.service, d.source, d.rank): d.rate for d in demands}
    loads: defaultdict[tuple[str, str], float] = defaultdict(float)
    for route in () if plan is None else plan.routes:
        rate = rates.get((route.service, route.source, route.rank), 0.0)
        service = environment.services.get(route.service)
        for item in route.shares:
            link = (item.region, route.source)
            if service is not None and link in environment.links:
                loads[link] += rate * item.share * service.answer_size * BITS_PER_BYTE
    return dict(loads)


def _totals(grants: Iterable[Grant]) -> dict[tuple[str, str], int]:
    totals: defaultdict[tuple[str, str], int] = defaultdict(int)
    for grant in grants:
        totals[grant.region, grant.service] += grant.floor + grant.loan
    return dict(totals)


def _excess(
    totals: dict[tuple[str, str], int],
    before: dict[tuple[str, str], int],
    slots: dict[tuple[str, str], int],
) -> Iterator[str]:
    for (region, service), total in sorted(totals.items()):
        usable = slots.get((region, service), 0)
        if total > max(usable, before.get((region, service), 0)):
            yield f"{service} in {region}: {total} of {usable} slots"
