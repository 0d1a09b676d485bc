"""The instances that look-up answers may name."""

from __future__ import annotations

from dataclasses import replace
from datetime import timedelta
from typing import ClassVar
from typing import Protocol
from typing import final

from twisted.internet.task import LoopingCall

from sycamorenotch_daemon._node import Node
from sycamorenotch_kernel import Drains
from sycamorenotch_kernel import InstanceId
from sycamorenotch_kernel import InstanceState
from sycamorenotch_kernel import ListedInstance
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
    """Polls the platform's list and adds what this daemon knows of itself."""

    after: ClassVar[tuple[str, ...]] = ("configuration", "drains")

    def __init__(self, node: Node) -> None:
        self._node = node
        self._others: tuple[ListedInstance, ...] = ()
        self._poll = LoopingCall.withCount(self._on_poll)
        self._poll.clock = node.reactor
        node.provide(InstanceView, self)  # type: ignore[type-abstract]

    async def start(self) -> None:
        """Start polling."""
        self._poll.start(POLL_INTERVAL.total_seconds())

    async def stop(self) -> None:
        """Stop polling."""
        if self._poll.running:
            self._poll.stop()

    def instances(self) -> tuple[ListedInstance, ...]:
        """Return every known instance, this one included."""
        listed = (self._self(), *self._others)
        drains = self._node.require(Drains)
        return tuple(
            replace(item, state=InstanceState.LEAVING)
            if drains.covers_instance(item)
            else item
            for item in listed
        )

    def _self(self) -> ListedInstance:
        settings = self._node.settings
        stopping = self._node.stopping
        return ListedInstance(
            id=InstanceId(settings.instance),
            region=settings.region,
            data_centre=settings.data_centre,
            callers=settings.callers,
            peers=settings.peers,
            state=InstanceState.LEAVING if stopping else InstanceState.LIVE,
            operators=settings.operators,
        )

    async def _on_poll(self, _: int) -> None:
        found = await self._node.directory.instances(POLL_TIMEOUT)
        if found.is_ok():
            me = self._node.settings.instance
            self._others = tuple(item for item in found.ok if item.id != me)
