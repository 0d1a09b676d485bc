"""Fleets on loopback beside the baseline in which each watches the store."""

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
SPACING_S = 0.05
SETTLE_S = 1.0
IDLE_S = 4.0


async def measure_fleets(reactor: Any) -> None:
    """Print a line for each size, for the fleet and for the baseline."""
    for size in SIZES:
        for alone in (False, True):
            print(await _measure(reactor, size, alone), flush=True)


async def _measure(reactor: Any, size: int, alone: bool) -> str:
    fleet = ControlFleet(reactor, size, regions=1, over_http=True, alone=alone)
    resident = resident_bytes()
    await fleet.start()
    await deferLater(reactor, SETTLE_S)
    held = (resident_bytes() - resident) / size / 2**20
    idle = await _idle(reactor, fleet)
    changes = BASELINE_CHANGES if alone else FLEET_CHANGES
    before, store_bytes = fleet.traffic().sent_bytes, fleet.counter.bytes
    calls, start = _calls(fleet), time.process_time()
    waits = [await _change(reactor, fleet, number) for number in range(changes)]
    busy_ms = (time.process_time() - start) / changes / size * 1000
    per_change = (_calls(fleet) - calls) / changes
    pushed = (fleet.traffic().sent_bytes - before) / changes / size
    stored = (fleet.counter.bytes - store_bytes) / changes / size
    watching = sum(_watches(fleet))
    await fleet.stop()
    return (
        f"{'alone' if alone else 'fleet'} {size:>3} daemons {watching:>3} watch"
        f"  {held:4.2f} MiB/daemon  idle: {idle}"
        f"  change: {per_change:5.1f} store calls, {stored:6.0f} B store/daemon,"
        f" {pushed:6.0f} B peers/daemon, {busy_ms:5.1f} ms cpu/daemon,"
        f" in force p50 {quantile(waits, 0.5):.3f} s p99 {quantile(waits, 0.99):.3f} s"
    )


async def _idle(reactor: Any, fleet: ControlFleet) -> str:
    size = len(fleet.daemons)
    traffic, store_bytes = fleet.traffic(), fleet.counter.bytes
    calls, cpu = _calls(fleet), time.process_time()
    await deferLater(reactor, IDLE_S)
    share = (time.process_time() - cpu) / IDLE_S / size * 100
    after = fleet.traffic()
    sent = (after.sent_bytes - traffic.sent_bytes) / IDLE_S / size
    messages = (after.sent_messages - traffic.sent_messages) / IDLE_S / size
    stored = (fleet.counter.bytes - store_bytes) / IDLE_S / size
    return (
        f"{sent:4.0f} B/s and {messages:3.1f} messages/s sent per daemon,"
        f" store {(_calls(fleet) - calls) / IDLE_S:5.1f} calls/s"
        f" {stored:5.0f} B/s per daemon, {share:4.2f}% core"
    )


async def _change(reactor: Any, fleet: ControlFleet, number: int) -> float:
    await deferLater(reactor, SPACING_S)
    start = time.monotonic()
    await fleet.until(partial(fleet.in_force, fleet.write(number)))
    return time.monotonic() - start


def _calls(fleet: ControlFleet) -> int:
    return sum(
        sum(daemon.node.require(StoreCalls).made.values())
        for daemon in fleet.daemons.values()
    )


def _watches(fleet: ControlFleet) -> list[bool]:
    return [
        daemon.node.require(FleetMembership).is_watcher()
        for daemon in fleet.daemons.values()
    ]
