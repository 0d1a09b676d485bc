"""How many requests of a client that sends far ahead run at the same time."""

from __future__ import annotations

from typing import final

# A client that sends far ahead waits for this time at most after a refusal.
MAX_HOLD_S = 1.0
# Below one request, the window is a wait after each answer: this time, divided by the
# size of the window. Many such clients with one request each also fill the workers.
GIVE_WAY_S = 0.25
LEAST_SIZE = 1 / 16
# Rounds of answers after which the window has grown by one request. Faster growth
# leaves workers without room for others most of the time.
GROWTH_ROUNDS = 8


@final
class AheadShares:
    """Lets clients that send far ahead give way to the others.

    Answers clients that send many requests ahead and take every place that becomes
    free at a worker, so that a client with one request is refused.
    """

    def __init__(self) -> None:
        # Refusals for want of room of clients that do not send far ahead.
        self.refusals = 0

    def build_window(self, most: int) -> AheadWindow:
        """Return the window of a new client.

        :param most: requests of the client that may run together at most.
        """
        return AheadWindow(self, most)


@final
class AheadWindow:
    """Number of requests that a client that sends far ahead may run together.

    It shrinks when a request of this client, or of one that does not send far ahead, is
    refused for want of room, and grows while requests are answered.
    """

    def __init__(self, shares: AheadShares, most: int) -> None:
        self._shares = shares
        self._most = float(most)
        self._size = float(most)
        self._seen_refusals = shares.refusals

    def allows(self, running: int) -> bool:
        """Whether one more request may run beside ``running`` others."""
        return running + 1 <= max(1.0, self._size)

    def record_refusal(self, retry_after_s: float, far_ahead: bool) -> float:
        """Record that a request was refused for want of room.

        :param retry_after_s: when the client may send again, in seconds.
        :param far_ahead: whether the client sends far ahead.
        :return: time for which what it has sent ahead waits, in seconds.
        """
        if not far_ahead:
            self._shares.refusals += 1
            return 0.0
        self._size = max(min(1.0, self._size), self._size / 2)
        return max(self._wait_s(), min(retry_after_s, MAX_HOLD_S))

    def record_answer(self, far_ahead: bool) -> float:
        """Record that a request was answered.

        :param far_ahead: whether the client sends far ahead.
        :return: time for which what it has sent ahead waits, in seconds.
        """
        seen, self._seen_refusals = self._seen_refusals, self._shares.refusals
        if not far_ahead:
            return 0.0
        if seen != self._shares.refusals:
            self._size = max(LEAST_SIZE, self._size / 2)
        elif self._size < 1:
            self._size *= 2
        else:
            self._size = min(self._most, self._size + 1 / (GROWTH_ROUNDS * self._size))
        return self._wait_s()

    def _wait_s(self) -> float:
        return 0.0 if self._size >= 1 else GIVE_WAY_S / self._size
