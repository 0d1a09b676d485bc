"""Distribution of configuration texts to instances and their confirmation."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from hashlib import sha256
from typing import final

from sycamorenotch_kernel import ConfigurationPush
from sycamorenotch_policies._difference import apply_difference
from sycamorenotch_policies._difference import difference

HISTORY_LENGTH = 4


@final
@dataclass(frozen=True, slots=True)
class ConfigurationText:
    """A configuration document as stored.

    :param digest: SHA-256 of the text.
    :param text: the document, encoded as in the store.
    """

    generation: int
    digest: bytes
    text: bytes

    @classmethod
    def of(cls, generation: int, text: bytes) -> ConfigurationText:
        """Return a configuration text with its computed digest."""
        return cls(generation, sha256(text).digest(), text)


@final
class ConfigurationHistory:
    """The newest few texts, as bases for making and applying differences."""

    def __init__(self) -> None:
        self._texts: OrderedDict[int, ConfigurationText] = OrderedDict()

    def add(self, text: ConfigurationText) -> None:
        """Add the text that is in force now; only the newest few are kept."""
        self._texts[text.generation] = text
        if len(self._texts) > HISTORY_LENGTH:
            self._texts.popitem(last=False)

    @property
    def newest(self) -> ConfigurationText | None:
        """The text in force, or None before the first."""
        return next(reversed(self._texts.values()), None)

    def make_push(self, generation: int) -> ConfigurationPush | None:
        """Return the push that brings a peer up to date, or None if it is current.

        :param generation: generation in force at the peer; 0 for none.
        :return: a difference to that generation, or the whole text if its base is
            not in the history.
        """
        newest = self.newest
        if newest is None or newest.generation <= generation:
            return None
        base = self._texts.get(generation)
        older = b"" if base is None else base.text
        return ConfigurationPush(
            newest.generation,
            newest.digest,
            0 if base is None else base.generation,
            difference(older, newest.text),
        )

    def apply_push(self, push: ConfigurationPush) -> ConfigurationText | None:
        """Return the text of a push, or None if it is damaged or lacks its base."""
        base = b""
        if push.base:
            known = self._texts.get(push.base)
            if known is None:
                return None
            base = known.text
        text = apply_difference(base, push.pieces)
        made = ConfigurationText.of(push.generation, text)
        return made if made.digest == push.digest else None


@final
class Confirmation:
    """Decides when a configuration that came from peers may be served.

    One read from the store needs no confirmation. One received from a peer is
    confirmed once two peers, or the only reachable one, have reported their
    generations and none is newer.
    """

    def __init__(self) -> None:
        self.confirmed = False
        self._peer_generations: dict[str, int] = {}

    def record_store_read(self) -> None:
        """Record that the configuration was read from the store."""
        self.confirmed = True

    def record_peer_generation(self, peer: str, generation: int) -> None:
        """Record the generation in force at a peer."""
        if not self.confirmed:
            self._peer_generations[peer] = generation

    def try_confirm(self, generation: int, reachable: int) -> bool:
        """Return whether the generation may be served; a confirmation is permanent.

        :param generation: generation in force at this instance.
        :param reachable: number of peers with an open stream.
        """
        reported = len(self._peer_generations)
        agreed = reported > 0 and max(self._peer_generations.values()) <= generation
        enough = reported >= min(2, reachable)
        self.confirmed = self.confirmed or (generation > 0 and agreed and enough)
        if self.confirmed:
            self._peer_generations.clear()
        return self.confirmed
