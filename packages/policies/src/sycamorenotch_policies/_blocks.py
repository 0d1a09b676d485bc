"""Address blocks in packed arrays, looked up by binary search."""

from __future__ import annotations

from array import array
from bisect import bisect_right
from collections.abc import Iterable
from ipaddress import IPv4Address
from ipaddress import IPv6Address
from typing import final

from sycamorenotch_kernel import IPNetwork

IPV4_BITS = 32
IPV6_BITS = 128
LOW_BITS = 64
LOW_MASK = (1 << LOW_BITS) - 1
PREFIX_BITS = 8
VALUE_BITS = 16
VALUE_MASK = (1 << VALUE_BITS) - 1
PREFIX_MASK = (1 << PREFIX_BITS) - 1


@final
class BlockTable:
    """Maps addresses to the integer values of the blocks that contain them.

    An IPv4 block takes 7 bytes and an IPv6 block 19 bytes.

    :param blocks: blocks that do not overlap, each with its value, which must
        be less than 65,536.
    """

    def __init__(self, blocks: Iterable[tuple[IPNetwork, int]]) -> None:
        ipv4: list[int] = []
        ipv6: list[int] = []
        for block, value in blocks:
            (ipv4 if block.version == 4 else ipv6).append(_pack(block, value))
        # One packed integer for each block takes less memory to sort than a tuple.
        ipv4.sort()
        ipv6.sort()
        self._ipv4_starts = array("I", map(_start, ipv4))
        self._ipv6_high = array("Q", (_start(item) >> LOW_BITS for item in ipv6))
        self._ipv6_low = array("Q", (_start(item) & LOW_MASK for item in ipv6))
        self._prefixes = array("B", map(_prefix, ipv4 + ipv6))
        self._values = array("H", (item & VALUE_MASK for item in ipv4 + ipv6))

    def __len__(self) -> int:
        return len(self._values)

    @property
    def nbytes(self) -> int:
        """Size of the packed arrays in bytes."""
        arrays: tuple[array[int], ...] = (
            self._ipv4_starts,
            self._ipv6_high,
            self._ipv6_low,
            self._prefixes,
            self._values,
        )
        return sum(len(item) * item.itemsize for item in arrays)

    def find(self, address: IPv4Address | IPv6Address) -> int | None:
        """Return the value of the block that contains an address, or None.

        An IPv4-mapped IPv6 address is looked up as IPv4.
        """
        if isinstance(address, IPv6Address):
            return self._find_ipv6(address)
        number = int(address)
        index = bisect_right(self._ipv4_starts, number) - 1
        if index < 0:
            return None
        host_bits = IPV4_BITS - self._prefixes[index]
        contains = number >> host_bits == self._ipv4_starts[index] >> host_bits
        return self._values[index] if contains else None

    def _find_ipv6(self, address: IPv6Address) -> int | None:
        mapped = address.ipv4_mapped
        if mapped is not None:
            return self.find(mapped)
        number = int(address)
        high, low = number >> LOW_BITS, number & LOW_MASK
        end = bisect_right(self._ipv6_high, high)
        start = bisect_right(self._ipv6_high, high - 1) if high else 0
        index = bisect_right(self._ipv6_low, low, start, end) - 1
        if index < 0:
            return None
        first = self._ipv6_high[index] << LOW_BITS | self._ipv6_low[index]
        position = len(self._ipv4_starts) + index
        host_bits = IPV6_BITS - self._prefixes[position]
        contains = number >> host_bits == first >> host_bits
        return self._values[position] if contains else None


def _pack(block: IPNetwork, value: int) -> int:
    start: int = int(block.network_address)
    prefixed = start << PREFIX_BITS | int(block.prefixlen)
    return prefixed << VALUE_BITS | value


def _start(packed: int) -> int:
    return packed >> (PREFIX_BITS + VALUE_BITS)


def _prefix(packed: int) -> int:
    return packed >> VALUE_BITS & PREFIX_MASK
