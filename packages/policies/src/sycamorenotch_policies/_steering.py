"""Selection of the steering policy that the environment document names."""

from __future__ import annotations

from datetime import datetime
from typing import cast

from sycamorenotch_kernel import Plan
from sycamorenotch_kernel import steering_policies
from sycamorenotch_policies._steering_view import MakePlan
from sycamorenotch_policies._steering_view import PlanDecision
from sycamorenotch_policies._steering_view import SteeringView

DEFAULT_POLICY = "headroom"


def make_plan(view: SteeringView, previous: Plan | None, now: datetime) -> PlanDecision:
    """Make the next plan with the policy that the environment document names.

    :param previous: the plan in force; another lease holder may have made it.
    :param now: wall clock time of the lease holder.
    :return: the plan and whether it has to be written.
    """
    name = view.environment.policies.get("steering", DEFAULT_POLICY)
    policy = cast(MakePlan, steering_policies.get(name))
    return policy(view, previous, now)
