"""Resource utilisation of an instance, as an exponential moving average."""

from __future__ import annotations

from math import exp
from typing import final

from sycamorenotch_kernel import Resources

# Time constant of the average: short enough to follow a burst within a few look-up
# answers, long enough to smooth single large answers.
SMOOTHING_S = 3.0
BITS_PER_BYTE = 8
BITS_PER_MEGABIT = 1e6


@final
class UsageMeter:
    """Averages processor utilisation and network throughput.

    :param now: start time, in seconds on the monotonic clock.
    :param processor_s: processor time used so far, in seconds.
    """

    def __init__(self, now: float, processor_s: float) -> None:
        self._read_at = now
        self._processor_s = processor_s
        self._bytes = 0
        self._average = Resources(0.0, 0.0)

    def record_transfer(self, size: int) -> None:
        """Count bytes that the instance forwarded; each byte counts once."""
        self._bytes += size

    def read(self, now: float, processor_s: float) -> Resources:
        """Update and return the average.

        :param now: monotonic time in seconds.
        :param processor_s: processor time used so far, in seconds.
        """
        elapsed = now - self._read_at
        if elapsed <= 0:
            return self._average
        gain = 1.0 - exp(-elapsed / SMOOTHING_S)
        processors = (processor_s - self._processor_s) / elapsed
        link_mbps = self._bytes * BITS_PER_BYTE / BITS_PER_MEGABIT / elapsed
        old = self._average
        self._average = Resources(
            old.processors + gain * (processors - old.processors),
            old.link_mbps + gain * (link_mbps - old.link_mbps),
        )
        self._read_at, self._processor_s, self._bytes = now, processor_s, 0
        return self._average
