"""Split of usable capacity over instances without overcommitment.

A grant grows only by slots that no other instance may still use, because the one
that used them has confirmed a smaller grant, its loan has lapsed, or it is gone.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta
from typing import final

from sycamorenotch_kernel import Event
from sycamorenotch_kernel import Grant
from sycamorenotch_kernel import InstanceId
from sycamorenotch_kernel import InstanceState
from sycamorenotch_kernel import OutstandingGrant
from sycamorenotch_kernel import Plan
from sycamorenotch_kernel import PlanRoute
from sycamorenotch_policies._demand_weights import instance_demand_weights
from sycamorenotch_policies._measurements import Assessment
from sycamorenotch_policies._steering_events import InstanceGone
from sycamorenotch_policies._steering_events import LoansLapsed
from sycamorenotch_policies._steering_view import InstanceContact
from sycamorenotch_policies._steering_view import SteeringView

LOAN_LIFETIME = timedelta(seconds=5)
# Allows for monotonic clocks that run at different rates.
LAPSE_MARGIN = timedelta(seconds=1)
GONE_GRACE_PERIOD = timedelta(seconds=30)
FLOOR_SHARE = 0.5
# Grants stay while the fair split differs from them by at most this share.
CHANGE_TOLERANCE = 0.2

# Region and service.
Pool = tuple[str, str]
GrantsByHolder = dict[tuple[InstanceId, str, str], Grant]


@final
@dataclass(frozen=True, slots=True)
class GrantDecision:
    """The grants of the next plan.

    :param sequence: sequence of the next plan.
    :param outstanding: earlier grants that an instance may still use.
    """

    sequence: int
    grants: tuple[Grant, ...]
    outstanding: tuple[OutstandingGrant, ...]
    events: tuple[Event, ...]


def split_capacity(
    view: SteeringView,
    assessment: Assessment,
    routes: tuple[PlanRoute, ...],
    previous: Plan | None,
) -> GrantDecision:
    """Split the slots of every region and service over the instances.

    From this decision on, the lease holder must not confirm the previous plan to
    any instance until it knows whether the next plan was written.
    """
    demand_weights = instance_demand_weights(view, assessment, routes)
    capacities = {key: item.grantable for key, item in assessment.capacities.items()}
    leaving = frozenset(
        item.id for item in view.instances if item.state is InstanceState.LEAVING
    )
    return reallocate_grants(
        capacities, demand_weights, view.contacts, previous, leaving
    )


def reallocate_grants(
    capacities: Mapping[Pool, int],
    demand_weights: Mapping[Pool, Mapping[InstanceId, float]],
    contacts: Iterable[InstanceContact],
    previous: Plan | None,
    leaving: frozenset[InstanceId] = frozenset(),
) -> GrantDecision:
    """Move grants towards the instances' demand without overcommitment.

    :param capacities: slots by region and service.
    :param demand_weights: demand weight of each instance by region and service.
    :param contacts: confirmation state of each instance that holds a grant.
    :param leaving: instances that keep their grants to finish requests in flight.
    """
    contacts_by_id = {contact.instance: contact for contact in contacts}
    sequence = 1 if previous is None else previous.sequence + 1
    held = {} if previous is None else _by_holder_and_pool(previous.grants)
    pending = [] if previous is None else list(previous.outstanding)
    grants: list[Grant] = []
    outstanding: list[OutstandingGrant] = []
    for pool in sorted(capacities):
        before = {k[0]: grant for k, grant in held.items() if k[1:] == pool}
        unsettled = [
            item
            for item in pending
            if (item.grant.region, item.grant.service) == pool
            and not _is_settled(item, contacts_by_id.get(item.grant.instance))
        ]
        new, reduced = _reallocate_pool(
            pool,
            capacities[pool],
            demand_weights.get(pool, {}),
            contacts_by_id,
            before,
            unsettled,
            sequence,
            leaving,
        )
        grants.extend(new)
        outstanding.extend((*unsettled, *reduced))
    events = tuple(_events(contacts_by_id, held))
    return GrantDecision(sequence, tuple(grants), tuple(outstanding), events)


def _reallocate_pool(
    pool: Pool,
    capacity: int,
    demand_weights: Mapping[InstanceId, float],
    contacts_by_id: Mapping[InstanceId, InstanceContact],
    before: Mapping[InstanceId, Grant],
    unsettled: list[OutstandingGrant],
    sequence: int,
    leaving: frozenset[InstanceId],
) -> tuple[list[Grant], list[OutstandingGrant]]:
    present = {
        name: g for name, g in before.items() if not _is_gone(contacts_by_id.get(name))
    }
    targets = _targets(capacity, demand_weights, contacts_by_id, present, leaving)
    reduced = {
        name: _reduce(grant, *targets.get(name, (0, 0)))
        for name, grant in present.items()
    }
    pending = [
        OutstandingGrant(grant, sequence)
        for name, grant in present.items()
        if _is_smaller(reduced[name], grant)
    ]
    bounds = _bounds(reduced, [*unsettled, *pending], contacts_by_id)
    spare_slots = capacity - sum(bounds.values())
    increased: list[Grant] = []
    for name in sorted(targets.keys() | reduced.keys()):
        empty = Grant(name, *pool, 0, 0, LOAN_LIFETIME)
        grant = _increase(
            reduced.get(name, empty),
            targets.get(name, (0, 0)),
            bounds[name],
            spare_slots,
        )
        spare_slots -= max(0, _total(grant) - bounds[name])
        if _total(grant):
            increased.append(grant)
    return increased, pending


def _targets(
    capacity: int,
    demand_weights: Mapping[InstanceId, float],
    contacts_by_id: Mapping[InstanceId, InstanceContact],
    before: Mapping[InstanceId, Grant],
    leaving: frozenset[InstanceId],
) -> dict[InstanceId, tuple[int, int]]:
    """Return the floor and loan that each instance should reach."""
    fixed = {
        name: (grant.floor, 0 if _is_silent(contacts_by_id.get(name)) else grant.loan)
        for name, grant in before.items()
        if name in leaving or _is_silent(contacts_by_id.get(name))
    }
    active = {n: w for n, w in demand_weights.items() if n not in fixed and w > 0}
    left = max(0, capacity - sum(floor + loan for floor, loan in fixed.values()))
    totals = apportion(left, active)
    if _is_within_tolerance(totals, before, left, active):
        totals = {name: _total(before[name]) for name in totals if name in before}
    targets = {
        n: (int(t * FLOOR_SHARE), t - int(t * FLOOR_SHARE)) for n, t in totals.items()
    }
    return targets | fixed


def apportion(slots: int, weights: Mapping[InstanceId, float]) -> dict[InstanceId, int]:
    """Split whole slots by weight with the largest remainder method.

    :return: slots of each instance; empty if no weight is above 0.
    """
    total = sum(weights.values())
    if not total:
        return {}
    exact = {name: slots * weight / total for name, weight in weights.items()}
    parts = {name: int(value) for name, value in exact.items()}
    by_remainder = sorted(exact, key=lambda name: (parts[name] - exact[name], name))
    for name in by_remainder[: slots - sum(parts.values())]:
        parts[name] += 1
    return parts


def _is_within_tolerance(
    totals: Mapping[InstanceId, int],
    before: Mapping[InstanceId, Grant],
    left: int,
    active: Mapping[InstanceId, float],
) -> bool:
    now = {name: _total(grant) for name, grant in before.items() if name in active}
    same = now.keys() == {name for name, value in totals.items() if value}
    if not same or sum(now.values()) != left:
        return False
    return all(
        abs(totals[name] - value) <= max(1, CHANGE_TOLERANCE * value)
        for name, value in now.items()
    )


def _reduce(grant: Grant, floor: int, loan: int) -> Grant:
    new_floor = min(grant.floor, floor)
    new_total = min(_total(grant), floor + loan)
    return Grant(
        grant.instance,
        grant.region,
        grant.service,
        new_floor,
        max(0, new_total - new_floor),
        LOAN_LIFETIME,
    )


def _increase(
    grant: Grant, target: tuple[int, int], bound: int, spare_slots: int
) -> Grant:
    """Grow a grant towards its target by slots that no other instance may use.

    :param target: floor and loan to reach.
    :param bound: slots that the instance may use already.
    :param spare_slots: slots that no instance may use.
    """
    total = min(sum(target), max(bound, _total(grant)) + max(0, spare_slots))
    floor = min(max(grant.floor, target[0]), total)
    return Grant(
        grant.instance, grant.region, grant.service, floor, total - floor, LOAN_LIFETIME
    )


def _bounds(
    grants: Mapping[InstanceId, Grant],
    outstanding: Iterable[OutstandingGrant],
    contacts_by_id: Mapping[InstanceId, InstanceContact],
) -> defaultdict[InstanceId, int]:
    """Return the most slots that each instance may use under any plan it may hold."""
    bounds: defaultdict[InstanceId, int] = defaultdict(int)
    for name, grant in grants.items():
        bounds[name] = _total(grant)
    for item in outstanding:
        name = item.grant.instance
        lapsed = _is_silent(contacts_by_id.get(name))
        usable = item.grant.floor if lapsed else _total(item.grant)
        bounds[name] = max(bounds[name], usable)
    return bounds


def _is_settled(item: OutstandingGrant, contact: InstanceContact | None) -> bool:
    if contact is None:
        return False
    return contact.sequence >= item.until or _is_gone(contact)


def _is_gone(contact: InstanceContact | None) -> bool:
    return (
        contact is not None
        and contact.gone is not None
        and contact.gone >= GONE_GRACE_PERIOD
    )


def _is_silent(contact: InstanceContact | None) -> bool:
    return contact is not None and contact.silence >= LOAN_LIFETIME + LAPSE_MARGIN


def _is_smaller(new: Grant, old: Grant) -> bool:
    return new.floor < old.floor or _total(new) < _total(old)


def _total(grant: Grant) -> int:
    return grant.floor + grant.loan


def _by_holder_and_pool(grants: Iterable[Grant]) -> GrantsByHolder:
    return {(g.instance, g.region, g.service): g for g in grants}


def _events(
    contacts_by_id: Mapping[InstanceId, InstanceContact], held: GrantsByHolder
) -> Iterable[Event]:
    for name in sorted({key[0] for key in held}):
        contact = contacts_by_id.get(name)
        if contact is None:
            continue
        if _is_gone(contact):
            yield InstanceGone(name)
        elif _is_silent(contact):
            yield LoansLapsed(name, contact.silence.total_seconds())
