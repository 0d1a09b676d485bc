"""Keeps the list of instances current from the platform and from peers."""

from __future__ import annotations

import dataclasses
from datetime import timedelta
from typing import ClassVar
from typing import Protocol
from typing import final

from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall

from sycamorenotch_daemon._listing import Listing
from sycamorenotch_daemon._membership import FleetMembership
from sycamorenotch_daemon._membership import own_list_entry
from sycamorenotch_daemon._node import Node
from sycamorenotch_daemon._peer_greeting import PeerIdentity
from sycamorenotch_daemon._peer_mesh import PeerMesh
from sycamorenotch_kernel import Drains
from sycamorenotch_kernel import InstanceState
from sycamorenotch_kernel import ListedInstance
from sycamorenotch_kernel import ListingPush
from sycamorenotch_kernel import ListingRequest
from sycamorenotch_kernel import components

POLL_INTERVAL = timedelta(seconds=2)
POLL_TIMEOUT = timedelta(seconds=2)


class InstanceView(Protocol):
    """Read access to the known instances of the system."""

    def instances(self) -> tuple[ListedInstance, ...]:
        """Return this instance and every other one that is usable or leaving."""
        ...


@components.register("instances")
@final
class InstanceList:
    """Merges the platform's list with the state that peers announce.

    The watchers of a data centre poll the list and push differences to the
    other daemons of the data centre. A daemon without a connected peer polls
    the list for itself.
    """

    after: ClassVar[tuple[str, ...]] = ("configuration", "drains")

    def __init__(self, node: Node) -> None:
        self._node = node
        self._mesh = node.require(PeerMesh)
        self._fleet = node.require(FleetMembership)
        self._listing = Listing()
        self._poll = LoopingCall(self._on_poll)
        self._poll.clock = node.reactor
        self._mesh.observe(self._on_connected)
        self._mesh.handle(ListingPush, self._on_push)
        self._mesh.handle(ListingRequest, self._on_request)
        node.provide(InstanceView, self)  # type: ignore[type-abstract]

    async def start(self) -> None:
        """Start to poll the platform's list."""
        self._poll.start(POLL_INTERVAL.total_seconds())

    async def stop(self) -> None:
        """Stop polling."""
        if self._poll.running:
            self._poll.stop()

    def instances(self) -> tuple[ListedInstance, ...]:
        """Return this instance and every other one that is usable or leaving.

        Drained and leaving instances have the state ``LEAVING``.
        """
        own_id = self._node.settings.instance
        others = (e for e in self._listing.entries.values() if e.id != own_id)
        return (
            self._with_effective_state(own_list_entry(self._node)),
            *(self._with_effective_state(e) for e in others if self._is_visible(e)),
        )

    def _is_visible(self, entry: ListedInstance) -> bool:
        return self._fleet.usable(entry.id) or self._fleet.is_leaving(entry.id)

    def _with_effective_state(self, entry: ListedInstance) -> ListedInstance:
        drained = self._node.require(Drains).covers_instance(entry)
        if not (drained or self._fleet.is_leaving(entry.id)):
            return entry
        return dataclasses.replace(entry, state=InstanceState.LEAVING)

    async def _on_poll(self) -> None:
        if self._fleet.is_watcher() or not self._mesh.connected():
            await self._refresh()

    async def _refresh(self) -> None:
        result = await self._node.directory.instances(POLL_TIMEOUT)
        # An empty list is invalid, as it should contain at least this instance.
        if result.is_error() or (self._listing.entries and not result.ok):
            return
        push = self._listing.replace(result.ok)
        if push is not None:
            self._fleet.update_instances(self._listing.entries.values())
            self._push_to_members(push)

    def _push_to_members(self, push: ListingPush) -> None:
        own_data_centre = self._node.settings.data_centre
        for peer in self._mesh.connected():
            if peer.data_centre == own_data_centre:
                self._mesh.send(peer.instance, push)

    def _on_connected(self, peer: PeerIdentity) -> None:
        # A new instance should be usable before the next poll of the list.
        if self._poll.running and peer.instance not in self._listing.entries:
            Deferred.fromCoroutine(self._refresh())
        if not self._listing.entries:
            self._mesh.send(peer.instance, ListingRequest())
            return
        same_data_centre = peer.data_centre == self._node.settings.data_centre
        if same_data_centre and self._fleet.is_watcher():
            self._mesh.send(peer.instance, self._listing.make_full_push())

    def _on_request(self, peer: PeerIdentity, _: ListingRequest) -> None:
        if self._listing.entries:
            self._mesh.send(peer.instance, self._listing.make_full_push())

    def _on_push(self, peer: PeerIdentity, message: ListingPush) -> None:
        # A watcher trusts only the list that it read from the platform itself.
        if self._listing.entries and self._fleet.is_watcher():
            return
        previous_digest = self._listing.digest
        if not self._listing.apply(message):
            self._mesh.send(peer.instance, ListingRequest())
        elif self._listing.digest != previous_digest:
            self._fleet.update_instances(self._listing.entries.values())
