"""Which instances are alive, from the platform's list, heartbeats and rumours."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
from datetime import timedelta
from typing import final

from sycamorenotch_kernel import InstanceId
from sycamorenotch_kernel import ListedInstance
from sycamorenotch_kernel import MemberState
from sycamorenotch_kernel import Rumour
from sycamorenotch_policies._fleet import FleetMember
from sycamorenotch_policies._member_life import MemberLife
from sycamorenotch_policies._member_life import new_life

SUSPECT_AFTER = timedelta(seconds=3)
GONE_AFTER = timedelta(seconds=6)
# An instance that the list lacks is kept while it is heard, as the list lags.
FORGET_AFTER = timedelta(seconds=60)
# If more than this share of the others looks dead, this instance is cut off.
CUT_OFF_SHARE = 0.5
CUT_OFF_LEAST = 3
NEWS_PER_HEARTBEAT = 4
REFRESH_PER_HEARTBEAT = 2


@final
@dataclass(slots=True)
class _Member:
    instance: InstanceId
    region: str = ""
    data_centre: str = ""
    incarnation: int = 0
    generation: int = 0
    digest: str = ""
    heard: timedelta | None = None
    since: timedelta = timedelta()
    direct: timedelta | None = None
    asked: timedelta | None = None
    listed: bool = False
    life: MemberLife = field(default_factory=new_life)

    @property
    def state(self) -> MemberState:
        return self.life.state()

    def enter(self, state: MemberState, now: timedelta) -> bool:
        inputs = {
            MemberState.LIVE: self.life.alive,
            MemberState.LEAVING: self.life.leave,
            MemberState.SUSPECT: self.life.suspect,
            MemberState.GONE: self.life.confirm,
        }
        changed = inputs[state]()
        if changed:
            self.since = now
        return changed


@final
@dataclass(frozen=True, slots=True)
class Transition:
    """A member changed its state."""

    instance: InstanceId
    state: MemberState
    incarnation: int


@final
@dataclass(frozen=True, slots=True)
class PeerNews:
    """What a peer says of itself."""

    instance: InstanceId
    region: str
    data_centre: str
    incarnation: int
    leaving: bool
    generation: int
    digest: str


@final
class Membership:
    """The members that one daemon knows, itself excluded.

    :param me: this daemon's identifier.
    :param incarnation: number of this start; later starts have higher ones.
    """

    def __init__(self, me: InstanceId, incarnation: int) -> None:
        self.me = me
        self.incarnation = incarnation
        self._members: dict[InstanceId, _Member] = {}
        self._news: dict[InstanceId, int] = {}
        # Only these need a look at each tick, whatever the size of the fleet.
        self._doubtful: set[InstanceId] = set()
        self._cursor = 0

    def list_is(
        self, listed: Iterable[ListedInstance], now: timedelta
    ) -> tuple[Transition, ...]:
        """Merge the platform's list, which lags behind the peers' own news."""
        entries = {i.id: i for i in listed if i.id != self.me}
        for entry in entries.values():
            member = self._members.get(entry.id)
            if member is None:
                member = self._add(entry.id, now)
            member.region, member.data_centre = entry.region, entry.data_centre
        for member in self._members.values():
            member.listed = member.instance in entries
            if not member.listed:
                self._doubtful.add(member.instance)
        return self.tick(now)

    def heard(self, news: PeerNews, now: timedelta) -> tuple[Transition, ...]:
        """Take what a peer said of itself over its own stream."""
        member = self._members.get(news.instance) or self._add(news.instance, now)
        if news.incarnation < member.incarnation:
            return ()
        restarted = news.incarnation > member.incarnation
        member.incarnation = news.incarnation
        member.region, member.data_centre = news.region, news.data_centre
        member.heard = member.direct = now
        member.asked = None
        if restarted or news.generation >= member.generation:
            member.generation, member.digest = news.generation, news.digest
        state = MemberState.LEAVING if news.leaving else MemberState.LIVE
        return self._enter(member, state, now)

    def rumour(self, rumour: Rumour, now: timedelta) -> tuple[Transition, ...]:
        """Take what a peer said of a third instance.

        A rumour that this instance itself is dead is refuted by a higher
        incarnation.
        """
        if rumour.instance == self.me:
            self._refute(rumour)
            return ()
        member = self._members.get(rumour.instance)
        if member is None or rumour.incarnation < member.incarnation:
            return ()
        newer = rumour.incarnation > member.incarnation
        if newer:
            member.incarnation = rumour.incarnation
            member.generation, member.heard = rumour.generation, now
        elif rumour.generation > member.generation:
            member.generation, member.heard = rumour.generation, now
        if not newer and (
            _order(rumour.state) <= _order(member.state) or _is_fresh(member, now)
        ):
            return ()
        return self._enter(member, rumour.state, now)

    def asked(self, instance: InstanceId, now: timedelta) -> None:
        """Take note of a heartbeat that the instance should answer."""
        member = self._members.get(instance)
        if member is not None and member.asked is None:
            member.asked = now
            self._doubtful.add(instance)

    def release(self, observed: Iterable[InstanceId]) -> None:
        """Expect no answer from instances that are not observed any more."""
        kept = set(observed)
        for member in self._members.values():
            if member.instance not in kept:
                member.asked = None

    def tick(self, now: timedelta) -> tuple[Transition, ...]:
        """Suspect who does not answer, give up who does not refute."""
        changes: list[Transition] = []
        for member in [self._members[name] for name in sorted(self._doubtful)]:
            changes += self._tick(member, now)
            if not member.listed and self._forgettable(member, now):
                del self._members[member.instance]
                self._news.pop(member.instance, None)
                self._doubtful.discard(member.instance)
            elif self._is_settled(member):
                self._doubtful.discard(member.instance)
        return tuple(changes)

    def rumours(self) -> tuple[Rumour, ...]:
        """Return a bounded digest: changed members first, then the next few."""
        urgent = sorted(self._news, key=lambda i: -self._news[i])[:NEWS_PER_HEARTBEAT]
        for instance in urgent:
            self._news[instance] -= 1
            if self._news[instance] <= 0:
                del self._news[instance]
        chosen = dict.fromkeys((*urgent, *self._refreshed()))
        return tuple(_rumour(self._members[instance]) for instance in chosen)

    def members(self, now: timedelta) -> tuple[FleetMember, ...]:
        """Return every member, by identifier."""
        return tuple(
            _fleet_member(self._members[instance], now)
            for instance in sorted(self._members)
        )

    def usable(self, instance: InstanceId) -> bool:
        """Return whether an instance may be given work or a role."""
        if instance == self.me:
            return True
        member = self._members.get(instance)
        return member is not None and (
            member.state is MemberState.LIVE
            or (self.is_cut_off() and member.state is not MemberState.LEAVING)
        )

    def is_leaving(self, instance: InstanceId) -> bool:
        """Return whether an instance announced its stop."""
        member = self._members.get(instance)
        return member is not None and member.state is MemberState.LEAVING

    def is_cut_off(self) -> bool:
        """Return whether so many others look dead that the fault is here."""
        dead = sum(
            m.state in (MemberState.SUSPECT, MemberState.GONE)
            for m in self._members.values()
            if m.listed
        )
        listed = sum(m.listed for m in self._members.values())
        return dead >= CUT_OFF_LEAST and dead > CUT_OFF_SHARE * listed

    def _add(self, instance: InstanceId, now: timedelta) -> _Member:
        self._doubtful.add(instance)
        return self._members.setdefault(instance, _Member(instance, since=now))

    def _tick(self, member: _Member, now: timedelta) -> tuple[Transition, ...]:
        silent = member.asked is not None and now - member.asked >= SUSPECT_AFTER
        if silent and member.state in (MemberState.LIVE, MemberState.LEAVING):
            return self._enter(member, MemberState.SUSPECT, now)
        overdue = now - member.since >= GONE_AFTER
        if member.state is MemberState.SUSPECT and overdue:
            return self._enter(member, MemberState.GONE, now)
        return ()

    def _is_settled(self, member: _Member) -> bool:
        suspect = member.state is MemberState.SUSPECT
        return member.listed and member.asked is None and not suspect

    def _forgettable(self, member: _Member, now: timedelta) -> bool:
        heard = member.since if member.heard is None else member.heard
        return now - max(heard, member.since) >= FORGET_AFTER

    def _enter(
        self, member: _Member, state: MemberState, now: timedelta
    ) -> tuple[Transition, ...]:
        if not member.enter(state, now):
            return ()
        self._doubtful.add(member.instance)
        # Each piece of news is passed on a number of times that grows with
        # the logarithm of the fleet, so that it reaches everyone.
        self._news[member.instance] = 2 * len(self._members).bit_length()
        return (Transition(member.instance, state, member.incarnation),)

    def _refute(self, rumour: Rumour) -> None:
        dead = rumour.state in (MemberState.SUSPECT, MemberState.GONE)
        if dead and rumour.incarnation >= self.incarnation:
            self.incarnation = rumour.incarnation + 1

    def _refreshed(self) -> tuple[InstanceId, ...]:
        names = tuple(self._members)
        count = min(REFRESH_PER_HEARTBEAT, len(names))
        places = range(self._cursor, self._cursor + count)
        self._cursor = (self._cursor + count) % max(1, len(names))
        return tuple(names[place % len(names)] for place in places)


def _order(state: MemberState) -> int:
    """Return how strongly news of one incarnation overrides other news."""
    return list(MemberState).index(state)


def _is_fresh(member: _Member, now: timedelta) -> bool:
    """Return whether the member itself was heard, which outweighs rumours."""
    return member.direct is not None and now - member.direct < SUSPECT_AFTER


def _rumour(member: _Member) -> Rumour:
    return Rumour(member.instance, member.incarnation, member.state, member.generation)


def _fleet_member(member: _Member, now: timedelta) -> FleetMember:
    return FleetMember(
        instance=member.instance,
        region=member.region,
        data_centre=member.data_centre,
        state=member.state,
        incarnation=member.incarnation,
        generation=member.generation,
        digest=member.digest,
        last_heard=None if member.heard is None else now - member.heard,
        listed=member.listed,
    )
