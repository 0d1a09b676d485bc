"""Age of what an instance knows of one topic, as answers prove it."""

from __future__ import annotations

from collections.abc import Callable
from typing import final

from sycamorenotch_kernel import Batch
from sycamorenotch_policies.customers import LostWrites
from sycamorenotch_policies.customers import ProvenAge
from sycamorenotch_policies.customers import empty_watch_proof


@final
class TopicAge:
    """Measures the age from when answers were produced, not from their arrival.

    :param clock: returns a time in seconds that also passes while the machine is
        suspended.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._proven = ProvenAge()
        self._lost_writes = LostWrites()

    @property
    def seconds(self) -> float:
        """The age in seconds; infinite if it is unknown."""
        return self._proven.age_s(self._clock())

    def record_store_answer(self, batch: Batch, sent_at: float, wait_s: float) -> bool:
        """Record what an answer of the store proves.

        :param wait_s: wait of the watch, or 0 if it was none.
        :return: whether it proves anything: a store that came back from an older copy
            lacks writes that it acknowledged before.
        """
        now = self._clock()
        self._lost_writes.observe(batch.era, now)
        proven_at = sent_at
        if not batch.items:
            proven_at = empty_watch_proof(sent_at, wait_s, now)
        if not self._lost_writes.includes_all(batch.era, proven_at):
            return False
        self._proven.record(proven_at, now)
        return True

    def record_statement(self, batch: Batch, sent_at: float, era: int) -> None:
        """Record the age that a peer states, counted from the call to it.

        :param era: era of what this instance knows; the age of items of another era
            does not apply to it.
        """
        self._lost_writes.observe(batch.era, self._clock())
        if batch.age_s is not None and batch.era == era:
            self._proven.record(sent_at - batch.age_s, self._clock())
