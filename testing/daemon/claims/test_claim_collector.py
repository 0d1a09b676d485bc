"""Tests of the removal of expired claims."""

from __future__ import annotations

from datetime import timedelta
from typing import Any

import pytest
from twisted.internet.defer import Deferred

from sycamorenotch_daemon._claim_codec import claim_kind
from sycamorenotch_daemon._claim_codec import encode_claim
from sycamorenotch_daemon._claim_collector import ClaimCollector
from sycamorenotch_daemon._instances import InstanceView
from sycamorenotch_daemon._lease import PlanLease
from sycamorenotch_kernel import AttemptId
from sycamorenotch_kernel import InstanceId
from sycamorenotch_kernel import InstanceState
from sycamorenotch_kernel import ListedInstance
from sycamorenotch_policies import Claim
from sycamorenotch_policies import ClaimState

EXPIRED_CLAIMS = 25


class OneInstance:
    """Instance list with only the collecting instance."""

    def instances(self) -> tuple[ListedInstance, ...]:
        live = InstanceState.LIVE
        return (ListedInstance(InstanceId("first"), "", "", "", "", live),)


@pytest.fixture
def collector(fleet: Any) -> ClaimCollector:
    node = fleet.first.node
    node.provide(InstanceView, OneInstance())
    lease = PlanLease(node)
    collector = ClaimCollector(node)
    collector._shard = 0
    Deferred.fromCoroutine(lease.start())
    Deferred.fromCoroutine(collector.start())
    return collector


def store_claims(fleet: Any, count: int, age: timedelta, instance: str) -> None:
    created = fleet.first.node.clock.now() - age
    for number in range(count):
        claim = Claim(
            fingerprint="f",
            attempt=AttemptId(f"a-{number}"),
            instance=instance,
            state=ClaimState.UNKNOWN,
            created=created,
            due=created,
            expires=created + timedelta(days=1),
        )
        name = f"{instance}.{age.days}.{number}"
        fleet.table.create(claim_kind(0), name, encode_claim(claim))


def claim_names(fleet: Any) -> list[str]:
    return [stored.name for stored in fleet.table.list(claim_kind(0))]


def test_only_expired_claims_are_removed_in_bounded_steps(
    fleet: Any, collector: ClaimCollector
) -> None:
    store_claims(fleet, EXPIRED_CLAIMS, timedelta(days=2), "first")
    store_claims(fleet, 2, timedelta(), "second")
    fleet.advance_time(6)
    assert len(claim_names(fleet)) == EXPIRED_CLAIMS + 2 - 10
    fleet.advance_time(30)
    assert claim_names(fleet) == ["second.0.0", "second.0.1"]


def test_no_claim_is_removed_when_only_the_collector_has_recent_claims(
    fleet: Any, collector: ClaimCollector
) -> None:
    store_claims(fleet, 3, timedelta(days=2), "second")
    store_claims(fleet, 3, timedelta(), "first")
    fleet.advance_time(60)
    assert len(claim_names(fleet)) == 6


def test_nothing_is_listed_when_the_lease_is_not_held(
    fleet: Any, collector: ClaimCollector, loss: Any
) -> None:
    fleet.first.store.always = loss.DOWN
    fleet.advance_time(60)
    assert fleet.first.store.calls["list"] == 0
