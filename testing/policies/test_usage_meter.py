"""Tests of the averaged resource utilisation of an instance."""

from __future__ import annotations

import pytest

from sycamorenotch_kernel import Resources
from sycamorenotch_policies import UsageMeter


def test_average_converges_to_constant_utilisation() -> None:
    meter = UsageMeter(0.0, 0.0)
    found = Resources(0.0, 0.0)
    for step in range(1, 41):
        meter.record_transfer(125_000)
        found = meter.read(step * 0.5, step * 0.1)
    assert found.processors == pytest.approx(0.2, rel=0.01)
    assert found.link_mbps == pytest.approx(2.0, rel=0.01)


def test_average_falls_when_instance_is_idle() -> None:
    meter = UsageMeter(0.0, 0.0)
    busy = meter.read(1.0, 1.0)
    idle = meter.read(10.0, 1.0)
    assert idle.processors < busy.processors / 10


def test_average_is_unchanged_when_read_again_at_same_time() -> None:
    meter = UsageMeter(0.0, 0.0)
    meter.record_transfer(1_000)
    first = meter.read(1.0, 0.5)
    assert meter.read(1.0, 0.5) == first
