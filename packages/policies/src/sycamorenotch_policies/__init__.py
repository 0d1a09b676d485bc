"""Decisions, kept apart from input, output and the encoding of messages."""

from __future__ import annotations

from sycamorenotch_policies._admission import AdmissionDecision
from sycamorenotch_policies._admission import AdmissionDecisions
from sycamorenotch_policies._admission import AdmissionDiscipline
from sycamorenotch_policies._admission import AdmissionSetup
from sycamorenotch_policies._admission import Admitted
from sycamorenotch_policies._admission import Queued
from sycamorenotch_policies._admission import RankedAdmission
from sycamorenotch_policies._admission import Refused
from sycamorenotch_policies._admission import Ticket
from sycamorenotch_policies._admission import UnlimitedAdmission
from sycamorenotch_policies._blocks import BlockTable
from sycamorenotch_policies._choice import Choice
from sycamorenotch_policies._choice import NearestRegion
from sycamorenotch_policies._choice import RoundRobin
from sycamorenotch_policies._choice import TwoChoices
from sycamorenotch_policies._choice import UpstreamChoice
from sycamorenotch_policies._concurrency import ConcurrencyLimit
from sycamorenotch_policies._fleet import FleetMember
from sycamorenotch_policies._lookup import LookupAnswer
from sycamorenotch_policies._lookup import LookupTable
from sycamorenotch_policies._outcomes import Outcome
from sycamorenotch_policies._quarantine import Quarantine
from sycamorenotch_policies._quarantine import Signature
from sycamorenotch_policies._quarantine import Strike
from sycamorenotch_policies._quarantine import sign_request
from sycamorenotch_policies._retry import BudgetedRetry
from sycamorenotch_policies._retry import FailedAttempt
from sycamorenotch_policies._retry import GiveUp
from sycamorenotch_policies._retry import NeverRetry
from sycamorenotch_policies._retry import PlainRetry
from sycamorenotch_policies._retry import Retry
from sycamorenotch_policies._retry import RetryDecision
from sycamorenotch_policies._retry import RetryRule
from sycamorenotch_policies._steering import make_plan
from sycamorenotch_policies._steering_view import Demand
from sycamorenotch_policies._steering_view import InstanceContact
from sycamorenotch_policies._steering_view import MakePlan
from sycamorenotch_policies._steering_view import PlanDecision
from sycamorenotch_policies._steering_view import SteeringView
from sycamorenotch_policies._steering_view import WorkerReport
from sycamorenotch_policies._worker_state import LoadReport
from sycamorenotch_policies._worker_table import ChoiceSetup
from sycamorenotch_policies._worker_table import WorkerTable

__all__ = [
    "AdmissionDecision",
    "AdmissionDecisions",
    "AdmissionDiscipline",
    "AdmissionSetup",
    "Admitted",
    "BlockTable",
    "BudgetedRetry",
    "Choice",
    "ChoiceSetup",
    "ConcurrencyLimit",
    "Demand",
    "FailedAttempt",
    "FleetMember",
    "GiveUp",
    "InstanceContact",
    "LoadReport",
    "LookupAnswer",
    "LookupTable",
    "MakePlan",
    "NearestRegion",
    "NeverRetry",
    "Outcome",
    "PlainRetry",
    "PlanDecision",
    "Quarantine",
    "Queued",
    "RankedAdmission",
    "Refused",
    "Retry",
    "RetryDecision",
    "RetryRule",
    "RoundRobin",
    "Signature",
    "SteeringView",
    "Strike",
    "Ticket",
    "TwoChoices",
    "UnlimitedAdmission",
    "UpstreamChoice",
    "WorkerReport",
    "WorkerTable",
    "make_plan",
    "sign_request",
]
