"""Tests of topics as instances pass them on."""

from __future__ import annotations

import orjson
import pytest

from sycamorenotch_gateway._topic_payloads import decode_topic
from sycamorenotch_gateway._topic_payloads import encode_topic
from sycamorenotch_kernel import Batch
from sycamorenotch_kernel import ClientLimits
from sycamorenotch_kernel import Customer
from sycamorenotch_kernel import ForwardingConfiguration
from sycamorenotch_kernel import ForwardingRoute
from sycamorenotch_kernel import Item
from sycamorenotch_kernel import RequestKind
from sycamorenotch_kernel import Topic
from sycamorenotch_kernel import WorkerEntry

WORKER = WorkerEntry("w", "s", "10.0.0.1:80", "a", 4, False)


@pytest.mark.parametrize("is_snapshot", [True, False])
def test_positions_survive_the_way_between_instances(is_snapshot) -> None:
    items = (Item("w", 7, WORKER), Item("v", 12, removed=True))
    batch = Batch(items, 12, era=3)
    body = encode_topic(Topic.WORKERS, batch, is_snapshot=is_snapshot)
    assert decode_topic(Topic.WORKERS, body).ok == (batch, is_snapshot)


CUSTOMER = Customer("c", frozenset({"d1", "d2"}), 1, 2.5, 5.0, frozenset({"west"}))
ROUTE = ForwardingRoute("r", "h", "/r/", RequestKind.SAFE, (), public=True)


def test_customers_and_the_age_survive_the_way_between_instances() -> None:
    """Guards against followers that know no keys, or not how old they are."""
    main = ForwardingConfiguration(
        3, 7, (ROUTE,), {}, ClientLimits(), (CUSTOMER, Customer("e", frozenset()))
    )
    batch = Batch((Item("main", 7, main),), 7, age_s=-0.25)
    body = encode_topic(Topic.CONFIGURATION, batch, is_snapshot=True)
    found, _ = decode_topic(Topic.CONFIGURATION, body).ok
    assert found == batch
    assert found.age_s == -0.25


def test_payload_of_an_earlier_release_is_read() -> None:
    """Guards against followers that lose their watcher while releases differ."""
    main = ForwardingConfiguration(3, 7, (ROUTE,), {}, ClientLimits(), (CUSTOMER,))
    batch = Batch((Item("main", 7, main),), 7, age_s=0.5)
    raw = orjson.loads(encode_topic(Topic.CONFIGURATION, batch, is_snapshot=True))
    del raw["age_s"]
    del raw["items"]["main"]["customers"]
    del raw["items"]["main"]["routes"][0]["public"]
    found, _ = decode_topic(Topic.CONFIGURATION, orjson.dumps(raw)).ok
    assert found.age_s is None
    assert found.items[0].value.customers == ()


@pytest.mark.parametrize("age", ["NaN", "Infinity", '"old"'])
def test_payload_with_an_age_that_is_no_number_is_rejected(age) -> None:
    """Guards against an age that compares as recent."""
    body = f'{{"revision": 1, "items": {{}}, "age_s": {age}}}'.encode()
    assert decode_topic(Topic.CONFIGURATION, body).is_error()
