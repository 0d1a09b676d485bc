"""Identifiers of decisions and attempts."""

from __future__ import annotations

from random import Random
from typing import NewType
from typing import final

DecisionId = NewType("DecisionId", str)
AttemptId = NewType("AttemptId", str)

IDENTIFIER_BITS = 80


@final
class IdentifierSource:
    """Generates identifiers from an injected random source.

    :param random: source of randomness.
    """

    def __init__(self, random: Random) -> None:
        self._random = random

    def decision(self) -> DecisionId:
        """Return a new decision identifier."""
        return DecisionId(f"d-{self._draw()}")

    def attempt(self) -> AttemptId:
        """Return a new attempt identifier."""
        return AttemptId(f"a-{self._draw()}")

    def _draw(self) -> str:
        return f"{self._random.getrandbits(IDENTIFIER_BITS):020x}"
