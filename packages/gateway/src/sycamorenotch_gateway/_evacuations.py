"""Tracks the data centres under evacuation."""

from __future__ import annotations

from typing import final

from sycamorenotch_gateway._follower import Follower
from sycamorenotch_gateway._node import GatewayNode
from sycamorenotch_gateway._worker_events import EvacuationChanged
from sycamorenotch_kernel import Batch
from sycamorenotch_kernel import Topic
from sycamorenotch_policies import WorkerDirectory


@final
class Evacuations:
    """Follows the evacuations of the store, and applies them to the workers.

    :param directory: workers that get no requests while their data centre is evacuated.
    """

    def __init__(self, node: GatewayNode, directory: WorkerDirectory) -> None:
        self._node = node
        self._directory = directory
        self._follower = Follower(node, Topic.EVACUATIONS, self._apply_batch)
        self._stored: set[str] = set()
        # Evacuations that a restored store has lost, and when they end unless they are
        # written again.
        self._lost_until: dict[str, float] = {}

    def start(self) -> None:
        """Start following the evacuations."""
        self._follower.start()

    def stop(self) -> None:
        """Stop following; the last evacuations stay in force."""
        self._follower.stop()

    @property
    def complete(self) -> bool:
        """Whether the evacuations have been read once."""
        return self._follower.complete

    def expire(self, now: float) -> None:
        """End the lost evacuations that were not written again in time."""
        ended = [name for name, until in self._lost_until.items() if now >= until]
        for data_centre in ended:
            del self._lost_until[data_centre]
        if ended:
            self._publish(0)

    def _apply_batch(self, batch: Batch, is_snapshot: bool) -> None:
        if is_snapshot:
            self._hold_lost({item.name for item in batch.items})
            self._stored.clear()
        for item in batch.items:
            self._lost_until.pop(item.name, None)
            if item.removed:
                self._stored.discard(item.name)
            else:
                self._stored.add(item.name)
        self._publish(batch.revision)

    def _hold_lost(self, present: set[str]) -> None:
        """Hold the evacuations that are missing after the store went back."""
        until = self._follower.lost_writes_return_by
        if self._node.clock() < until:
            self._lost_until.update(dict.fromkeys(self._stored - present, until))

    def _publish(self, revision: int) -> None:
        data_centres = frozenset(self._stored | self._lost_until.keys())
        if data_centres != self._directory.evacuated:
            self._directory.evacuate(data_centres, self._node.clock())
            self._node.sink.emit(
                EvacuationChanged(",".join(sorted(data_centres)), revision)
            )
