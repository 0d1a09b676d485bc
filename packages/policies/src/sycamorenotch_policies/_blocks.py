"""Client blocks in packed arrays, found by binary search."""

from __future__ import annotations

from array import array
from bisect import bisect_right
from collections.abc import Iterable
from ipaddress import IPv4Address
from ipaddress import IPv6Address
from typing import final

from sycamorenotch_kernel import IPNetwork

LOW_BITS = 64
LOW_MASK = 2**LOW_BITS - 1
IPV4_IN_IPV6 = 0xFFFF << 32


@final
class BlockTable:
    """Maps addresses to the small integers of their blocks.

    IPv4 blocks are held as the mapped IPv6 range, so that one table serves
    both. Each block takes 34 bytes.

    :param blocks: blocks that do not overlap, each with its value.
    """

    def __init__(self, blocks: Iterable[tuple[IPNetwork, int]]) -> None:
        ranges = sorted((*_range(block), value) for block, value in blocks)
        self._first_high = array("Q", (first >> LOW_BITS for first, _, _ in ranges))
        self._first_low = array("Q", (first & LOW_MASK for first, _, _ in ranges))
        self._last_high = array("Q", (last >> LOW_BITS for _, last, _ in ranges))
        self._last_low = array("Q", (last & LOW_MASK for _, last, _ in ranges))
        self._values = array("H", (value for _, _, value in ranges))

    def __len__(self) -> int:
        return len(self._values)

    def find(self, address: IPv4Address | IPv6Address) -> int | None:
        """Return the value of the block that holds an address."""
        number = _number(address)
        high, low = number >> LOW_BITS, number & LOW_MASK
        end = bisect_right(self._first_high, high)
        start = bisect_right(self._first_high, high - 1) if high else 0
        index = bisect_right(self._first_low, low, start, end) - 1
        if index < 0:
            return None
        last = (self._last_high[index], self._last_low[index])
        return self._values[index] if (high, low) <= last else None


def _number(address: IPv4Address | IPv6Address) -> int:
    number = int(address)
    return number | IPV4_IN_IPV6 if address.version == 4 else number


def _range(block: IPNetwork) -> tuple[int, int]:
    return _number(block.network_address), _number(block.broadcast_address)
