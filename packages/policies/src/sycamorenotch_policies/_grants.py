"""Splits usable capacity over instances: shrink, confirm or lapse, then grow."""

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
from sycamorenotch_policies._grant_wants import instance_wants
from sycamorenotch_policies._measurements import Assessment
from sycamorenotch_policies._steering_events import InstanceGone
from sycamorenotch_policies._steering_events import LoansLapsed
from sycamorenotch_policies._steering_view import InstanceContact
from sycamorenotch_policies._steering_view import SteeringView

LOAN_LIFE = timedelta(seconds=5)
# Allowance for clocks that run at different speeds.
LAPSE_MARGIN = timedelta(seconds=1)
GONE_GRACE = timedelta(seconds=30)
FLOOR_SHARE = 0.5
# A grant stays while its fair part differs by less than this share.
KEEP_WITHIN = 0.2

Pool = tuple[str, str]
Held = dict[tuple[InstanceId, str, str], Grant]


@final
@dataclass(frozen=True, slots=True)
class GrantDecision:
    """The grants of the next plan.

    :param sequence: sequence of that plan.
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

    The holder must not confirm the previous plan to anyone from this decision
    until it knows whether the next plan was written.
    """
    wants = instance_wants(view, assessment, routes)
    capacities = {key: item.grantable for key, item in assessment.capacities.items()}
    leaving = frozenset(
        item.id for item in view.instances if item.state is InstanceState.LEAVING
    )
    return regrant(capacities, wants, view.contacts, previous, leaving)


def regrant(
    capacities: Mapping[Pool, int],
    wants: Mapping[Pool, Mapping[InstanceId, float]],
    contacts: Iterable[InstanceContact],
    previous: Plan | None,
    leaving: frozenset[InstanceId] = frozenset(),
) -> GrantDecision:
    """Move grants towards what instances want, without overcommitment.

    :param capacities: slots by region and service.
    :param wants: weight of each instance in each region and service.
    :param contacts: what is known of each instance that holds a grant.
    :param leaving: instances that keep their grants to finish their work.
    """
    known = {contact.instance: contact for contact in contacts}
    sequence = 1 if previous is None else previous.sequence + 1
    held = {} if previous is None else _by_place(previous.grants)
    waiting = [] if previous is None else list(previous.outstanding)
    grants: list[Grant] = []
    outstanding: list[OutstandingGrant] = []
    for pool in sorted(capacities):
        before = {k[0]: grant for k, grant in held.items() if k[1:] == pool}
        kept = [
            item
            for item in waiting
            if (item.grant.region, item.grant.service) == pool
            and not _is_over(item, known.get(item.grant.instance))
        ]
        new, shrunk = _regrant_pool(
            pool,
            capacities[pool],
            wants.get(pool, {}),
            known,
            before,
            kept,
            sequence,
            leaving,
        )
        grants.extend(new)
        outstanding.extend((*kept, *shrunk))
    events = tuple(_events(known, held))
    return GrantDecision(sequence, tuple(grants), tuple(outstanding), events)


def _regrant_pool(
    pool: Pool,
    capacity: int,
    wants: Mapping[InstanceId, float],
    known: Mapping[InstanceId, InstanceContact],
    before: Mapping[InstanceId, Grant],
    kept: list[OutstandingGrant],
    sequence: int,
    leaving: frozenset[InstanceId],
) -> tuple[list[Grant], list[OutstandingGrant]]:
    present = {name: g for name, g in before.items() if not _gone(known.get(name))}
    targets = _targets(capacity, wants, known, present, leaving)
    shrunk = {
        name: _shrink(grant, *targets.get(name, (0, 0)))
        for name, grant in present.items()
    }
    waiting = [
        OutstandingGrant(grant, sequence)
        for name, grant in present.items()
        if _is_smaller(shrunk[name], grant)
    ]
    bounds = _bounds(shrunk, [*kept, *waiting], known)
    room = capacity - sum(bounds.values())
    grown: list[Grant] = []
    for name in sorted(targets.keys() | shrunk.keys()):
        empty = Grant(name, *pool, 0, 0, LOAN_LIFE)
        grant = _grow(
            shrunk.get(name, empty), targets.get(name, (0, 0)), bounds[name], room
        )
        room -= max(0, _total(grant) - bounds[name])
        if _total(grant):
            grown.append(grant)
    return grown, waiting


def _targets(
    capacity: int,
    wants: Mapping[InstanceId, float],
    known: Mapping[InstanceId, InstanceContact],
    before: Mapping[InstanceId, Grant],
    leaving: frozenset[InstanceId],
) -> dict[InstanceId, tuple[int, int]]:
    """Return the floor and loan that each instance should come to."""
    fixed = {
        name: (grant.floor, 0 if _silent(known.get(name)) else grant.loan)
        for name, grant in before.items()
        if name in leaving or _silent(known.get(name))
    }
    active = {n: w for n, w in wants.items() if n not in fixed and w > 0}
    left = max(0, capacity - sum(floor + loan for floor, loan in fixed.values()))
    totals = apportion(left, active)
    if _near(totals, before, left, active):
        totals = {name: _total(before[name]) for name in totals if name in before}
    targets = {
        n: (int(t * FLOOR_SHARE), t - int(t * FLOOR_SHARE)) for n, t in totals.items()
    }
    return targets | fixed


def apportion(slots: int, weights: Mapping[InstanceId, float]) -> dict[InstanceId, int]:
    """Split whole slots by weight, the largest remainders first."""
    total = sum(weights.values())
    if not total:
        return {}
    exact = {name: slots * weight / total for name, weight in weights.items()}
    parts = {name: int(value) for name, value in exact.items()}
    by_remainder = sorted(exact, key=lambda name: (parts[name] - exact[name], name))
    for name in by_remainder[: slots - sum(parts.values())]:
        parts[name] += 1
    return parts


def _near(
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
        abs(totals[name] - value) <= max(1, KEEP_WITHIN * value)
        for name, value in now.items()
    )


def _shrink(grant: Grant, floor: int, loan: int) -> Grant:
    new_floor = min(grant.floor, floor)
    new_total = min(_total(grant), floor + loan)
    return Grant(
        grant.instance,
        grant.region,
        grant.service,
        new_floor,
        max(0, new_total - new_floor),
        LOAN_LIFE,
    )


def _grow(grant: Grant, target: tuple[int, int], bound: int, room: int) -> Grant:
    """Grow a grant to its target by what nobody else may still use.

    :param bound: slots that the instance may use already.
    """
    total = min(sum(target), max(bound, _total(grant)) + max(0, room))
    floor = min(max(grant.floor, target[0]), total)
    return Grant(
        grant.instance, grant.region, grant.service, floor, total - floor, LOAN_LIFE
    )


def _bounds(
    grants: Mapping[InstanceId, Grant],
    outstanding: Iterable[OutstandingGrant],
    known: Mapping[InstanceId, InstanceContact],
) -> defaultdict[InstanceId, int]:
    """Return the slots that each instance may use under any plan it may hold."""
    bounds: defaultdict[InstanceId, int] = defaultdict(int)
    for name, grant in grants.items():
        bounds[name] = _total(grant)
    for item in outstanding:
        name = item.grant.instance
        lapsed = _silent(known.get(name))
        usable = item.grant.floor if lapsed else _total(item.grant)
        bounds[name] = max(bounds[name], usable)
    return bounds


def _is_over(item: OutstandingGrant, contact: InstanceContact | None) -> bool:
    if contact is None:
        return False
    return contact.sequence >= item.until or _gone(contact)


def _gone(contact: InstanceContact | None) -> bool:
    return (
        contact is not None and contact.gone is not None and contact.gone >= GONE_GRACE
    )


def _silent(contact: InstanceContact | None) -> bool:
    return contact is not None and contact.silence >= LOAN_LIFE + LAPSE_MARGIN


def _is_smaller(new: Grant, old: Grant) -> bool:
    return new.floor < old.floor or _total(new) < _total(old)


def _total(grant: Grant) -> int:
    return grant.floor + grant.loan


def _by_place(grants: Iterable[Grant]) -> Held:
    return {(g.instance, g.region, g.service): g for g in grants}


def _events(known: Mapping[InstanceId, InstanceContact], held: Held) -> Iterable[Event]:
    for name in sorted({key[0] for key in held}):
        contact = known.get(name)
        if contact is None:
            continue
        if _gone(contact):
            yield InstanceGone(name)
        elif _silent(contact):
            yield LoansLapsed(name, contact.silence.total_seconds())
