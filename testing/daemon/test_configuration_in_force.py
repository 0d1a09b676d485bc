"""Tests of the configuration that a daemon holds in force."""

from __future__ import annotations

import pytest

from sycamorenotch_daemon._node import ConfigurationInForce
from sycamorenotch_daemon._node import ServedConfiguration
from sycamorenotch_documents import parse_environment
from sycamorenotch_kernel import EventList
from sycamorenotch_kernel import Invariant
from sycamorenotch_kernel import InvariantMonitor
from sycamorenotch_workbench._soak_document import soak_document

ENVIRONMENT = parse_environment(soak_document())


def in_force(generation: int) -> ServedConfiguration:
    return ServedConfiguration(ENVIRONMENT, generation, "digest", "text")


@pytest.fixture
def monitor() -> InvariantMonitor:
    return InvariantMonitor(EventList())


@pytest.mark.parametrize(
    ("generations", "kept"),
    [((3, 2), 3), ((3, 3), 3), ((2, 3), 3), ((1, 5, 2, 4), 5)],
)
def test_newest_generation_stays_when_others_arrive_late(
    monitor: InvariantMonitor, generations: tuple[int, ...], kept: int
) -> None:
    configuration = ConfigurationInForce(EventList(), monitor)
    for generation in generations:
        configuration.put(in_force(generation))
    assert configuration.generation == kept
    assert monitor.violations[Invariant.I9] == 0


def test_older_generation_is_refused_and_reported_when_the_generation_check_is_bypassed(
    monitor: InvariantMonitor, monkeypatch: pytest.MonkeyPatch
) -> None:
    configuration = ConfigurationInForce(EventList(), monitor)
    configuration.put(in_force(3))
    monkeypatch.setattr(ConfigurationInForce, "_supersedes", lambda *_: True)
    assert not configuration.put(in_force(2))
    assert configuration.generation == 3
    assert monitor.violations[Invariant.I9] == 1
