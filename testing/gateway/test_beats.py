"""Tests of the datagrams between instances."""

from __future__ import annotations

import dataclasses
from datetime import timedelta

import msgpack
import pytest

from sycamorenotch_gateway._beats import WHOLE_AT_START
from sycamorenotch_gateway._beats import WHOLE_EVERY
from sycamorenotch_gateway._beats import BeatCodec
from sycamorenotch_kernel import PeerEntry
from sycamorenotch_kernel import Resources
from sycamorenotch_policies import Heartbeat
from sycamorenotch_policies import Signature
from sycamorenotch_policies import Strike

ENTRY = PeerEntry("a-1", "west", "a", "10.0.0.1:80", "10.0.0.1:90", 1_700_000_000_000)
REGULAR = WHOLE_EVERY * WHOLE_AT_START + 1
STRIKE = Strike(Signature("s"), "i-1", "a-1/1", 1, timedelta(seconds=1))


def beat(sequence: int = REGULAR, **changes) -> Heartbeat:
    entry = dataclasses.replace(ENTRY, **changes)
    return Heartbeat(entry, sequence, True, Resources(2.0, 200.0), Resources(0.25, 3.5))


@pytest.fixture
def sender() -> BeatCodec:
    return BeatCodec()


@pytest.fixture
def receiver() -> BeatCodec:
    return BeatCodec()


def test_whole_beat_arrives_as_it_was(sender, receiver) -> None:
    found, strikes = receiver.decode(sender.encode(beat(1), (STRIKE,)))
    assert found == beat(1)
    assert strikes == (STRIKE,)


def test_short_beat_refers_to_the_description(sender, receiver) -> None:
    receiver.decode(sender.encode(beat(1), ()))
    assert receiver.decode(sender.encode(beat(), ()))[0] == beat()


def test_short_beat_is_a_quarter_of_a_whole_one_at_most(sender) -> None:
    short, whole = sender.encode(beat(), ()), sender.encode(beat(), (), whole=True)
    assert len(short) * 4 <= len(whole)


def test_short_beat_of_an_unknown_instance_names_nobody(sender, receiver) -> None:
    assert receiver.decode(sender.encode(beat(), ()))[0] is None


def test_short_beat_after_a_restart_waits_for_the_description(sender, receiver) -> None:
    receiver.decode(sender.encode(beat(1), ()))
    restarted = beat(started=ENTRY.started + 1)
    assert receiver.decode(sender.encode(restarted, ()))[0] is None


@pytest.mark.parametrize("step_ms", [5_000, -5_000])
def test_description_of_another_start_replaces_none(sender, receiver, step_ms) -> None:
    # The wall clock may have been set back before the restart.
    restarted = beat(1, started=ENTRY.started + step_ms)
    receiver.decode(sender.encode(beat(1), ()))
    receiver.decode(sender.encode(restarted, ()))
    receiver.decode(sender.encode(beat(9), (), whole=True))
    again = beat(started=ENTRY.started + step_ms)
    assert receiver.decode(sender.encode(again, ()))[0] == again


def test_first_beats_leaving_and_every_few_are_whole(sender, receiver) -> None:
    for told in (beat(2), beat(WHOLE_EVERY * 9), beat(leaving=True)):
        assert BeatCodec().decode(sender.encode(told, ()))[0] == told


@pytest.mark.parametrize(
    "datagram",
    [b"", b"\xc1", msgpack.packb({"i": 1}), msgpack.packb([1]), msgpack.packb({})],
)
def test_datagram_that_cannot_be_read_is_an_error(receiver, datagram) -> None:
    with pytest.raises(ValueError):
        receiver.decode(datagram)
