"""Tests of the log writer: its rate limit, its queue and a blocked reader."""

from __future__ import annotations

import json
import os

import pytest
from eliot import remove_destination
from twisted.internet.task import Clock

from sycamorenotch_gateway._events import PeerJoined
from sycamorenotch_gateway._events import StoreRegained
from sycamorenotch_gateway._log import FLUSH_INTERVAL_S
from sycamorenotch_gateway._log import MAX_LINES_PER_SECOND
from sycamorenotch_gateway._log import MAX_QUEUED_BYTES
from sycamorenotch_gateway._log import LogWriter


class Pipe:
    """A log writer on a pipe that the test reads."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.reading, self.writing = os.pipe()
        os.set_blocking(self.reading, False)
        self.log = LogWriter(self.clock, self.writing, self.clock.seconds, "a-1")

    def lines(self) -> list[dict]:
        self.log.flush()
        try:
            data = os.read(self.reading, 10_000_000)
        except BlockingIOError:
            return []
        return [json.loads(line) for line in data.splitlines()]

    def close(self) -> None:
        remove_destination(self.log._enqueue)
        os.close(self.reading)
        os.close(self.writing)


@pytest.fixture
def pipe():
    found = Pipe()
    yield found
    found.close()


def test_line_names_event_instance_and_fields(pipe) -> None:
    pipe.log.emit(PeerJoined("b-1", 2))
    (line,) = pipe.lines()
    assert line["message_type"] == "peer.joined"
    assert (line["instance"], line["peer"], line["live"]) == ("a-1", "b-1", 2)


def test_lines_of_one_event_are_rate_limited_and_drops_are_reported(pipe) -> None:
    for _ in range(MAX_LINES_PER_SECOND + 50):
        pipe.log.emit(PeerJoined("b-1", 2))
    pipe.log.emit(StoreRegained("workers", 0.1))
    lines = pipe.lines()
    names = [line["message_type"] for line in lines]
    assert names.count("peer.joined") == MAX_LINES_PER_SECOND
    assert names.count("store.regained") == 1
    (dropped,) = [line for line in lines if line["message_type"] == "log.dropped"]
    assert dropped["lines"] == 50


def test_writer_does_not_block_and_bounds_its_queue_when_the_pipe_is_not_read(
    pipe,
) -> None:
    for _ in range(200):
        pipe.clock.advance(1.0)
        for _ in range(MAX_LINES_PER_SECOND):
            pipe.log.emit(PeerJoined("b" * 200, 2))
    assert pipe.log._queued_bytes <= MAX_QUEUED_BYTES + 1000
    assert pipe.log.dropped > 0


def test_log_continues_when_the_pipe_is_read_again(pipe) -> None:
    for _ in range(100):
        pipe.clock.advance(1.0)
        for _ in range(MAX_LINES_PER_SECOND):
            pipe.log.emit(PeerJoined("b" * 200, 2))
    while True:
        pipe.clock.advance(FLUSH_INTERVAL_S)
        try:
            os.read(pipe.reading, 10_000_000)
        except BlockingIOError:
            break
    pipe.log.emit(StoreRegained("workers", 0.1))
    assert "store.regained" in [line["message_type"] for line in pipe.lines()]
