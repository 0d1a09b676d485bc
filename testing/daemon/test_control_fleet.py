"""Tests of configuration and membership in a fleet of daemons over loopback."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Coroutine
from functools import partial
from typing import Any

from twisted.internet import reactor

from sycamorenotch_daemon._configuration import ConfigurationWatch
from sycamorenotch_daemon._configuration import Readiness
from sycamorenotch_daemon._fleet import FleetView
from sycamorenotch_daemon._instances import InstanceView
from sycamorenotch_daemon._membership import FleetMembership
from sycamorenotch_daemon._peer_mesh import PeerMesh
from sycamorenotch_daemon._store_guard import StoreCalls
from sycamorenotch_kernel import Heartbeat
from sycamorenotch_kernel import InstanceId
from sycamorenotch_kernel import MemberState
from sycamorenotch_workbench._control import ControlDaemon
from sycamorenotch_workbench._fleet import ControlFleet

HEARTBEAT = Heartbeat(False, 0, False, 0, b"")

Scenario = Callable[[ControlFleet], Coroutine[Any, Any, None]]


def run_fleet(
    run_in_reactor: Callable[..., Any], size: int, scenario: Scenario
) -> None:
    fleet = ControlFleet(reactor, size)

    async def run() -> None:
        await fleet.start()
        try:
            await scenario(fleet)
        finally:
            await fleet.stop()

    run_in_reactor(run())


def is_watcher(daemon: ControlDaemon) -> bool:
    return daemon.node.require(FleetMembership).is_watcher()


def watcher_streams_open(fleet: ControlFleet) -> bool:
    """Return whether each daemon has a stream to each of its watchers."""
    return all(
        {InstanceId(name), *daemon.node.require(PeerMesh)._streams}
        >= set(daemon.node.require(FleetMembership).watchers())
        and daemon.node.require(FleetMembership).watchers()
        for name, daemon in fleet.daemons.items()
    )


def test_change_is_in_force_everywhere_when_only_watchers_call_the_store(
    run_in_reactor: Callable[..., Any],
) -> None:
    async def scenario(fleet: ControlFleet) -> None:
        await fleet.wait_until(lambda: watcher_streams_open(fleet))
        watching = [d for d in fleet.daemons.values() if is_watcher(d)]
        assert len(watching) == 12
        for number in range(5):
            await fleet.wait_until(partial(fleet.is_in_force, fleet.write(number)))
        others = [d for d in fleet.daemons.values() if not is_watcher(d)]
        before = [sum(d.node.require(StoreCalls).made.values()) for d in others]
        generation = fleet.write(9)
        await fleet.wait_until(lambda: fleet.is_in_force(generation))
        after = [sum(d.node.require(StoreCalls).made.values()) for d in others]
        assert before == after

    run_fleet(run_in_reactor, 24, scenario)


def test_stream_to_an_instance_is_kept_when_a_component_needs_it(
    run_in_reactor: Callable[..., Any],
) -> None:
    async def scenario(fleet: ControlFleet) -> None:
        holder = InstanceId(fleet.members[0][0])
        others = [d.node for name, d in fleet.daemons.items() if name != holder]
        for node in others:
            node.require(FleetMembership).keep("plan", holder)
        meshes = [node.require(PeerMesh) for node in others]
        await fleet.wait_until(
            lambda: all(mesh.is_connected(holder) for mesh in meshes)
        )

    run_fleet(run_in_reactor, 18, scenario)


def test_change_arrives_by_heartbeat_when_pushes_are_lost(
    run_in_reactor: Callable[..., Any],
) -> None:
    async def scenario(fleet: ControlFleet) -> None:
        await fleet.wait_until(lambda: watcher_streams_open(fleet))
        for daemon in fleet.daemons.values():
            (watch,) = (c for c in daemon.components if type(c) is ConfigurationWatch)
            watch._push_to_members = lambda _: None  # type: ignore[method-assign]
        generation = fleet.write(1)
        await fleet.wait_until(lambda: fleet.is_in_force(generation))

    run_fleet(run_in_reactor, 18, scenario)


def test_change_is_in_force_and_crashes_are_detected_when_watchers_crash(
    run_in_reactor: Callable[..., Any],
) -> None:
    async def scenario(fleet: ControlFleet) -> None:
        await fleet.wait_until(lambda: watcher_streams_open(fleet))
        crashed_names = [name for name, d in fleet.daemons.items() if is_watcher(d)][:2]
        for name in crashed_names:
            crashed = fleet.daemons.pop(name)
            # Suppresses the announcement of a graceful shutdown, as in a crash.
            crashed.node.require(FleetMembership)._heartbeat = lambda **_: HEARTBEAT  # type: ignore[method-assign]
            await crashed.stop()
        generation = fleet.write(1)
        await fleet.wait_until(lambda: fleet.is_in_force(generation))
        watcher = next(iter(fleet.daemons.values()))
        view = watcher.node.require(FleetView)  # type: ignore[type-abstract]

        def crashes_are_detected() -> bool:
            failed_states = (MemberState.SUSPECT, MemberState.GONE)
            found = {m.instance for m in view.members() if m.state in failed_states}
            missing = {m.instance for m in view.missing(generation)}
            return found == set(crashed_names) and missing <= found

        await fleet.wait_until(crashes_are_detected)
        assert len(view.in_force(generation)) == len(fleet.daemons)
        instance_view = watcher.node.require(InstanceView)  # type: ignore[type-abstract]
        assert {i.id for i in instance_view.instances()} == fleet.ids()

    run_fleet(run_in_reactor, 12, scenario)


def test_replaced_daemon_takes_configuration_from_peers_when_store_is_down(
    run_in_reactor: Callable[..., Any],
) -> None:
    async def scenario(fleet: ControlFleet) -> None:
        generation = fleet.write(1)
        await fleet.wait_until(
            lambda: watcher_streams_open(fleet) and fleet.is_in_force(generation)
        )
        slot = fleet.members[3]
        await fleet.daemons[slot[0]].stop()
        for daemon in fleet.daemons.values():
            daemon.store.fault.set("down", 0, None)
        replaced = fleet.add(slot)
        replaced.store.fault.set("down", 0, None)
        await replaced.start()
        readiness = replaced.node.require(Readiness)  # type: ignore[type-abstract]
        assert not readiness.is_ready()
        await fleet.wait_until(readiness.is_ready)
        assert replaced.node.configuration.generation == generation
        for daemon in fleet.daemons.values():
            daemon.store.listed = tuple(d.listed for d in fleet.daemons.values())
            daemon.store.fault.set("none", 0, None)
        later = fleet.write(2)
        await fleet.wait_until(lambda: fleet.is_in_force(later))

    run_fleet(run_in_reactor, 9, scenario)


def test_generation_stays_when_the_store_is_restored_to_an_older_one(
    run_in_reactor: Callable[..., Any],
) -> None:
    async def scenario(fleet: ControlFleet) -> None:
        before = fleet.table.get("environments", "production").ok
        generation = fleet.write(1)
        await fleet.wait_until(lambda: fleet.is_in_force(generation))
        for daemon in fleet.daemons.values():
            (watch,) = (c for c in daemon.components if type(c) is ConfigurationWatch)
            watch._accept_stored(before)
            assert daemon.node.configuration.generation == generation
            assert 2113 in [event.number for event in daemon.sink.events]

    run_fleet(run_in_reactor, 3, scenario)


def test_leaving_instance_is_known_to_others_when_it_stops(
    run_in_reactor: Callable[..., Any],
) -> None:
    async def scenario(fleet: ControlFleet) -> None:
        await fleet.wait_until(lambda: watcher_streams_open(fleet))
        name = fleet.members[0][0]
        leaving = fleet.daemons.pop(name)
        leaving.node.stopping = True
        views = [
            d.node.require(FleetView)  # type: ignore[type-abstract]
            for d in fleet.daemons.values()
        ]

        def all_know() -> bool:
            return all(
                m.state is MemberState.LEAVING
                for view in views
                for m in view.members()
                if m.instance == name
            )

        await fleet.wait_until(all_know)
        await leaving.stop()

    run_fleet(run_in_reactor, 8, scenario)
