"""Decides whether a customer's request is within its quota over all instances.

Gateways state the recent demand of customers in their heartbeats. Each admits freely
while the known demand is below the quota, and otherwise its share by demand. The
arithmetic is in ``docs/design/quotas.md``.
"""

from __future__ import annotations

from sycamorenotch_policies.customer_quotas._customer import AdmissionMode
from sycamorenotch_policies.customer_quotas._customer import QuotaRefusal
from sycamorenotch_policies.customer_quotas._demand import DemandReport
from sycamorenotch_policies.customer_quotas._limits import QuotaBounds
from sycamorenotch_policies.customer_quotas._quotas import CustomerQuotas

__all__ = [
    "AdmissionMode",
    "CustomerQuotas",
    "DemandReport",
    "QuotaBounds",
    "QuotaRefusal",
]
