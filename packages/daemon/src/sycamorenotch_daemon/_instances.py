"""The instances that look-up answers may name."""

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
from sycamorenotch_daemon._membership import listed_self
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
    """What this daemon knows about the instances of the system."""

    def instances(self) -> tuple[ListedInstance, ...]:
        """Return every known instance, this one included."""
        ...


@components.register("instances")
@final
class InstanceList:
    """Merges the platform's list with what the peers say of themselves.

    Only the watchers of a data centre poll the list; its other daemons get
    the differences from them.
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
        """Start polling."""
        self._poll.start(POLL_INTERVAL.total_seconds())

    async def stop(self) -> None:
        """Stop polling."""
        if self._poll.running:
            self._poll.stop()

    def instances(self) -> tuple[ListedInstance, ...]:
        """Return every known instance that is not thought dead, and this one."""
        me = self._node.settings.instance
        others = (e for e in self._listing.entries.values() if e.id != me)
        return (
            self._seen(listed_self(self._node)),
            *(self._seen(e) for e in others if self._is_shown(e)),
        )

    def _is_shown(self, entry: ListedInstance) -> bool:
        return self._fleet.usable(entry.id) or self._fleet.is_leaving(entry.id)

    def _seen(self, entry: ListedInstance) -> ListedInstance:
        drained = self._node.require(Drains).covers_instance(entry)
        if not (drained or self._fleet.is_leaving(entry.id)):
            return entry
        return dataclasses.replace(entry, state=InstanceState.LEAVING)

    async def _on_poll(self) -> None:
        if self._fleet.is_watcher() or not self._mesh.connected():
            await self._read()

    async def _read(self) -> None:
        found = await self._node.directory.instances(POLL_TIMEOUT)
        # An empty list cannot be right, as this instance should be in it.
        if found.is_error() or (self._listing.entries and not found.ok):
            return
        push = self._listing.replace(found.ok)
        if push is not None:
            self._fleet.list_is(self._listing.entries.values())
            self._push_to_members(push)

    def _push_to_members(self, push: ListingPush) -> None:
        centre = self._node.settings.data_centre
        for peer in self._mesh.connected():
            if peer.data_centre == centre:
                self._mesh.send(peer.instance, push)

    def _on_connected(self, peer: PeerIdentity) -> None:
        # A newcomer should not wait until the list is polled next.
        if self._poll.running and peer.instance not in self._listing.entries:
            Deferred.fromCoroutine(self._read())
        if not self._listing.entries:
            self._mesh.send(peer.instance, ListingRequest())
            return
        near = peer.data_centre == self._node.settings.data_centre
        if near and self._fleet.is_watcher():
            self._mesh.send(peer.instance, self._listing.whole())

    def _on_request(self, peer: PeerIdentity, _: ListingRequest) -> None:
        if self._listing.entries:
            self._mesh.send(peer.instance, self._listing.whole())

    def _on_push(self, peer: PeerIdentity, message: ListingPush) -> None:
        # A watcher believes its own reading of the list.
        if self._listing.entries and self._fleet.is_watcher():
            return
        before = self._listing.digest
        if not self._listing.apply(message):
            self._mesh.send(peer.instance, ListingRequest())
        elif self._listing.digest != before:
            self._fleet.list_is(self._listing.entries.values())
