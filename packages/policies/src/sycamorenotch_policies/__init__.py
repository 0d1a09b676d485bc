"""Decisions, kept apart from input, output and the encoding of messages."""

from __future__ import annotations

from sycamorenotch_policies._blocks import BlockTable
from sycamorenotch_policies._fleet import FleetMember
from sycamorenotch_policies._fleet import MemberState
from sycamorenotch_policies._lookup import LookupAnswer
from sycamorenotch_policies._lookup import LookupTable
from sycamorenotch_policies._steering import make_plan
from sycamorenotch_policies._steering_view import Demand
from sycamorenotch_policies._steering_view import InstanceContact
from sycamorenotch_policies._steering_view import MakePlan
from sycamorenotch_policies._steering_view import PlanDecision
from sycamorenotch_policies._steering_view import SteeringView
from sycamorenotch_policies._steering_view import WorkerReport

__all__ = [
    "BlockTable",
    "Demand",
    "FleetMember",
    "InstanceContact",
    "LookupAnswer",
    "LookupTable",
    "MakePlan",
    "MemberState",
    "PlanDecision",
    "SteeringView",
    "WorkerReport",
    "make_plan",
]
