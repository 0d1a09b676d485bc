"""Tests of the answers to look-ups."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from datetime import UTC
from datetime import datetime
from ipaddress import ip_address
from pathlib import Path

import pytest

from sycamorenotch_documents import parse_environment
from sycamorenotch_kernel import ErrorKind
from sycamorenotch_kernel import InstanceId
from sycamorenotch_kernel import InstanceState
from sycamorenotch_kernel import ListedInstance
from sycamorenotch_kernel import Plan
from sycamorenotch_kernel import PlanRoute
from sycamorenotch_kernel import Rank
from sycamorenotch_kernel import RegionShare
from sycamorenotch_policies import LookupTable

EXAMPLE = Path(__file__).parents[2] / "examples" / "vatukoula.ini"
ENVIRONMENT = parse_environment(EXAMPLE.read_text())
CLIENTS = tuple(ip_address(f"10.1.{i // 250}.{i % 250 + 1}") for i in range(2000))


def instance(region: str, number: int) -> ListedInstance:
    name = f"{region}-{number}"
    return ListedInstance(
        InstanceId(name), region, "", f"{name}:80", "", InstanceState.LIVE
    )


INSTANCES = tuple(
    instance(region, number) for region in ENVIRONMENT.regions for number in range(4)
)


def plan_with(*shares: RegionShare) -> Plan:
    route = PlanRoute("balance", "viti-west", Rank.STANDARD, shares)
    made_at = datetime(2026, 1, 1, tzinfo=UTC)
    return Plan(1, 1, made_at, InstanceId("viti-west-0"), (route,), ())


@pytest.fixture
def table() -> LookupTable:
    table = LookupTable(ENVIRONMENT, "vanua")
    table.update(None, INSTANCES)
    return table


def test_answer_names_own_region_first_when_no_plan(table: LookupTable) -> None:
    answer = table.answer("balance", CLIENTS[0]).ok
    regions = [item.region for item in answer.instances]
    assert regions[:3] == ["viti-west"] * 3
    assert regions[3] != "viti-west"


def test_answer_uses_home_region_when_block_is_unknown(table: LookupTable) -> None:
    answer = table.answer("balance", ip_address("192.0.2.1")).ok
    assert answer.region == "vanua"


def test_answers_spread_over_instances_when_callers_differ(table: LookupTable) -> None:
    first = Counter(table.answer("balance", c).ok.instances[0].id for c in CLIENTS)
    assert len(first) == 4
    assert min(first.values()) > len(CLIENTS) / 4 * 0.7


def test_answers_follow_shares_when_plan_moves_some(table: LookupTable) -> None:
    shares = (RegionShare("viti-west", 0.8), RegionShare("vanua", 0.2))
    table.update(plan_with(*shares), INSTANCES)
    served = Counter(table.answer("balance", c).ok.serving for c in CLIENTS)
    assert served["vanua"] / len(CLIENTS) == pytest.approx(0.2, abs=0.03)


def test_only_moved_share_changes_region_when_shares_change(
    table: LookupTable,
) -> None:
    before = (RegionShare("viti-west", 0.9), RegionShare("vanua", 0.1))
    after = (RegionShare("viti-west", 0.8), RegionShare("vanua", 0.2))
    table.update(plan_with(*before), INSTANCES)
    old = [table.answer("balance", c).ok.serving for c in CLIENTS]
    table.update(plan_with(*after), INSTANCES)
    new = [table.answer("balance", c).ok.serving for c in CLIENTS]
    moved = sum(a != b for a, b in zip(old, new, strict=True))
    assert moved / len(CLIENTS) == pytest.approx(0.1, abs=0.03)


def test_answer_leaves_out_instance_when_it_is_leaving(table: LookupTable) -> None:
    leaving = replace(INSTANCES[0], state=InstanceState.LEAVING)
    table.update(None, (leaving, *INSTANCES[1:]))
    named = {
        item.id for c in CLIENTS for item in table.answer("balance", c).ok.instances
    }
    assert leaving.id not in named


def test_other_callers_keep_their_order_when_instance_leaves(
    table: LookupTable,
) -> None:
    before = [table.answer("balance", c).ok.instances[0] for c in CLIENTS]
    table.update(None, INSTANCES[1:])
    after = [table.answer("balance", c).ok.instances[0] for c in CLIENTS]
    changed = {a.id for a, b in zip(before, after, strict=True) if a != b}
    assert changed == {INSTANCES[0].id}


def test_answer_names_other_region_when_own_has_no_instance(
    table: LookupTable,
) -> None:
    rest = tuple(item for item in INSTANCES if item.region != "viti-west")
    table.update(None, rest)
    answer = table.answer("balance", CLIENTS[0]).ok
    assert answer.serving != "viti-west"


def test_answer_object_is_kept_when_nothing_changed(table: LookupTable) -> None:
    first = table.answer("balance", CLIENTS[0]).ok
    table.update(None, tuple(INSTANCES))
    assert table.answer("balance", CLIENTS[0]).ok is first


@pytest.mark.parametrize(
    ("service", "instances", "kind"),
    [
        ("nothing", INSTANCES, ErrorKind.UNKNOWN_SERVICE),
        ("balance", (), ErrorKind.NO_UPSTREAM),
    ],
)
def test_lookup_fails_when_service_is_unknown_or_no_instance_is_live(
    service: str, instances: tuple[ListedInstance, ...], kind: ErrorKind
) -> None:
    table = LookupTable(ENVIRONMENT)
    table.update(None, instances)
    assert table.answer(service, CLIENTS[0]).error.kind is kind
