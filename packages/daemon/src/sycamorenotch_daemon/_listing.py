"""The platform's list of instances and the differences between two versions."""

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
    """The last version of the platform's list that this daemon received."""

    def __init__(self) -> None:
        self.entries: Mapping[InstanceId, ListedInstance] = {}
        self.digest = b""

    def replace(self, entries: Iterable[ListedInstance]) -> ListingPush | None:
        """Replace the list and return the difference to push, if there is one."""
        new = {entry.id: entry for entry in entries}
        old, base = self.entries, self.digest
        if base and new == old:
            return None
        self._set_entries(new)
        changed = tuple(entry for entry in new.values() if old.get(entry.id) != entry)
        removed = tuple(name for name in old if name not in new)
        return ListingPush(base, self.digest, changed, removed)

    def make_full_push(self) -> ListingPush:
        """Return the message that contains the whole list."""
        return ListingPush(b"", self.digest, tuple(self.entries.values()))

    def apply(self, push: ListingPush) -> bool:
        """Apply a push from a peer.

        :return: whether this daemon's list now equals the sender's; if not, the
            push was based on another version.
        """
        if push.digest == self.digest:
            return True
        if push.base not in (b"", self.digest):
            return False
        removed = set(push.removed)
        old = self.entries if push.base else {}
        unchanged = {name: e for name, e in old.items() if name not in removed}
        self._set_entries({**unchanged, **{entry.id: entry for entry in push.changed}})
        return self.digest == push.digest

    def _set_entries(self, entries: dict[InstanceId, ListedInstance]) -> None:
        self.entries = dict(sorted(entries.items()))
        encoded = encode_message(ListingPush(b"", b"", tuple(self.entries.values())))
        self.digest = blake2b(encoded, digest_size=DIGEST_BYTES).digest()
