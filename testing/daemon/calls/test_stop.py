"""Tests of a graceful stop under load."""

from __future__ import annotations

import pytest
import treq
from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionRefusedError
from twisted.internet.task import deferLater

from sycamorenotch_workbench import LocalExample

HEADERS = {"Request-Timeout": "20"}


@pytest.fixture
def example(run_in_reactor):
    example = LocalExample(reactor, instances=1)
    example.text = example.text.replace("answer_lifetime = 5s", "answer_lifetime = 1s")
    run_in_reactor(example.start())
    yield example
    run_in_reactor(example.stop())


def test_calls_are_completed_and_served_until_cached_answers_expire_when_stopping(
    example, run_in_reactor
) -> None:
    (daemon,) = example.daemons
    (callers,) = example.describe()["callers"]
    for worker in example.workers.values():
        worker.fault.set("slow", 2.0, None, "/balances/slow")

    async def call(path: str) -> int:
        url = f"{callers}/v1/call/balance/balances/{path}"
        response = await treq.get(url, headers=HEADERS, persistent=False)
        await treq.content(response)
        return response.code

    async def scenario() -> None:
        slow = Deferred.fromCoroutine(call("slow"))
        await deferLater(reactor, 0.1)
        stopping = Deferred.fromCoroutine(daemon.stop())
        lookup = await treq.get(f"{callers}/v1/lookup?service=balance&client=10.1.0.7")
        assert lookup.code == 503
        assert await call("new") == 200
        assert await slow == 200
        await stopping
        with pytest.raises(ConnectionRefusedError):
            await call("late")
        assert not any(daemon.node.invariants.violations.values())

    run_in_reactor(scenario())
