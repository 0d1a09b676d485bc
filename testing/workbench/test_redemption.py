"""End-to-end tests of protected requests over loopback sockets."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
from typing import Any

import pytest
import treq
from twisted.internet import reactor
from twisted.internet.defer import gatherResults

from sycamorenotch_workbench import LocalExample

PATH = "v1/call/redemption/redemptions/1"


@pytest.fixture(scope="module")
def example(run_in_reactor: Callable[..., Any]) -> Iterator[LocalExample]:
    example = LocalExample(reactor)
    run_in_reactor(example.start())
    yield example
    run_in_reactor(example.stop())


async def executions(example: LocalExample, key: str) -> int:
    counted = 0
    for address in example.describe()["upstreams"]:
        response = await treq.get(f"{address}/executions")
        counted += (await treq.json_content(response)).get(key, 0)
    return counted


def test_redemption_runs_once_when_sent_twice_concurrently(
    example: LocalExample, run_in_reactor: Callable[..., Any]
) -> None:
    async def scenario() -> None:
        callers = example.describe()["callers"]
        sent = [
            treq.post(f"{url}/{PATH}", headers={"Idempotency-Key": "r-1"}, data=b"50")
            for url in callers
        ]
        responses = await gatherResults(sent)
        bodies = [await treq.content(response) for response in responses]
        assert [response.code for response in responses] == [200, 200]
        assert bodies[0] == bodies[1]
        assert await executions(example, "r-1") == 1

    run_in_reactor(scenario())


def test_redemption_is_refused_as_not_run_when_store_is_down(
    example: LocalExample, run_in_reactor: Callable[..., Any]
) -> None:
    async def scenario() -> None:
        example.store_api.fault.set("down", 0, None)
        callers = example.describe()["callers"]
        response = await treq.post(
            f"{callers[0]}/{PATH}", headers={"Idempotency-Key": "r-2"}
        )
        problem = await treq.json_content(response)
        example.store_api.fault.set("none", 0, None)
        assert (problem["kind"], problem["ran"]) == ("store-unavailable", "no")
        assert response.headers.hasHeader("Retry-After")
        assert await executions(example, "r-2") == 0

    run_in_reactor(scenario())
