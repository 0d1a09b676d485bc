"""Shared fixtures of the policy tests."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from random import Random

import pytest

from sycamorenotch_kernel import Bounds
from sycamorenotch_kernel import EventList
from sycamorenotch_kernel import InvariantMonitor
from sycamorenotch_kernel import Rank
from sycamorenotch_kernel import RankPolicy
from sycamorenotch_kernel import Worker
from sycamorenotch_policies import AdmissionSetup
from sycamorenotch_policies import ChoiceSetup

FLOORS = {Rank.URGENT: 0.4, Rank.STANDARD: 0.3, Rank.DEFERRABLE: 0.1}


@pytest.fixture
def sink() -> EventList:
    return EventList()


@pytest.fixture
def admission_setup(sink: EventList) -> Callable[[int], AdmissionSetup]:
    ranks = {
        rank: RankPolicy(rank, 1.0, floor, timedelta(seconds=1))
        for rank, floor in FLOORS.items()
    }
    monitor = InvariantMonitor(sink, strict=True)
    service_time = timedelta(milliseconds=10)
    return lambda slots: AdmissionSetup(slots, ranks, service_time, monitor)


@pytest.fixture
def choice_setup(sink: EventList) -> ChoiceSetup:
    bounds = Bounds(
        answer_lifetime=timedelta(seconds=5),
        leaving=timedelta(seconds=3),
        drain=timedelta(seconds=30),
        claim_lifetime=timedelta(hours=24),
        stale_after=timedelta(seconds=10),
        cold_start=timedelta(seconds=30),
    )
    return ChoiceSetup(
        region="west",
        service_time=timedelta(milliseconds=10),
        instances=1,
        bounds=bounds,
        random=Random(7),
        sink=sink,
        invariants=InvariantMonitor(sink, strict=True),
    )


@pytest.fixture
def make_workers() -> Callable[..., tuple[Worker, ...]]:
    def make(count: int, region: str = "west", connections: int = 300):
        return tuple(
            Worker(
                name=f"{region}-{index}",
                service="balance",
                region=region,
                data_centre=f"{region}-a",
                address=f"127.0.0.1:{index + 1}",
                slots=4,
                connections=connections,
                connection_cost=timedelta(milliseconds=1),
            )
            for index in range(count)
        )

    return make
