"""Tests of the metrics page and of the absence of secrets in logs."""

from __future__ import annotations

import json
from collections.abc import Callable
from collections.abc import Iterator
from typing import Any

import pytest
import treq
from eliot import add_destinations
from eliot import remove_destination
from twisted.internet import reactor

from sycamorenotch_workbench import LocalExample

Run = Callable[..., Any]

BODY = "a-body-that-must-not-be-logged"


@pytest.fixture(scope="module")
def example(run_in_reactor: Run) -> Iterator[LocalExample]:
    example = LocalExample(reactor)
    run_in_reactor(example.start())
    yield example
    run_in_reactor(example.stop())


@pytest.fixture
def messages() -> Iterator[list[dict[str, Any]]]:
    found: list[dict[str, Any]] = []
    add_destinations(found.append)
    yield found
    remove_destination(found.append)


def test_metrics_count_calls_events_and_generation(
    example: LocalExample, run_in_reactor: Run
) -> None:
    async def scenario() -> None:
        callers = example.describe()["callers"][0]
        for _ in range(3):
            await treq.content(await treq.get(f"{callers}/v1/call/balance/balances/1"))
        response = await treq.get(f"{callers}/metrics")
        page = await treq.text_content(response)
        route_labels = 'rank="standard",service="balance"'
        labels = f'outcome="2xx",{route_labels}'
        assert response.headers.getRawHeaders("Content-Type")[0].startswith("text/")
        assert f"sycamorenotch_calls_total{{{labels}}} 3" in page
        assert f"sycamorenotch_call_seconds_count{{{route_labels}}} 3" in page
        assert 'sycamorenotch_events_total{event="call.answered",number="2301"}' in page
        assert "sycamorenotch_generation_in_force 1" in page
        assert 'sycamorenotch_store_calls_total{kind="get",result="made"}' in page
        violation = 'sycamorenotch_invariant_violations_total{invariant="I1"} 0'
        assert violation in page

    run_in_reactor(scenario())


def test_logs_contain_no_token_and_no_body(
    example: LocalExample, run_in_reactor: Run, messages: list[dict[str, Any]]
) -> None:
    async def scenario() -> None:
        described = example.describe()
        callers, operators = described["callers"][0], described["operators"][0]
        authorization = {"Authorization": f"Bearer {example.token}"}
        for headers in (authorization, {"Authorization": "Bearer wrong-secret"}):
            response = await treq.get(f"{operators}/v1/status", headers=headers)
            await treq.content(response)
        headers = {**authorization, "Idempotency-Key": "key-1"}
        for path in ("redemption/redemptions/1", "redemption/nothing"):
            url = f"{callers}/v1/call/{path}"
            await treq.content(await treq.post(url, BODY.encode(), headers=headers))

    run_in_reactor(scenario())
    written = json.dumps(messages, default=str)
    assert messages
    assert example.token not in written
    assert "wrong-secret" not in written
    assert BODY not in written
