"""Differences between two states of the platform's list of instances."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
from hashlib import blake2b
from typing import final

from sycamorenotch_daemon._peer_codec import encode_message
from sycamorenotch_kernel import InstanceId
from sycamorenotch_kernel import ListedInstance
from sycamorenotch_kernel import ListingPush

DIGEST_BYTES = 8


@final
class Listing:
    """The platform's list as this daemon last heard it."""

    def __init__(self) -> None:
        self.entries: Mapping[InstanceId, ListedInstance] = {}
        self.digest = b""

    def replace(self, entries: Iterable[ListedInstance]) -> ListingPush | None:
        """Take a whole list and return the difference, if there is one."""
        new = {entry.id: entry for entry in entries}
        old, base = self.entries, self.digest
        if base and new == old:
            return None
        self._take(new)
        changed = tuple(entry for entry in new.values() if old.get(entry.id) != entry)
        removed = tuple(name for name in old if name not in new)
        return ListingPush(base, self.digest, changed, removed)

    def whole(self) -> ListingPush:
        """Return the message that carries the whole list."""
        return ListingPush(b"", self.digest, tuple(self.entries.values()))

    def apply(self, push: ListingPush) -> bool:
        """Apply a peer's message.

        :return: whether this daemon's list is the sender's now.
        """
        if push.digest == self.digest:
            return True
        if push.base not in (b"", self.digest):
            return False
        removed = set(push.removed)
        old = self.entries if push.base else {}
        kept = {name: e for name, e in old.items() if name not in removed}
        self._take({**kept, **{entry.id: entry for entry in push.changed}})
        return self.digest == push.digest

    def _take(self, entries: dict[InstanceId, ListedInstance]) -> None:
        self.entries = dict(sorted(entries.items()))
        text = encode_message(ListingPush(b"", b"", tuple(self.entries.values())))
        self.digest = blake2b(text, digest_size=DIGEST_BYTES).digest()
