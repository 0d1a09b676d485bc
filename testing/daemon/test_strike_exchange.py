"""Tests of the exchange of quarantine strikes between instances."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from typing import Any

from twisted.internet import reactor

from sycamorenotch_policies import Quarantine
from sycamorenotch_policies import sign_request
from sycamorenotch_workbench._control import CONTROL_COMPONENTS
from sycamorenotch_workbench._fleet import ControlFleet

NAMES = (*CONTROL_COMPONENTS, "strikes")


def test_request_is_quarantined_everywhere_when_three_instances_record_strikes(
    run_in_reactor: Callable[..., Any],
) -> None:
    fleet = ControlFleet(reactor, 8, names=NAMES)
    poison = sign_request("balance", "GET", "/balances/1", b"")

    async def run() -> None:
        quarantines = []
        await fleet.start()
        try:
            for daemon in fleet.daemons.values():
                quarantine = Quarantine(daemon.node.settings.instance)
                daemon.node.provide(Quarantine, quarantine)
                quarantines.append((daemon.node.clock, quarantine))
            for clock, quarantine in quarantines[:3]:
                quarantine.record_strike(poison, "worker", clock.monotonic())
            await fleet.wait_until(
                lambda: all(
                    (q.remaining(poison, clock.monotonic()) or timedelta())
                    for clock, q in quarantines
                )
            )
        finally:
            await fleet.stop()

    run_in_reactor(run())
