"""Tests of the worker states that instances report to the lease holder."""

from __future__ import annotations

from datetime import timedelta

import pytest

from sycamorenotch_daemon._peer_codec import decode_message
from sycamorenotch_daemon._peer_codec import encode_message
from sycamorenotch_daemon._plan_messages import DemandReport
from sycamorenotch_daemon._plan_messages import PlanQuestion
from sycamorenotch_daemon._plan_messages import WorkerObservation
from sycamorenotch_daemon._worker_observations import FleetWorkers
from sycamorenotch_kernel import InstanceId
from sycamorenotch_kernel import Rank

SECOND = timedelta(seconds=1)
FIRST, OTHER = InstanceId("first"), InstanceId("second")


def observation(
    usable: bool = True, load: int = 500, failures: int = 0
) -> WorkerObservation:
    return WorkerObservation("w", usable, load, 1000, failures)


@pytest.mark.parametrize(
    ("reported", "usable"), [((False, False), False), ((False, True), True)]
)
def test_worker_is_unusable_only_when_every_instance_reports_it(
    reported: tuple[bool, bool], usable: bool
) -> None:
    workers = FleetWorkers()
    for instance, value in zip((FIRST, OTHER), reported, strict=True):
        workers.report(instance, (observation(value),), SECOND)
    (report,) = workers.reports((FIRST, OTHER), 2 * SECOND)
    assert report.usable is usable


def test_report_is_the_newest_and_its_age_includes_time_since_receipt() -> None:
    workers = FleetWorkers()
    workers.report(FIRST, (observation(load=100, failures=200),), SECOND)
    workers.report(OTHER, (observation(load=900),), 3 * SECOND)
    (report,) = workers.reports((FIRST, OTHER), 5 * SECOND)
    assert (report.load, report.age, report.failures) == (0.9, 3 * SECOND, 0.1)


def test_state_is_discarded_when_the_instance_is_no_longer_listed() -> None:
    workers = FleetWorkers()
    workers.report(FIRST, (observation(),), SECOND)
    assert workers.reports((OTHER,), SECOND) == ()


def test_load_is_absent_when_the_worker_has_not_reported() -> None:
    workers = FleetWorkers()
    workers.report(FIRST, (observation(load=-1),), SECOND)
    (report,) = workers.reports((FIRST,), SECOND)
    assert report.load is None


def test_question_is_unchanged_when_encoded_and_decoded() -> None:
    demand = DemandReport("balance", "viti-west", Rank.URGENT, 1500)
    question = PlanQuestion(3, 7, (demand,), (observation(),))
    assert decode_message(encode_message(question)) == question
