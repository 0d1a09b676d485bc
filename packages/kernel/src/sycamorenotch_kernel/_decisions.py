"""Decision records and the log that keeps them."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from datetime import datetime
from enum import Enum
from enum import unique
from typing import Protocol
from typing import final

from sycamorenotch_kernel._identifiers import DecisionId

DEFAULT_RECORD_LIMIT = 10_000


@final
@unique
class DecisionKind(Enum):
    """What kind of decision a record is about."""

    LOOKUP = "lookup"
    ADMISSION = "admission"
    CHOICE = "choice"
    RETRY = "retry"
    CLAIM = "claim"
    CALL = "call"
    SHIFT = "shift"
    GRANT = "grant"
    CONFIGURATION = "configuration"
    MEMBERSHIP = "membership"
    LEASE = "lease"
    DRAIN = "drain"
    QUARANTINE = "quarantine"


@final
@dataclass(frozen=True, slots=True)
class Fact:
    """One input of a decision.

    :param name: short name of the input.
    :param value: the input as text; never a secret or a caller's body.
    """

    name: str
    value: str


@final
@dataclass(frozen=True, slots=True)
class DecisionRecord:
    """A decision with its inputs and reasons.

    :param at: wall clock time of the decision, in UTC.
    :param generation: configuration generation in force.
    :param outcome: the decision in a few words.
    :param reasons: whole sentences, the most important first.
    :param facts: inputs of the decision.
    :param causes: earlier decisions that led to this one.
    """

    id: DecisionId
    kind: DecisionKind
    at: datetime
    generation: int
    outcome: str
    reasons: tuple[str, ...] = ()
    facts: tuple[Fact, ...] = ()
    causes: tuple[DecisionId, ...] = ()


class DecisionLog(Protocol):
    """Stores decision records and finds them by their identifier."""

    def record(self, record: DecisionRecord) -> None:
        """Store a record."""
        ...

    def find(self, decision: DecisionId) -> DecisionRecord | None:
        """Return a record, or none if it is unknown or no longer kept."""
        ...


@final
class RecentDecisions:
    """Keeps the most recent records in memory.

    :param limit: largest number of records kept.
    """

    def __init__(self, limit: int = DEFAULT_RECORD_LIMIT) -> None:
        self._limit = limit
        self._records: OrderedDict[DecisionId, DecisionRecord] = OrderedDict()

    def record(self, record: DecisionRecord) -> None:
        """Store a record and discard the oldest one beyond the limit."""
        self._records[record.id] = record
        if len(self._records) > self._limit:
            self._records.popitem(last=False)

    def find(self, decision: DecisionId) -> DecisionRecord | None:
        """Return a record, or none if it is unknown or no longer kept."""
        return self._records.get(decision)
