"""Fleet membership: exchanges heartbeats with a few peers."""

from __future__ import annotations

from collections.abc import Iterable
from datetime import timedelta
from typing import ClassVar
from typing import final

from twisted.internet.task import LoopingCall

from sycamorenotch_daemon._fleet import FleetView
from sycamorenotch_daemon._membership_events import MemberChanged
from sycamorenotch_daemon._node import Node
from sycamorenotch_daemon._node import ServedConfiguration
from sycamorenotch_daemon._peer_greeting import PeerIdentity
from sycamorenotch_daemon._peer_mesh import PeerMesh
from sycamorenotch_kernel import Heartbeat
from sycamorenotch_kernel import InstanceId
from sycamorenotch_kernel import InstanceState
from sycamorenotch_kernel import ListedInstance
from sycamorenotch_kernel import MemberState
from sycamorenotch_kernel import components
from sycamorenotch_policies import FleetMember
from sycamorenotch_policies import Membership
from sycamorenotch_policies import PeerState
from sycamorenotch_policies import Transition
from sycamorenotch_policies import neighbours
from sycamorenotch_policies import successor
from sycamorenotch_policies import watchers

HEARTBEAT_INTERVAL = timedelta(seconds=1)
# The successor in the data centre gets a heartbeat in every round, the contacts
# elsewhere and the watchers less often.
CONTACT_INTERVAL_ROUNDS = 2
WATCHER_INTERVAL_ROUNDS = 10
MAX_CONTACTS = 2
SHORT_DIGEST_BYTES = 8


@components.register("membership")
@final
class FleetMembership:
    """Membership of the fleet as seen by this daemon."""

    after: ClassVar[tuple[str, ...]] = ("peers",)

    def __init__(self, node: Node) -> None:
        self._node = node
        self._mesh = node.require(PeerMesh)
        self._own_id = InstanceId(node.settings.instance)
        self._members = Membership(self._own_id, self._mesh.incarnation)
        self._listed: dict[InstanceId, ListedInstance] = {}
        self._rounds = 0
        self._successor: InstanceId | None = None
        self._contacts: tuple[InstanceId, ...] = ()
        self._watchers: tuple[InstanceId, ...] = ()
        self._stream_targets: dict[InstanceId, str] = {}
        self._peers_outdated = False
        self._kept_streams: dict[str, InstanceId] = {}
        self._loop = LoopingCall(self._on_round)
        self._loop.clock = node.reactor
        self._mesh.handle(Heartbeat, self._on_heartbeat)
        node.provide(FleetMembership, self)
        node.provide(FleetView, self)  # type: ignore[type-abstract]

    async def start(self) -> None:
        """Start to send heartbeats."""
        self._node.configuration.subscribe(self._on_configuration)
        self._loop.start(HEARTBEAT_INTERVAL.total_seconds(), now=False)

    async def stop(self) -> None:
        """Announce to the connected peers that this instance leaves, then stop."""
        if self._loop.running:
            self._loop.stop()
        for peer in self._mesh.connected():
            self._mesh.send(peer.instance, self._heartbeat(answer=False))

    def update_instances(self, listed: Iterable[ListedInstance]) -> None:
        """Apply the platform's list of instances."""
        self._listed = {entry.id: entry for entry in listed}
        self._report_transitions(
            self._members.update_list(self._listed.values(), self._now())
        )
        self._select_peers()
        self._mesh.set_targets(self._stream_targets)

    def usable(self, instance: InstanceId) -> bool:
        """Return whether an instance may receive work or a role."""
        return self._members.usable(instance)

    def is_leaving(self, instance: InstanceId) -> bool:
        """Return whether an instance announced its shutdown."""
        return self._members.is_leaving(instance)

    def keep(self, purpose: str, instance: InstanceId) -> None:
        """Keep a stream open to an instance, such as the lease holder.

        :param purpose: key of the stream; a later call with the same purpose
            replaces the instance.
        """
        if self._kept_streams.get(purpose) != instance:
            self._kept_streams[purpose] = instance
            self._select_peers()
            self._mesh.set_targets(self._stream_targets)

    def watchers(self) -> tuple[InstanceId, ...]:
        """Return the watchers of this daemon's data centre."""
        return self._watchers

    def is_watcher(self) -> bool:
        """Return whether this daemon watches the store for its data centre.

        A daemon that knows no watcher watches the store for itself.
        """
        return not self._watchers or self._own_id in self._watchers

    def members(self) -> tuple[FleetMember, ...]:
        """Return every known instance and this one, sorted by identifier."""
        others = self._members.members(self._now())
        return tuple(sorted((self._own_member(), *others), key=lambda m: m.instance))

    def in_force(self, generation: int) -> tuple[FleetMember, ...]:
        """Return the members known to serve at least a generation."""
        return tuple(m for m in self.members() if m.generation >= generation)

    def missing(self, generation: int) -> tuple[FleetMember, ...]:
        """Return the members not known to serve at least a generation."""
        return tuple(
            m
            for m in self.members()
            if m.generation < generation and m.state is not MemberState.GONE
        )

    def _own_member(self) -> FleetMember:
        settings, current = self._node.settings, self._node.configuration.current
        return FleetMember(
            instance=self._own_id,
            region=settings.region,
            data_centre=settings.data_centre,
            state=MemberState.LEAVING if self._node.stopping else MemberState.LIVE,
            incarnation=self._members.incarnation,
            generation=0 if current is None else current.generation,
            digest="" if current is None else current.digest,
            last_heard=timedelta(),
            listed=self._own_id in self._listed,
        )

    def _now(self) -> timedelta:
        return self._node.clock.monotonic()

    def _heartbeat(self, *, answer: bool) -> Heartbeat:
        current = self._node.configuration.current
        digest = bytes.fromhex(current.digest) if current else b""
        return Heartbeat(
            answer=answer,
            incarnation=self._members.incarnation,
            leaving=self._node.stopping,
            generation=0 if current is None else current.generation,
            digest=digest[:SHORT_DIGEST_BYTES],
            rumours=self._members.rumours(),
        )

    def _on_round(self) -> None:
        self._rounds += 1
        self._report_transitions(self._members.tick(self._now()))
        if self._peers_outdated:
            self._select_peers()
        self._mesh.set_targets(self._stream_targets)
        targets = {self._successor} if self._successor else set()
        if self._rounds % CONTACT_INTERVAL_ROUNDS == 0:
            targets.update(self._contacts)
        if self._rounds % WATCHER_INTERVAL_ROUNDS == 0:
            targets.update(self._watchers)
        for instance in sorted(targets - {self._own_id}):
            self._members.expect_answer(instance, self._now())
            self._mesh.send(instance, self._heartbeat(answer=True))

    def _select_peers(self) -> None:
        usable = tuple(i for i in self._listed if self._members.usable(i))
        own_data_centre = self._node.settings.data_centre
        local = tuple(
            i for i in usable if self._listed[i].data_centre == own_data_centre
        )
        self._watchers = watchers(own_data_centre, local)
        self._successor = successor(self._own_id, local)
        # A suspected peer stays a contact, so that its recovery is detected.
        self._contacts = neighbours(self._own_id, self._listed, MAX_CONTACTS)
        selected = {*self._watchers, *self._contacts, self._successor} - {self._own_id}
        observed = {i for i in selected if i is not None}
        self._members.expect_answers_only_from(observed)
        with_streams = observed | {
            i for i in self._kept_streams.values() if i != self._own_id
        }
        self._stream_targets = {
            i: self._listed[i].peers for i in sorted(with_streams) if i in self._listed
        }
        self._peers_outdated = False

    def _on_heartbeat(self, peer: PeerIdentity, message: Heartbeat) -> None:
        now = self._now()
        peer_state = PeerState(
            peer.instance,
            peer.region,
            peer.data_centre,
            message.incarnation,
            message.leaving,
            message.generation,
            message.digest.hex(),
        )
        self._report_transitions(self._members.apply_peer_state(peer_state, now))
        for rumour in message.rumours:
            self._report_transitions(self._members.apply_rumour(rumour, now))
        if message.answer:
            self._mesh.send(peer.instance, self._heartbeat(answer=False))

    def _on_configuration(self, _: ServedConfiguration) -> None:
        recipients = (self._successor, *self._contacts)
        for instance in {i for i in recipients if i is not None}:
            self._mesh.send(instance, self._heartbeat(answer=False))

    def _report_transitions(self, transitions: Iterable[Transition]) -> None:
        for transition in transitions:
            self._peers_outdated = True
            self._node.sink.emit(
                MemberChanged(
                    transition.instance, transition.state.value, transition.incarnation
                )
            )


def own_list_entry(node: Node) -> ListedInstance:
    """Return this daemon's own entry, which the platform's list may not contain."""
    settings = node.settings
    return ListedInstance(
        id=InstanceId(settings.instance),
        region=settings.region,
        data_centre=settings.data_centre,
        callers=settings.callers,
        peers=settings.peers,
        state=InstanceState.LEAVING if node.stopping else InstanceState.LIVE,
        operators=settings.operators,
    )
