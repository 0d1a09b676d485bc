"""Tests of the result of a call after several attempts."""

from __future__ import annotations

from types import SimpleNamespace

import pytest
from expression import Error
from twisted.internet import reactor

from sycamorenotch_daemon._retry_stage import RetryStage
from sycamorenotch_kernel import Call
from sycamorenotch_kernel import CallResult
from sycamorenotch_kernel import ErrorKind
from sycamorenotch_kernel import Failure
from sycamorenotch_kernel import Ran
from sycamorenotch_workbench import LocalExample

LOST = Failure(ErrorKind.UPSTREAM_FAILED, "the connection was lost", Ran.UNKNOWN)
SHED = Failure(ErrorKind.UPSTREAM_SHED, "it was shed", Ran.NO)
NONE_LEFT = Failure(ErrorKind.NO_UPSTREAM, "no worker is left", Ran.NO)


@pytest.fixture
def stage(run_in_reactor):
    example = LocalExample(reactor, instances=1)
    run_in_reactor(example.start())
    yield RetryStage(example.daemons[0].node)
    run_in_reactor(example.stop())


@pytest.mark.parametrize(
    ("failures", "idempotent", "kind", "ran", "attempts"),
    [
        ([LOST, SHED, SHED], True, ErrorKind.UPSTREAM_SHED, Ran.UNKNOWN, 3),
        ([LOST, NONE_LEFT], True, ErrorKind.UPSTREAM_FAILED, Ran.UNKNOWN, 2),
        ([SHED, NONE_LEFT], False, ErrorKind.UPSTREAM_SHED, Ran.NO, 2),
        ([SHED, LOST], False, ErrorKind.UPSTREAM_FAILED, Ran.UNKNOWN, 2),
        ([LOST], False, ErrorKind.UPSTREAM_FAILED, Ran.UNKNOWN, 1),
        ([NONE_LEFT], True, ErrorKind.NO_UPSTREAM, Ran.NO, 1),
    ],
)
def test_failure_combines_what_is_known_when_attempts_fail(
    stage, make_call, run_in_reactor, failures, idempotent, kind, ran, attempts
) -> None:
    counter = SimpleNamespace(attempts=0)

    async def proceed(call: Call) -> CallResult:
        counter.attempts += 1
        return Error(failures[counter.attempts - 1])

    result = run_in_reactor(stage.run(make_call(idempotent), proceed))
    assert (result.error.kind, result.error.stated_ran) == (kind, ran)
    assert counter.attempts == attempts
