"""Tests of the timeout of an exchange whose response makes progress."""

from __future__ import annotations

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.defer import TimeoutError as DeferredTimeoutError
from twisted.internet.task import Clock

from sycamorenotch_transport import HttpResponse
from sycamorenotch_transport import ResponseTimeout

START_S, PAUSE_S, TOTAL_S = 1.4, 0.8, 4.0


class Exchange:
    """An exchange under the timeout on a simulated clock."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.timeout = ResponseTimeout(self.clock, START_S, PAUSE_S, TOTAL_S)
        self.response: Deferred[HttpResponse] = Deferred()
        self.results: list[object] = []
        self.timeout.watch(self.response).addBoth(self.results.append)

    @property
    def timed_out(self) -> bool:
        (result,) = self.results or (None,)
        return result is not None and result.check(DeferredTimeoutError) is not None

    def receive_pieces(self, count: int, gap_s: float) -> None:
        for _ in range(count):
            self.clock.advance(gap_s)
            self.timeout.record_progress()


def test_response_that_does_not_begin_times_out() -> None:
    exchange = Exchange()
    exchange.clock.advance(START_S - 0.1)
    assert exchange.results == []
    exchange.clock.advance(0.1)
    assert exchange.timed_out


# A long response on a narrow link was given up, and sent again from the start.
def test_response_that_makes_progress_may_take_longer() -> None:
    exchange = Exchange()
    exchange.receive_pieces(5, 0.7)
    response = HttpResponse(200)
    exchange.response.callback(response)
    assert exchange.results == [response]
    assert exchange.clock.getDelayedCalls() == []


@pytest.mark.parametrize("pieces", [2, 4])
def test_response_that_pauses_times_out(pieces) -> None:
    exchange = Exchange()
    exchange.receive_pieces(pieces, 0.7)
    exchange.clock.advance(PAUSE_S)
    assert exchange.timed_out


def test_response_without_end_times_out() -> None:
    exchange = Exchange()
    exchange.receive_pieces(round(TOTAL_S / 0.1), 0.1)
    assert exchange.timed_out


def test_early_piece_does_not_shorten_the_time_to_begin() -> None:
    exchange = Exchange()
    exchange.receive_pieces(1, 0.1)
    exchange.clock.advance(START_S - 0.1 - 0.01)
    assert exchange.results == []
