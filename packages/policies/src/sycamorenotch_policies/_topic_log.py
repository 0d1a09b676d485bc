"""Items of a topic with their recent changes, for readers that follow them."""

from __future__ import annotations

import itertools
from collections import deque
from collections.abc import Iterable
from typing import final

from sycamorenotch_kernel import Batch
from sycamorenotch_kernel import Item
from sycamorenotch_kernel import Position

# Readers that are further behind get all items.
MAX_CHANGES = 2_048


@final
class TopicLog:
    """Keeps the items of a topic and which of them changed at which revision.

    Each item is kept once, as it is now: items may be large, and readers need no
    earlier ones. Items that could not be decoded are kept too, so that each reader
    reports them.
    """

    def __init__(self) -> None:
        self._items: dict[str, Item] = {}
        # Revisions and names of changed and removed items.
        self._changes: deque[tuple[int, str]] = deque()
        # Changes after this revision are complete.
        self._base = 0
        self.position = Position()

    def apply(self, batch: Batch, *, is_snapshot: bool) -> None:
        """Add a batch of changes, or replace all items.

        Changes continue the history of the last snapshot; another one needs a snapshot.
        """
        if is_snapshot:
            self._items.clear()
            self._changes.clear()
            self._base = batch.revision
        for item in batch.items:
            if item.removed:
                self._items.pop(item.name, None)
            else:
                self._items[item.name] = item
            if not is_snapshot:
                self._changes.append((batch.revision, item.name))
        while len(self._changes) > MAX_CHANGES:
            self._base, _ = self._changes.popleft()
        self.position = batch.position

    def snapshot(self) -> Batch:
        """Return all items."""
        return self._batch(self._items.values())

    def since(self, after: Position) -> tuple[Batch, bool]:
        """Return what changed after a moment.

        :return: the changed items, each once, and whether they are all items of the
            topic because the changes are not known.
        """
        if after.era != self.position.era or after.revision < self._base:
            return self.snapshot(), True
        changed = {
            name: changed_at
            for changed_at, name in self._changes
            if changed_at > after.revision
        }
        return self._batch(itertools.starmap(self._item, changed.items())), False

    def _item(self, name: str, changed_at: int) -> Item:
        return self._items.get(name) or Item(name, changed_at, removed=True)

    def _batch(self, items: Iterable[Item]) -> Batch:
        return Batch(tuple(items), self.position.revision, self.position.era)
