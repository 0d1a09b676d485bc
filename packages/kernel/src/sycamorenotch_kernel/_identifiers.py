"""Random identifiers of decisions and attempts."""

from __future__ import annotations

from random import Random
from typing import NewType
from typing import final

DecisionId = NewType("DecisionId", str)
AttemptId = NewType("AttemptId", str)

IDENTIFIER_BITS = 80


@final
class IdentifierSource:
    """Generates random identifiers.

    :param random: random number generator; a seeded one makes runs repeatable.
    """

    def __init__(self, random: Random) -> None:
        self._random = random

    def decision(self) -> DecisionId:
        """Return a new decision identifier, which starts with ``d-``."""
        return DecisionId(f"d-{self._random_hex()}")

    def attempt(self) -> AttemptId:
        """Return a new attempt identifier, which starts with ``a-``."""
        return AttemptId(f"a-{self._random_hex()}")

    def _random_hex(self) -> str:
        return f"{self._random.getrandbits(IDENTIFIER_BITS):020x}"
