"""Memory, look-up time and build time of the block table by number of blocks."""

from __future__ import annotations

import time
import tracemalloc
from collections.abc import Iterator
from ipaddress import IPv4Address
from ipaddress import IPv4Network
from random import Random

from sycamorenotch_policies import BlockTable
from sycamorenotch_workbench._slopes_common import microseconds
from sycamorenotch_workbench._slopes_common import resident_bytes

BLOCK_COUNTS = (4_100, 41_000, 410_000)
SITES = 490
LOOKUPS = 20_000
FIRST_ADDRESS = int(IPv4Address("11.0.0.0"))
ADDRESSES_PER_BLOCK = 256
PREFIX_LENGTH = 24


def measure_blocks() -> Iterator[str]:
    """Yield one line of output for each number of blocks."""
    random = Random(1)
    for count in BLOCK_COUNTS:
        yield _measure_block_table(count, random)


def _blocks(count: int) -> Iterator[tuple[IPv4Network, int]]:
    for index in range(count):
        first = FIRST_ADDRESS + index * ADDRESSES_PER_BLOCK
        yield IPv4Network((first, PREFIX_LENGTH)), index % SITES


def _measure_block_table(count: int, random: Random) -> str:
    before = resident_bytes()
    start = time.process_time()
    table = BlockTable(_blocks(count))
    build_s = time.process_time() - start
    resident_growth = resident_bytes() - before
    arrays = sum(
        value.itemsize * len(value)
        for value in vars(table).values()
        if hasattr(value, "itemsize")
    )
    tracemalloc.start()
    objects = tuple(network for network, _ in _blocks(count))
    object_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del objects
    span = count * ADDRESSES_PER_BLOCK
    clients = [
        IPv4Address(FIRST_ADDRESS + random.randrange(span)) for _ in range(LOOKUPS)
    ]
    client_iterator = iter(clients)
    lookup_us = microseconds(lambda: table.find(next(client_iterator)), LOOKUPS)
    return (
        f"blocks {count:>7}  sites {SITES}  bytes/block {arrays / count:5.1f}"
        f" ({object_bytes / count:5.1f} as objects)"
        f"  resident {resident_growth / 2**20:6.1f} MiB  look-up {lookup_us:5.2f} us"
        f"  build {build_s:6.2f} s ({build_s / count * 1e6:4.1f} us/block)"
    )
