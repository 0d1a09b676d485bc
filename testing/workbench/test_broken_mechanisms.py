"""Tests that an invariant is violated when its mechanism is broken."""

from __future__ import annotations

from collections.abc import Iterator
from datetime import timedelta

import pytest

from sycamorenotch_kernel import Invariant
from sycamorenotch_kernel import Rank
from sycamorenotch_policies import ClaimProtocol
from sycamorenotch_policies._admission import RankedAdmission
from sycamorenotch_transport import HttpListener
from sycamorenotch_workbench._soak_document import soak_document
from sycamorenotch_workbench._virtual_system import VirtualSystem

INSTANCE = "entry-west-a"
START = timedelta(seconds=6)


@pytest.fixture
def system() -> Iterator[VirtualSystem]:
    system = VirtualSystem(soak_document(), instances=1)
    system.advance(START)
    yield system
    system.close()


def violations(system: VirtualSystem, invariant: Invariant) -> int:
    daemon = system.instances[INSTANCE].daemon
    return daemon.node.invariants.violations[invariant]


def test_call_is_refused_when_claim_is_not_held_at_dispatch(
    system: VirtualSystem, monkeypatch: pytest.MonkeyPatch
) -> None:
    forgotten = property(lambda _: None, lambda *_: None)
    monkeypatch.setattr(ClaimProtocol, "version", forgotten, raising=False)
    reply = system.call(
        INSTANCE,
        "POST",
        "/v1/call/action/redemptions/1",
        {"Idempotency-Key": "key"},
        b"{}",
    )
    assert (reply.status, reply.ran) == (500, "no")
    assert violations(system, Invariant.I6) == 1
    assert not any(worker.executions for worker in system.workers.values())


def test_stop_is_reported_when_listener_leaves_requests_open(
    system: VirtualSystem, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def stop(self: HttpListener, bound: timedelta) -> int:
        return 1

    monkeypatch.setattr(HttpListener, "stop", stop)
    system.wait(system.instances[INSTANCE].daemon.stop())
    assert violations(system, Invariant.I8) == 1


def test_floor_violation_is_recorded_when_deferrable_rank_is_never_chosen(
    system: VirtualSystem, monkeypatch: pytest.MonkeyPatch
) -> None:
    choose = RankedAdmission._next_rank

    def choose_urgent(self: RankedAdmission, waiting: list[Rank]) -> Rank:
        chosen = choose(self, waiting)
        if chosen is not Rank.URGENT and Rank.URGENT in waiting:
            # The rank whose turn it was keeps its credit and stays queued.
            self._credits[chosen] += 1
            return Rank.URGENT
        return chosen

    monkeypatch.setattr(RankedAdmission, "_next_rank", choose_urgent)
    sent = [
        system.request(INSTANCE, "GET", f"/v1/call/lookup/{rank}/{number}")
        for number in range(100)
        for rank in ("urgent", "deferrable")
    ]
    system.wait_for_replies(sent)
    assert violations(system, Invariant.I10) > 0
