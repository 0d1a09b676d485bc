"""How old the configuration may be, and which age it is known to have."""

from __future__ import annotations

from dataclasses import dataclass
from math import inf
from typing import final

# Keys are refused this fraction of the bound early, so that the decision and the
# drift of clocks stay within the bound.
MARGIN_FRACTION = 0.05
# From this fraction of the bound, which calm ages do not reach, an instance asks the
# store itself. An outage of a few seconds ends before keys are refused.
ASK_FRACTION = 0.65
# The age stays below this fraction of the bound while the store answers.
CALM_FRACTION = 0.6
# Longest wait of a follower's poll, as a fraction of the bound.
POLL_FRACTION = 0.2
# Part of the bound for the transit of a watch and a poll, and for delays of the loop.
TRANSIT_FRACTION = 0.06
# A store's timer may end a wait this much early, in seconds.
TIMER_TOLERANCE_S = 0.01
# Shorter watches would be calls in quick succession.
MIN_WATCH_WAIT_S = 0.2


@final
@dataclass(frozen=True, slots=True)
class KeyAgeLimits:
    """Limits on the age of a configuration whose keys are trusted.

    :param revocation_s: maximum time from a configuration that removes a key until no
        request with that key runs, in seconds.
    """

    revocation_s: float

    @property
    def refuse_from_s(self) -> float:
        """Age from which keys are refused, in seconds."""
        return self.revocation_s * (1 - MARGIN_FRACTION)

    @property
    def ask_from_s(self) -> float:
        """Age from which an instance asks the store itself, in seconds."""
        return self.revocation_s * ASK_FRACTION

    @property
    def poll_wait_s(self) -> float:
        """Longest time for which a poll of a follower waits, in seconds."""
        return self.revocation_s * POLL_FRACTION

    def allows_keys(self, age_s: float) -> bool:
        """Whether keys are trusted if the configuration has this age, in seconds."""
        return age_s < self.refuse_from_s

    def watch_wait_s(self, age_s: float) -> float:
        """Return how long the next watch may wait, in seconds.

        A follower's age exceeds that of its watcher by up to one poll.

        :param age_s: age of the configuration when the watch is sent, in seconds.
        """
        calm_s = self.revocation_s * (CALM_FRACTION - TRANSIT_FRACTION)
        return max(MIN_WATCH_WAIT_S, calm_s - self.poll_wait_s - age_s)


@final
class ProvenAge:
    """Age of what an instance knows: time since a moment that it is known to include.

    All acknowledged writes up to that moment are included. All times are seconds on a
    clock that also runs while the machine is suspended.
    """

    def __init__(self) -> None:
        self._proven_at = -inf

    def record(self, proven_at: float, now: float) -> None:
        """Record that everything acknowledged up to a moment is known.

        :param proven_at: that moment; one in the future counts as now.
        """
        self._proven_at = max(self._proven_at, min(proven_at, now))

    def age_s(self, now: float) -> float:
        """Return the age in seconds; infinite if nothing has been proven."""
        return now - self._proven_at


def empty_watch_proof(sent_at: float, wait_s: float, received_at: float) -> float:
    """Return the moment up to which a watch without changes proves that there are none.

    The store produces an empty answer when the wait of the watch is over. One that
    arrives earlier proves no more than that the watch was sent.
    """
    ended_at = sent_at + max(0.0, wait_s - TIMER_TOLERANCE_S)
    return ended_at if received_at >= ended_at else sent_at
