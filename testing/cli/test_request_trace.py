"""Tests of explaining a request's outcome from gateway logs."""

from __future__ import annotations

import json

import pytest

from sycamorenotch_cli._commands import ExitCode
from sycamorenotch_cli._commands import Invocation
from sycamorenotch_cli._commands import Options
from sycamorenotch_cli._log_parser import parse_lines
from sycamorenotch_cli._request_trace import describe_cause
from sycamorenotch_cli._request_trace import trace_request
from sycamorenotch_kernel import commands

PREFIX = "   1.2030 frontend-a-1 "


def line(at: float, name: str, **fields) -> str:
    common = {"timestamp": at, "message_type": name, "instance": "a-1"}
    return PREFIX + json.dumps({**common, **fields})


def refused(kind: str, **fields) -> str:
    values = {"request": "r1", "service": "s", "kind": kind, "detail": "why"}
    values |= {"seconds": 0.5, "configuration": 7, "retry_after_s": 0.4, "attempts": 1}
    return line(10.0, "request.refused", **{**values, **fields})


ATTEMPT = line(
    9.9,
    "request.attempt-failed",
    request="r1",
    worker="i-1",
    outcome="no answer",
    detail="connection lost",
    load=1.2,
    entry_age_s=3.0,
)


@pytest.mark.parametrize(
    ("kind", "expected_text"),
    [
        ("overloaded", "had no free capacity: why"),
        ("upstream-failed", "i-1: no answer, connection lost"),
        ("upstream-shed", "refused to run the request"),
        ("deadline-passed", "No worker answered within 0.5 s"),
        ("not-ready", "was not ready: why"),
        ("unauthorized", "Under version 7 of the configuration, why"),
        ("no-upstream", "No worker may run the request: why"),
        ("unknown-route", "Version 7"),
        ("quarantined", "crashed several workers"),
        ("internal", "refused the request as internal: why"),
    ],
)
def test_cause_when_the_request_was_refused(kind, expected_text) -> None:
    lines = tuple(parse_lines([ATTEMPT, refused(kind)]))
    assert expected_text in describe_cause(trace_request(lines, "r1"))


def test_cause_when_the_instance_ended_before_the_request() -> None:
    assert "instance ended" in describe_cause(
        trace_request(tuple(parse_lines([ATTEMPT])), "r1")
    )


def test_cause_when_no_line_mentions_the_request() -> None:
    assert "No line" in describe_cause(
        trace_request(tuple(parse_lines([ATTEMPT])), "other")
    )


def test_context_holds_recent_events_of_its_instance_and_workers() -> None:
    texts = [
        line(5.0, "worker.failed", worker="i-1"),
        line(5.0, "worker.failed", worker="i-2"),
        line(6.0, "store.lost", topic="workers"),
        line(-50.0, "store.lost", topic="workers"),
        ATTEMPT,
        refused("upstream-failed"),
    ]
    trace = trace_request(tuple(parse_lines(texts)), "r1")
    assert [item.name for item in trace.context] == ["worker.failed", "store.lost"]


def test_lines_in_another_format_are_ignored() -> None:
    texts = ["no json", "{broken", '{"other": 1}', ATTEMPT]
    assert [item.worker for item in parse_lines(texts)] == ["i-1"]


def test_explain_states_cause_when_logs_are_given(run_in_reactor, tmp_path) -> None:
    path = tmp_path / "a.log"
    path.write_text(ATTEMPT + "\n" + refused("upstream-failed") + "\n")
    options = Options(logs=(str(path),))
    invocation = Invocation(("r1",), options, None, lambda: None)
    outcome = run_in_reactor(commands.get("explain").run(invocation))
    assert outcome.code is ExitCode.OK
    assert "Cause: Its worker was lost" in outcome.text
    assert outcome.data["decisions"][0]["worker"] == "i-1"
    json.dumps(outcome.data)


def test_explain_fails_when_a_log_file_cannot_be_read(run_in_reactor, tmp_path) -> None:
    options = Options(logs=(str(tmp_path / "absent"),))
    invocation = Invocation(("r1",), options, None, lambda: None)
    outcome = run_in_reactor(commands.get("explain").run(invocation))
    assert outcome.code is ExitCode.USAGE
