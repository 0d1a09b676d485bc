"""Tests of the packed table of address blocks."""

from __future__ import annotations

from ipaddress import ip_address
from ipaddress import ip_network

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sycamorenotch_policies import BlockTable

BLOCKS = (
    "10.1.0.0/16",
    "10.3.0.0/16",
    "127.0.0.0/8",
    "0.0.0.0/24",
    "2001:db8::/48",
    "2001:db8:1::/64",
    "2001:db8:1:1:8000::/65",
)
TABLE = BlockTable((ip_network(text), index) for index, text in enumerate(BLOCKS))


@pytest.mark.parametrize(
    ("address", "value"),
    [
        ("10.1.0.0", 0),
        ("10.1.255.255", 0),
        ("10.2.0.0", None),
        ("9.255.255.255", None),
        ("127.0.0.1", 2),
        ("0.0.0.255", 3),
        ("255.255.255.255", None),
        ("::ffff:10.3.0.9", 1),
        ("2001:db8::1", 4),
        ("2001:db8:1::1", 5),
        ("2001:db8:1:1::1", None),
        ("2001:db8:1:1:8000::1", 6),
        ("::", None),
    ],
)
def test_find_returns_value_of_block(address: str, value: int | None) -> None:
    assert TABLE.find(ip_address(address)) == value


@given(
    st.sets(st.integers(0, 2**24 - 1), max_size=40),
    st.lists(st.integers(0, 2**32 - 1), max_size=20),
)
def test_find_agrees_with_search_when_blocks_are_drawn(
    starts: set[int], probes: list[int]
) -> None:
    owners = {start: index for index, start in enumerate(sorted(starts))}
    table = BlockTable(
        (ip_network((start << 8, 24)), index) for start, index in owners.items()
    )
    for probe in (*probes, *(start << 8 for start in starts)):
        assert table.find(ip_address(probe)) == owners.get(probe >> 8)


def test_block_takes_seven_bytes_when_ipv4() -> None:
    table = BlockTable((ip_network((i << 8, 24)), i) for i in range(100))
    assert table.nbytes == 700
