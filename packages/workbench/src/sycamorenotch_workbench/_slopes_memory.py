"""Resident memory of the libraries; memory and CPU time of the membership table."""

from __future__ import annotations

import tracemalloc
from collections.abc import Iterator
from datetime import timedelta

from sycamorenotch_kernel import InstanceId
from sycamorenotch_kernel import InstanceState
from sycamorenotch_kernel import ListedInstance
from sycamorenotch_policies import Membership
from sycamorenotch_policies import PeerState
from sycamorenotch_workbench._slopes_common import microseconds
from sycamorenotch_workbench._slopes_common import resident_bytes

FLEET_SIZES = (140, 700, 1_400)
DATA_CENTRES = 27
REGIONS = 11


def fleet_entries(count: int) -> tuple[ListedInstance, ...]:
    """Return the platform's list of a fleet with a number of instances."""
    return tuple(
        ListedInstance(
            id=InstanceId(f"entry-{index:04d}"),
            region=f"region-{index % REGIONS}",
            data_centre=f"centre-{index % DATA_CENTRES}",
            callers=f"10.{index // 250}.{index % 250}.1:8080",
            peers=f"10.{index // 250}.{index % 250}.1:8081",
            state=InstanceState.LIVE,
        )
        for index in range(count)
    )


def measure_memory() -> Iterator[str]:
    """Yield one line for the libraries and one for each fleet size."""
    yield f"resident with every library {resident_bytes() / 2**20:.1f} MiB"
    for count in FLEET_SIZES:
        yield _measure_membership(count)


def _measure_membership(count: int) -> str:
    tracemalloc.start()
    entries = fleet_entries(count)
    members = Membership(InstanceId("entry-0000"), 1)
    members.update_list(entries, timedelta())
    allocated, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    members.tick(timedelta())
    peer_state = PeerState(
        InstanceId("entry-0001"), "region-1", "centre-1", 2, False, 3, ""
    )
    now = timedelta(seconds=1)
    apply_us = microseconds(lambda: members.apply_peer_state(peer_state, now), 2000)
    tick_us = microseconds(lambda: members.tick(now), 20)
    digest_us = microseconds(members.rumours, 2000)
    return (
        f"members {count:>5}  allocated {allocated / 2**20:5.2f} MiB"
        f" ({allocated / count:6.0f} B each)  apply {apply_us:5.1f} us"
        f"  digest {digest_us:5.1f} us  tick {tick_us:7.1f} us"
    )
