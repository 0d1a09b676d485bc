"""Tests of the assignment of worker slots to grants."""

from __future__ import annotations

from collections import Counter
from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st

from sycamorenotch_kernel import Grant
from sycamorenotch_kernel import InstanceId
from sycamorenotch_kernel import Worker
from sycamorenotch_policies import worker_quotas


def worker(number: int, slots: int) -> Worker:
    name = f"balance-{number}"
    return Worker(name, "balance", "vanua", "labasa", "", slots, 360, timedelta())


def grant(number: int, slots: int) -> Grant:
    name = InstanceId(f"entry-{number}")
    return Grant(name, "vanua", "balance", 0, slots, timedelta())


@given(
    st.lists(st.integers(1, 6), min_size=1, max_size=6),
    st.lists(st.integers(0, 8), min_size=1, max_size=5),
)
def test_quotas_fit_each_worker_and_use_grants_completely(
    slots: list[int], sizes: list[int]
) -> None:
    workers = [worker(number, count) for number, count in enumerate(slots)]
    grants = [grant(number, size) for number, size in enumerate(sizes)]
    total: Counter[str] = Counter()
    for item in grants:
        total += worker_quotas(grants, workers, item.instance)
    assert all(total[w.name] <= w.slots for w in workers)
    assert total.total() == min(sum(slots), sum(sizes))


def test_no_quota_is_given_when_instance_has_no_grant() -> None:
    assert not worker_quotas([grant(0, 4)], [worker(0, 4)], InstanceId("entry-9"))
