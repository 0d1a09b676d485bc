"""Starts and stops the components of one daemon."""

from __future__ import annotations

from typing import final

from sycamorenotch_daemon._events import DaemonStarted
from sycamorenotch_daemon._events import DaemonStopped
from sycamorenotch_daemon._events import DaemonStopping
from sycamorenotch_daemon._node import Component
from sycamorenotch_daemon._node import Node
from sycamorenotch_kernel import components
from sycamorenotch_kernel import sort_by_dependencies


@final
class Daemon:
    """One instance of the system.

    :param node: the context that the components share.
    """

    def __init__(self, node: Node) -> None:
        self.node = node
        self._components: tuple[Component, ...] = tuple(
            factory(node) for factory in sort_by_dependencies(components)
        )

    async def start(self) -> None:
        """Start the components in order of their dependencies."""
        for component in self._components:
            await component.start()
        settings = self.node.settings
        self.node.sink.emit(
            DaemonStarted(settings.instance, settings.callers, settings.operators)
        )

    async def stop(self, *, linger: bool = True) -> None:
        """Leave the look-up answers, drain calls in flight and stop the components.

        A second call returns at once.

        :param linger: whether to serve until earlier look-up answers expire;
            not needed if there are no callers.
        """
        if self.node.stopping:
            return
        self.node.linger = linger
        self.node.stopping = True
        self.node.sink.emit(DaemonStopping(self.node.settings.instance))
        for component in reversed(self._components):
            await component.stop()
        self.node.sink.emit(DaemonStopped(self.node.settings.instance))
