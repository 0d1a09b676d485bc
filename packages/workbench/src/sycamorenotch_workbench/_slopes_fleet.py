"""Cost of fleets on loopback, against a baseline where each daemon watches the store.

The baseline consists of isolated daemons, which know no peers.
"""

from __future__ import annotations

import time
from functools import partial
from typing import Any

from twisted.internet.task import deferLater

from sycamorenotch_daemon._membership import FleetMembership
from sycamorenotch_daemon._store_guard import StoreCalls
from sycamorenotch_workbench._fleet import ControlFleet
from sycamorenotch_workbench._slopes_common import quantile
from sycamorenotch_workbench._slopes_common import resident_bytes

SIZES = (8, 16, 32)
FLEET_CHANGES = 70
BASELINE_CHANGES = 12
CHANGE_INTERVAL_S = 0.05
SETTLE_S = 1.0
IDLE_S = 4.0


async def measure_fleets(reactor: Any) -> None:
    """Print one line for the fleet and one for the baseline at each size."""
    for size in SIZES:
        for isolated in (False, True):
            print(await _measure_fleet(reactor, size, isolated), flush=True)


async def _measure_fleet(reactor: Any, size: int, isolated: bool) -> str:
    fleet = ControlFleet(reactor, size, regions=1, over_http=True, isolated=isolated)
    resident = resident_bytes()
    await fleet.start()
    await deferLater(reactor, SETTLE_S)
    resident_mib = (resident_bytes() - resident) / size / 2**20
    idle = await _measure_idle(reactor, fleet)
    changes = BASELINE_CHANGES if isolated else FLEET_CHANGES
    before, store_bytes = fleet.traffic().sent_bytes, fleet.counter.bytes
    calls, start = _count_store_calls(fleet), time.process_time()
    delays_s = [
        await _measure_change(reactor, fleet, number) for number in range(changes)
    ]
    busy_ms = (time.process_time() - start) / changes / size * 1000
    per_change = (_count_store_calls(fleet) - calls) / changes
    pushed = (fleet.traffic().sent_bytes - before) / changes / size
    stored = (fleet.counter.bytes - store_bytes) / changes / size
    watching = sum(_list_watchers(fleet))
    await fleet.stop()
    return (
        f"{'isolated' if isolated else 'fleet'} {size:>3} daemons {watching:>3} watch"
        f"  {resident_mib:4.2f} MiB/daemon  idle: {idle}"
        f"  change: {per_change:5.1f} store calls, {stored:6.0f} B store/daemon,"
        f" {pushed:6.0f} B peers/daemon, {busy_ms:5.1f} ms cpu/daemon,"
        f" in force p50 {quantile(delays_s, 0.5):.3f} s"
        f" p99 {quantile(delays_s, 0.99):.3f} s"
    )


async def _measure_idle(reactor: Any, fleet: ControlFleet) -> str:
    size = len(fleet.daemons)
    traffic, store_bytes = fleet.traffic(), fleet.counter.bytes
    calls, cpu = _count_store_calls(fleet), time.process_time()
    await deferLater(reactor, IDLE_S)
    share = (time.process_time() - cpu) / IDLE_S / size * 100
    after = fleet.traffic()
    sent = (after.sent_bytes - traffic.sent_bytes) / IDLE_S / size
    messages = (after.sent_messages - traffic.sent_messages) / IDLE_S / size
    stored = (fleet.counter.bytes - store_bytes) / IDLE_S / size
    return (
        f"{sent:4.0f} B/s and {messages:3.1f} messages/s sent per daemon,"
        f" store {(_count_store_calls(fleet) - calls) / IDLE_S:5.1f} calls/s"
        f" {stored:5.0f} B/s per daemon, {share:4.2f}% core"
    )


async def _measure_change(reactor: Any, fleet: ControlFleet, number: int) -> float:
    await deferLater(reactor, CHANGE_INTERVAL_S)
    start = time.monotonic()
    await fleet.wait_until(partial(fleet.is_in_force, fleet.write(number)))
    return time.monotonic() - start


def _count_store_calls(fleet: ControlFleet) -> int:
    return sum(
        sum(daemon.node.require(StoreCalls).made.values())
        for daemon in fleet.daemons.values()
    )


def _list_watchers(fleet: ControlFleet) -> list[bool]:
    return [
        daemon.node.require(FleetMembership).is_watcher()
        for daemon in fleet.daemons.values()
    ]
