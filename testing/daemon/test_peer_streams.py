"""Tests of the streams between daemons over loopback."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any

import msgpack
import pytest
from hypothesis import given
from hypothesis import strategies as st
from twisted.internet import reactor
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.endpoints import connectProtocol
from twisted.internet.protocol import Protocol
from twisted.internet.task import deferLater

from sycamorenotch_daemon._peer_codec import MalformedFrameError
from sycamorenotch_daemon._peer_codec import decode_message
from sycamorenotch_daemon._peer_codec import encode_message
from sycamorenotch_daemon._peer_greeting import prove
from sycamorenotch_daemon._peer_greeting import proves
from sycamorenotch_daemon._peer_mesh import PeerMesh
from sycamorenotch_kernel import ConfigurationRequest
from sycamorenotch_kernel import Heartbeat
from sycamorenotch_kernel import InstanceId
from sycamorenotch_kernel import MemberState
from sycamorenotch_kernel import Rumour
from sycamorenotch_standins import ObjectTable
from sycamorenotch_workbench._control import ControlDaemon
from sycamorenotch_workbench._control import build_control_daemon
from sycamorenotch_workbench._example import free_ports

HEARTBEAT = Heartbeat(
    True, 7, False, 3, b"12345678", (Rumour(InstanceId("c"), 1, MemberState.GONE, 2),)
)
PLACE = ("viti-west", "nadi")


async def until(condition: Callable[[], bool]) -> None:
    while not condition():
        await deferLater(reactor, 0.01)


def mesh(daemon: ControlDaemon) -> PeerMesh:
    return daemon.node.require(PeerMesh)


def numbers(daemon: ControlDaemon) -> list[int]:
    return [event.number for event in daemon.sink.events]


def run_pair(
    run_in_reactor: Callable[..., Any],
    scenario: Callable[[ControlDaemon, ControlDaemon], Coroutine[Any, Any, None]],
    keys: tuple[bytes, bytes] = (b"key", b"key"),
) -> None:
    first, second = (
        build_control_daemon(
            reactor, ObjectTable(), name, PLACE, port, key=key, names=["peers"]
        )
        for name, port, key in zip("ab", free_ports(2), keys, strict=True)
    )

    async def run() -> None:
        await first.start()
        await second.start()
        mesh(first).aim({InstanceId("b"): second.node.settings.peers})
        try:
            await scenario(first, second)
        finally:
            await first.stop()
            await second.stop()

    run_in_reactor(run())


def test_message_arrives_when_both_hold_the_key(
    run_in_reactor: Callable[..., Any],
) -> None:
    async def scenario(first: ControlDaemon, second: ControlDaemon) -> None:
        heard: list[tuple[str, Heartbeat]] = []
        mesh(second).handle(Heartbeat, lambda p, m: heard.append((p.instance, m)))
        await until(lambda: mesh(first).send(InstanceId("b"), HEARTBEAT))
        await until(lambda: bool(heard))
        assert heard == [("a", HEARTBEAT)]

    run_pair(run_in_reactor, scenario)


def test_peer_is_refused_when_its_key_is_wrong(
    run_in_reactor: Callable[..., Any],
) -> None:
    async def scenario(first: ControlDaemon, second: ControlDaemon) -> None:
        await until(lambda: 4102 in numbers(first) + numbers(second))
        assert mesh(first).connected() == mesh(second).connected() == ()

    run_pair(run_in_reactor, scenario, (b"key", b"other"))


@pytest.mark.parametrize(
    "attack",
    [
        b"GET / HTTP/1.1\r\n\r\n",
        b"\xff\xff\xff\xff",
        b"\x00\x00\x00\x02\xc1\xc1",
        b"\x00\x00\x00\x03" + msgpack.packb([1, 2]),
    ],
)
def test_daemon_goes_on_when_a_stranger_breaks_the_protocol(
    run_in_reactor: Callable[..., Any], attack: bytes
) -> None:
    async def scenario(first: ControlDaemon, second: ControlDaemon) -> None:
        await until(lambda: mesh(second).has(InstanceId("a")))
        host, port = second.node.settings.peers.split(":")
        endpoint = TCP4ClientEndpoint(reactor, host, int(port))
        stranger = await connectProtocol(endpoint, Protocol())
        stranger.transport.write(attack)
        await until(lambda: 4102 in numbers(second))
        assert mesh(first).send(InstanceId("b"), HEARTBEAT)

    run_pair(run_in_reactor, scenario)


def test_stream_stays_open_when_a_frame_is_malformed_or_of_unknown_type(
    run_in_reactor: Callable[..., Any],
) -> None:
    async def scenario(first: ControlDaemon, second: ControlDaemon) -> None:
        heard: list[Heartbeat] = []
        mesh(second).handle(Heartbeat, lambda _, message: heard.append(message))
        await until(lambda: mesh(first).has(InstanceId("b")))
        stream = mesh(first)._streams[InstanceId("b")][0]
        stream.sendString(msgpack.packb([1, ["malformed"]]))
        stream.sendString(msgpack.packb([60000, ["of a later version"]]))
        stream.send(HEARTBEAT)
        await until(lambda: bool(heard))
        assert numbers(second).count(4104) == 1

    run_pair(run_in_reactor, scenario)


def test_peer_is_dialled_again_when_an_oversized_frame_ends_the_stream(
    run_in_reactor: Callable[..., Any],
) -> None:
    async def scenario(first: ControlDaemon, second: ControlDaemon) -> None:
        targets = {InstanceId("b"): second.node.settings.peers}
        await until(lambda: mesh(first).has(InstanceId("b")))
        stream = mesh(first)._streams[InstanceId("b")][0]
        stream.transport.write(b"\x7f\xff\xff\xff")
        await until(lambda: not mesh(first).has(InstanceId("b")))
        assert 4102 in numbers(second)

        def again() -> bool:
            mesh(first).aim(targets)
            return mesh(first).has(InstanceId("b"))

        await until(again)

    run_pair(run_in_reactor, scenario)


def test_proof_is_refused_when_it_is_sent_back_to_its_author() -> None:
    mine, theirs = b"my greeting", b"their greeting"
    own_proof = prove(b"key", True, mine, theirs)
    assert proves(own_proof, b"key", False, theirs, mine)
    assert not proves(own_proof, b"key", True, mine, theirs)


@given(
    st.lists(
        st.builds(
            Rumour,
            st.text(max_size=8),
            st.integers(0, 2**63),
            st.sampled_from(MemberState),
            st.integers(0, 2**63),
        ),
        max_size=4,
    )
)
def test_message_is_the_same_when_decoded(rumours: list[Rumour]) -> None:
    sent = Heartbeat(False, 1, True, 2, b"\x00", tuple(rumours))
    assert decode_message(encode_message(sent)) == sent


@given(st.binary(max_size=40))
def test_frame_is_refused_or_unknown_when_it_is_random(frame: bytes) -> None:
    try:
        decode_message(frame)
    except MalformedFrameError:
        pass


def test_message_is_accepted_when_a_later_version_added_a_field() -> None:
    frame = msgpack.packb([ConfigurationRequest.number, [5, "new field"]])
    assert decode_message(frame) == ConfigurationRequest(5)
