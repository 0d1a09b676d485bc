"""How a configuration reaches an instance and when it may serve."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from hashlib import sha256
from typing import final

from sycamorenotch_kernel import ConfigurationPush
from sycamorenotch_policies._difference import apply_difference
from sycamorenotch_policies._difference import difference

HISTORY = 4


@final
@dataclass(frozen=True, slots=True)
class ConfigurationText:
    """A document as it is stored.

    :param digest: SHA-256 of the text.
    """

    generation: int
    digest: bytes
    text: bytes

    @classmethod
    def of(cls, generation: int, text: bytes) -> ConfigurationText:
        """Return the text with its digest."""
        return cls(generation, sha256(text).digest(), text)


@final
class ConfigurationHistory:
    """The newest few texts, from which differences are made and applied."""

    def __init__(self) -> None:
        self._texts: OrderedDict[int, ConfigurationText] = OrderedDict()

    def add(self, text: ConfigurationText) -> None:
        """Keep a text that is in force now."""
        self._texts[text.generation] = text
        if len(self._texts) > HISTORY:
            self._texts.popitem(last=False)

    @property
    def newest(self) -> ConfigurationText | None:
        """The text in force."""
        return next(reversed(self._texts.values()), None)

    def push_to(self, generation: int) -> ConfigurationPush | None:
        """Return what a peer at a generation needs, or none if it is as new.

        :param generation: generation in force at the peer; 0 for none.
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

    def text_of(self, push: ConfigurationPush) -> ConfigurationText | None:
        """Return the pushed text, or none if its base is missing or it is damaged."""
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

    One that the store gave needs no confirmation. One that a peer gave is
    confirmed once another peer, or the only one, states no newer generation.
    """

    def __init__(self) -> None:
        self.confirmed = False
        self._stated: dict[str, int] = {}

    def store_gave(self) -> None:
        """Take note of a document read from the store."""
        self.confirmed = True

    def peer_stated(self, peer: str, generation: int) -> None:
        """Take note of the generation in force at a peer."""
        if not self.confirmed:
            self._stated[peer] = generation

    def judge(self, generation: int, reachable: int) -> bool:
        """Return whether the generation may be served, and remember a yes.

        :param generation: generation in force here.
        :param reachable: number of peers with an open stream.
        """
        heard = len(self._stated)
        agreed = heard > 0 and max(self._stated.values()) <= generation
        enough = heard >= min(2, reachable)
        self.confirmed = self.confirmed or (generation > 0 and agreed and enough)
        if self.confirmed:
            self._stated.clear()
        return self.confirmed
