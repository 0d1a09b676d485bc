"""Tests of topics as instances pass them on."""

from __future__ import annotations

import pytest

from sycamorenotch_gateway._topic_payloads import decode_topic
from sycamorenotch_gateway._topic_payloads import encode_topic
from sycamorenotch_kernel import Batch
from sycamorenotch_kernel import Item
from sycamorenotch_kernel import Topic
from sycamorenotch_kernel import WorkerEntry

WORKER = WorkerEntry("w", "s", "10.0.0.1:80", "a", 4, False)


@pytest.mark.parametrize("is_snapshot", [True, False])
def test_positions_survive_the_way_between_instances(is_snapshot) -> None:
    items = (Item("w", 7, WORKER), Item("v", 12, removed=True))
    batch = Batch(items, 12, era=3)
    body = encode_topic(Topic.WORKERS, batch, is_snapshot=is_snapshot)
    assert decode_topic(Topic.WORKERS, body).ok == (batch, is_snapshot)
