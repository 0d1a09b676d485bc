"""Tests of the codec of customers' demand in heartbeats."""

from __future__ import annotations

import math
import struct

import pytest

from sycamorenotch_gateway._quota_reports import DIGEST_BYTES
from sycamorenotch_gateway._quota_reports import MAX_DEMAND
from sycamorenotch_gateway._quota_reports import QuotaReportCodec
from sycamorenotch_policies.customer_quotas import DemandReport

REPORTS = {"b": DemandReport(0.03, 0.0007), "c": DemandReport(2400.0, 1.0)}


@pytest.fixture
def codec() -> QuotaReportCodec:
    return QuotaReportCodec(["c", "a", "b"])


def test_reports_are_decoded_within_a_thousandth(codec) -> None:
    found = QuotaReportCodec(["a", "b", "c"]).decode(codec.encode(REPORTS))
    assert found is not None
    assert found.keys() == REPORTS.keys()
    for name, report in REPORTS.items():
        assert found[name].fast == pytest.approx(report.fast, rel=1e-3)
        assert found[name].part == pytest.approx(report.part, rel=1e-3)


# While a configuration spreads, indices of one list of names mean others in another.
def test_reports_that_refer_to_other_names_are_not_decoded(codec) -> None:
    assert QuotaReportCodec(["a", "b"]).decode(codec.encode(REPORTS)) is None


def test_extreme_demand_is_limited(codec) -> None:
    found = codec.decode(codec.encode({"a": DemandReport(1e9, 1.0)}))
    assert found == {"a": DemandReport(MAX_DEMAND, 1.0)}


# One such datagram would make the sums of demand useless for good.
@pytest.mark.parametrize(
    "record",
    [
        b"\x00",
        struct.pack("<Hee", 3, 1.0, 0.1),
        struct.pack("<Hee", 0, math.nan, 0.1),
        struct.pack("<Hee", 0, math.inf, 0.1),
        struct.pack("<Hee", 0, -1.0, 0.1),
        struct.pack("<Hee", 0, 1.0, 1.5),
    ],
)
def test_malformed_report_is_an_error(codec, record) -> None:
    with pytest.raises(ValueError):
        codec.decode(codec.encode({})[:DIGEST_BYTES] + record)
