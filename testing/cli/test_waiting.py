"""Tests of the rollout status that one instance reports for the fleet."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta

from sycamorenotch_cli import ExitCode
from sycamorenotch_cli._commands import Outcome
from sycamorenotch_daemon._fleet import FleetView
from sycamorenotch_kernel import InstanceId
from sycamorenotch_kernel import MemberState
from sycamorenotch_policies import FleetMember
from sycamorenotch_workbench import LocalExample


class FixedFleetView:
    """Fleet view with given members."""

    def __init__(self, *members: FleetMember) -> None:
        self._members = members

    def members(self) -> tuple[FleetMember, ...]:
        return self._members

    def in_force(self, generation: int) -> tuple[FleetMember, ...]:
        return tuple(m for m in self._members if m.generation >= generation)

    def missing(self, generation: int) -> tuple[FleetMember, ...]:
        return tuple(m for m in self._members if m.generation < generation)


def member(name: str, generation: int) -> FleetMember:
    return FleetMember(
        instance=InstanceId(name),
        region="viti-west",
        data_centre="nadi",
        state=next(iter(MemberState)),
        incarnation=1,
        generation=generation,
        digest="",
        last_heard=timedelta(),
        listed=True,
    )


def test_wait_returns_partial_when_an_instance_has_an_older_generation(
    example: LocalExample, run_command: Callable[..., Outcome]
) -> None:
    fleet_view = FixedFleetView(member("entry-a", 1_000_000), member("entry-b", 0))
    node = example.daemons[0].node
    node.provide(FleetView, fleet_view)  # type: ignore[type-abstract]
    outcome = run_command(
        "drain", "upstream", "balance-nadi-1", wait=True, wait_limit=timedelta()
    )
    assert outcome.code is ExitCode.PARTIAL
    assert outcome.text.endswith("is in force on 1 of 2 instances; not on entry-b")
