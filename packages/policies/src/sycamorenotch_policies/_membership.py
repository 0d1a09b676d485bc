"""Failure detection: fleet members from the platform's list, heartbeats and rumours."""

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
from sycamorenotch_policies._member_state_machine import MemberStateMachine
from sycamorenotch_policies._member_state_machine import new_member_state_machine

SUSPECT_AFTER = timedelta(seconds=3)
GONE_AFTER = timedelta(seconds=6)
# The platform's list lags, so an unlisted instance is kept while it is heard from.
FORGET_AFTER = timedelta(seconds=60)
# If more than this share of the others looks dead, the fault is taken to be a network
# partition of this instance.
PARTITIONED_SHARE = 0.5
PARTITIONED_MIN_MEMBERS = 3
CHANGES_PER_HEARTBEAT = 4
REPEATS_PER_HEARTBEAT = 2


@final
@dataclass(slots=True)
class _Member:
    instance: InstanceId
    region: str = ""
    data_centre: str = ""
    incarnation: int = 0
    generation: int = 0
    digest: str = ""
    last_heard_at: timedelta | None = None
    state_since: timedelta = timedelta()
    last_heartbeat_at: timedelta | None = None
    awaiting_since: timedelta | None = None
    listed: bool = False
    machine: MemberStateMachine = field(default_factory=new_member_state_machine)

    @property
    def state(self) -> MemberState:
        return self.machine.state()

    def enter(self, state: MemberState, now: timedelta) -> bool:
        inputs = {
            MemberState.LIVE: self.machine.alive,
            MemberState.LEAVING: self.machine.leave,
            MemberState.SUSPECT: self.machine.suspect,
            MemberState.GONE: self.machine.confirm,
        }
        changed = inputs[state]()
        if changed:
            self.state_since = now
        return changed


@final
@dataclass(frozen=True, slots=True)
class Transition:
    """A change of a member's state."""

    instance: InstanceId
    state: MemberState
    incarnation: int


@final
@dataclass(frozen=True, slots=True)
class PeerState:
    """State that a peer reports of itself in a heartbeat.

    :param incarnation: number of the peer's start; refuting a suspicion raises it.
    :param generation: configuration generation that the peer serves, or 0.
    :param digest: digest of that configuration.
    """

    instance: InstanceId
    region: str
    data_centre: str
    incarnation: int
    leaving: bool
    generation: int
    digest: str


@final
class Membership:
    """Fleet members that one daemon knows, itself excluded.

    :param own_id: this daemon's identifier.
    :param incarnation: number of this start; later starts have higher ones.
    """

    def __init__(self, own_id: InstanceId, incarnation: int) -> None:
        self.own_id = own_id
        self.incarnation = incarnation
        self._members: dict[InstanceId, _Member] = {}
        self._remaining_sends: dict[InstanceId, int] = {}
        # A tick checks only these, so that its cost does not grow with the fleet.
        self._unsettled: set[InstanceId] = set()
        self._cursor = 0

    def update_list(
        self, listed: Iterable[ListedInstance], now: timedelta
    ) -> tuple[Transition, ...]:
        """Merge the platform's list, which lags behind the peers' own heartbeats.

        :param now: monotonic clock of this daemon.
        """
        entries = {i.id: i for i in listed if i.id != self.own_id}
        for entry in entries.values():
            member = self._members.get(entry.id)
            if member is None:
                member = self._add(entry.id, now)
            member.region, member.data_centre = entry.region, entry.data_centre
        for member in self._members.values():
            member.listed = member.instance in entries
            if not member.listed:
                self._unsettled.add(member.instance)
        return self.tick(now)

    def apply_peer_state(
        self, peer_state: PeerState, now: timedelta
    ) -> tuple[Transition, ...]:
        """Apply the state that a peer reported of itself over its own stream."""
        member = self._members.get(peer_state.instance) or self._add(
            peer_state.instance, now
        )
        if peer_state.incarnation < member.incarnation:
            return ()
        restarted = peer_state.incarnation > member.incarnation
        member.incarnation = peer_state.incarnation
        member.region, member.data_centre = peer_state.region, peer_state.data_centre
        member.last_heard_at = member.last_heartbeat_at = now
        member.awaiting_since = None
        if restarted or peer_state.generation >= member.generation:
            member.generation, member.digest = peer_state.generation, peer_state.digest
        state = MemberState.LEAVING if peer_state.leaving else MemberState.LIVE
        return self._enter(member, state, now)

    def apply_rumour(self, rumour: Rumour, now: timedelta) -> tuple[Transition, ...]:
        """Apply what a peer reported of a third instance.

        This instance refutes a rumour that it is suspect or gone by raising its
        own incarnation.
        """
        if rumour.instance == self.own_id:
            self._refute(rumour)
            return ()
        member = self._members.get(rumour.instance)
        if member is None or rumour.incarnation < member.incarnation:
            return ()
        newer = rumour.incarnation > member.incarnation
        if newer:
            member.incarnation = rumour.incarnation
            member.generation, member.last_heard_at = rumour.generation, now
        elif rumour.generation > member.generation:
            member.generation, member.last_heard_at = rumour.generation, now
        if not newer and (
            _precedence(rumour.state) <= _precedence(member.state)
            or _was_heard_recently(member, now)
        ):
            return ()
        return self._enter(member, rumour.state, now)

    def expect_answer(self, instance: InstanceId, now: timedelta) -> None:
        """Record that a heartbeat was sent which the instance should answer."""
        member = self._members.get(instance)
        if member is not None and member.awaiting_since is None:
            member.awaiting_since = now
            self._unsettled.add(instance)

    def expect_answers_only_from(self, observed: Iterable[InstanceId]) -> None:
        """Expect no answer from any instance but the observed ones.

        :param observed: instances that this daemon still sends heartbeats to.
        """
        kept = set(observed)
        for member in self._members.values():
            if member.instance not in kept:
                member.awaiting_since = None

    def tick(self, now: timedelta) -> tuple[Transition, ...]:
        """Suspect members that do not answer; mark gone those that do not refute it."""
        changes: list[Transition] = []
        for member in [self._members[name] for name in sorted(self._unsettled)]:
            changes += self._tick_member(member, now)
            if not member.listed and self._is_forgettable(member, now):
                del self._members[member.instance]
                self._remaining_sends.pop(member.instance, None)
                self._unsettled.discard(member.instance)
            elif self._is_settled(member):
                self._unsettled.discard(member.instance)
        return tuple(changes)

    def rumours(self) -> tuple[Rumour, ...]:
        """Return the rumours of one heartbeat, bounded in number.

        Recently changed members come first, then the next few in rotation, so
        that every member is repeated in time.
        """
        changed_ids = sorted(
            self._remaining_sends, key=lambda i: -self._remaining_sends[i]
        )[:CHANGES_PER_HEARTBEAT]
        for instance in changed_ids:
            self._remaining_sends[instance] -= 1
            if self._remaining_sends[instance] <= 0:
                del self._remaining_sends[instance]
        chosen = dict.fromkeys((*changed_ids, *self._next_in_rotation()))
        return tuple(_rumour(self._members[instance]) for instance in chosen)

    def members(self, now: timedelta) -> tuple[FleetMember, ...]:
        """Return every member, sorted by identifier."""
        return tuple(
            _fleet_member(self._members[instance], now)
            for instance in sorted(self._members)
        )

    def usable(self, instance: InstanceId) -> bool:
        """Return whether an instance may be given work or a role.

        While this instance is partitioned, it only excludes leaving members, as the
        states of the others are not reliable.
        """
        if instance == self.own_id:
            return True
        member = self._members.get(instance)
        return member is not None and (
            member.state is MemberState.LIVE
            or (self.is_partitioned() and member.state is not MemberState.LEAVING)
        )

    def is_leaving(self, instance: InstanceId) -> bool:
        """Return whether an instance announced its stop."""
        member = self._members.get(instance)
        return member is not None and member.state is MemberState.LEAVING

    def is_partitioned(self) -> bool:
        """Return whether so many others look dead that the fault must be here."""
        dead = sum(
            m.state in (MemberState.SUSPECT, MemberState.GONE)
            for m in self._members.values()
            if m.listed
        )
        listed = sum(m.listed for m in self._members.values())
        return dead >= PARTITIONED_MIN_MEMBERS and dead > PARTITIONED_SHARE * listed

    def _add(self, instance: InstanceId, now: timedelta) -> _Member:
        self._unsettled.add(instance)
        return self._members.setdefault(instance, _Member(instance, state_since=now))

    def _tick_member(self, member: _Member, now: timedelta) -> tuple[Transition, ...]:
        silent = (
            member.awaiting_since is not None
            and now - member.awaiting_since >= SUSPECT_AFTER
        )
        if silent and member.state in (MemberState.LIVE, MemberState.LEAVING):
            return self._enter(member, MemberState.SUSPECT, now)
        overdue = now - member.state_since >= GONE_AFTER
        if member.state is MemberState.SUSPECT and overdue:
            return self._enter(member, MemberState.GONE, now)
        return ()

    def _is_settled(self, member: _Member) -> bool:
        suspect = member.state is MemberState.SUSPECT
        return member.listed and member.awaiting_since is None and not suspect

    def _is_forgettable(self, member: _Member, now: timedelta) -> bool:
        heard_at = (
            member.state_since if member.last_heard_at is None else member.last_heard_at
        )
        return now - max(heard_at, member.state_since) >= FORGET_AFTER

    def _enter(
        self, member: _Member, state: MemberState, now: timedelta
    ) -> tuple[Transition, ...]:
        if not member.enter(state, now):
            return ()
        self._unsettled.add(member.instance)
        # A change is repeated a number of times that grows with the logarithm of
        # the fleet size, so that gossip spreads it to every member.
        self._remaining_sends[member.instance] = 2 * len(self._members).bit_length()
        return (Transition(member.instance, state, member.incarnation),)

    def _refute(self, rumour: Rumour) -> None:
        dead = rumour.state in (MemberState.SUSPECT, MemberState.GONE)
        if dead and rumour.incarnation >= self.incarnation:
            self.incarnation = rumour.incarnation + 1

    def _next_in_rotation(self) -> tuple[InstanceId, ...]:
        names = tuple(self._members)
        count = min(REPEATS_PER_HEARTBEAT, len(names))
        positions = range(self._cursor, self._cursor + count)
        self._cursor = (self._cursor + count) % max(1, len(names))
        return tuple(names[position % len(names)] for position in positions)


def _precedence(state: MemberState) -> int:
    """Return the precedence of a state over others of the same incarnation."""
    return list(MemberState).index(state)


def _was_heard_recently(member: _Member, now: timedelta) -> bool:
    """Return whether the member itself was heard recently, which overrides rumours."""
    return (
        member.last_heartbeat_at is not None
        and now - member.last_heartbeat_at < SUSPECT_AFTER
    )


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
        last_heard=None if member.last_heard_at is None else now - member.last_heard_at,
        listed=member.listed,
    )
