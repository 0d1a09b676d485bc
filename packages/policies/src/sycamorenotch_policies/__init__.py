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
from sycamorenotch_policies._burn import CountRing
from sycamorenotch_policies._burn import WindowedCounts
from sycamorenotch_policies._choice import Choice
from sycamorenotch_policies._choice import NearestRegion
from sycamorenotch_policies._choice import RoundRobin
from sycamorenotch_policies._choice import TwoChoices
from sycamorenotch_policies._choice import UpstreamChoice
from sycamorenotch_policies._claim_collection import ClaimExpiry
from sycamorenotch_policies._claim_messages import ClaimCommand
from sycamorenotch_policies._claim_messages import ClaimConflict
from sycamorenotch_policies._claim_messages import ClaimFound
from sycamorenotch_policies._claim_messages import ClaimInput
from sycamorenotch_policies._claim_messages import ClaimMissing
from sycamorenotch_policies._claim_messages import ClaimStoreFailed
from sycamorenotch_policies._claim_messages import ClaimUnreadable
from sycamorenotch_policies._claim_messages import ClaimWaited
from sycamorenotch_policies._claim_messages import ClaimWriteLost
from sycamorenotch_policies._claim_messages import ClaimWritten
from sycamorenotch_policies._claim_messages import DispatchCall
from sycamorenotch_policies._claim_messages import DispatchEnded
from sycamorenotch_policies._claim_messages import FinishCall
from sycamorenotch_policies._claim_messages import ReadClaim
from sycamorenotch_policies._claim_messages import WaitForClaim
from sycamorenotch_policies._claim_messages import WriteClaim
from sycamorenotch_policies._claim_protocol import ClaimProtocol
from sycamorenotch_policies._claims import BODY_LIMIT_BYTES
from sycamorenotch_policies._claims import Claim
from sycamorenotch_policies._claims import ClaimRequest
from sycamorenotch_policies._claims import ClaimState
from sycamorenotch_policies._claims import ClockReading
from sycamorenotch_policies._claims import RecordedAnswer
from sycamorenotch_policies._claims import fingerprint
from sycamorenotch_policies._concurrency import ConcurrencyLimit
from sycamorenotch_policies._connections import ConnectionBudget
from sycamorenotch_policies._crash_evidence import CrashEvidence
from sycamorenotch_policies._crash_evidence import LostRequest
from sycamorenotch_policies._crash_evidence import ProbeResult
from sycamorenotch_policies._distribution import ConfigurationHistory
from sycamorenotch_policies._distribution import ConfigurationText
from sycamorenotch_policies._distribution import Confirmation
from sycamorenotch_policies._fleet import FleetMember
from sycamorenotch_policies._grant_holding import HeldGrants
from sycamorenotch_policies._grants import GONE_GRACE_PERIOD
from sycamorenotch_policies._grants import LAPSE_MARGIN
from sycamorenotch_policies._grants import LOAN_LIFETIME
from sycamorenotch_policies._grants import GrantDecision
from sycamorenotch_policies._grants import apportion
from sycamorenotch_policies._grants import reallocate_grants
from sycamorenotch_policies._growth import doubled_s
from sycamorenotch_policies._idle_timeout import AdaptiveIdleTimeout
from sycamorenotch_policies._lease import Lease
from sycamorenotch_policies._lease import LeaseCommand
from sycamorenotch_policies._lease import LeaseFailed
from sycamorenotch_policies._lease import LeaseFound
from sycamorenotch_policies._lease import LeaseMissing
from sycamorenotch_policies._lease import LeaseRecord
from sycamorenotch_policies._lease import LeaseResult
from sycamorenotch_policies._lease import LeaseWritten
from sycamorenotch_policies._lease import ReadLease
from sycamorenotch_policies._lease import WriteLease
from sycamorenotch_policies._lease import lease_candidates
from sycamorenotch_policies._ledger import ShiftLedger
from sycamorenotch_policies._liveness import Heartbeat
from sycamorenotch_policies._liveness import Liveness
from sycamorenotch_policies._lookup import LookupAnswer
from sycamorenotch_policies._lookup import LookupTable
from sycamorenotch_policies._measurements import Assessment
from sycamorenotch_policies._measurements import assess
from sycamorenotch_policies._membership import Membership
from sycamorenotch_policies._membership import PeerState
from sycamorenotch_policies._membership import Transition
from sycamorenotch_policies._named_instances import choose_instances
from sycamorenotch_policies._outcomes import Outcome
from sycamorenotch_policies._overdue import MIN_WAIT_S
from sycamorenotch_policies._overdue import LatencyEstimate
from sycamorenotch_policies._overdue import overdue_after_s
from sycamorenotch_policies._plan_checks import excess_grants
from sycamorenotch_policies._plan_checks import excess_links
from sycamorenotch_policies._plan_checks import excess_shifts
from sycamorenotch_policies._quarantine import STRIKE_LIFETIME
from sycamorenotch_policies._quarantine import AnsweredRequest
from sycamorenotch_policies._quarantine import Quarantine
from sycamorenotch_policies._quarantine import Signature
from sycamorenotch_policies._quarantine import Strike
from sycamorenotch_policies._quarantine import sign_request
from sycamorenotch_policies._quotas import worker_quotas
from sycamorenotch_policies._rate_limit import RateAllowance
from sycamorenotch_policies._rate_limit import RateLimitReport
from sycamorenotch_policies._rate_limit import WorkerRateLimit
from sycamorenotch_policies._rate_shares import DemandMeter
from sycamorenotch_policies._rate_shares import RateShares
from sycamorenotch_policies._rendezvous import neighbours
from sycamorenotch_policies._rendezvous import successor
from sycamorenotch_policies._rendezvous import watchers
from sycamorenotch_policies._retry import BudgetedRetry
from sycamorenotch_policies._retry import FailedAttempt
from sycamorenotch_policies._retry import GiveUp
from sycamorenotch_policies._retry import NeverRetry
from sycamorenotch_policies._retry import PlainRetry
from sycamorenotch_policies._retry import Retry
from sycamorenotch_policies._retry import RetryDecision
from sycamorenotch_policies._retry import RetryRule
from sycamorenotch_policies._retry_budget import RetryBudget
from sycamorenotch_policies._retry_budget import RetryLimits
from sycamorenotch_policies._return_schedule import ReturnSchedule
from sycamorenotch_policies._route_table import RouteTable
from sycamorenotch_policies._route_table import hash_to_unit_interval
from sycamorenotch_policies._route_table import pick_service
from sycamorenotch_policies._steering import make_plan
from sycamorenotch_policies._steering_view import Demand
from sycamorenotch_policies._steering_view import InstanceContact
from sycamorenotch_policies._steering_view import MakePlan
from sycamorenotch_policies._steering_view import PlanDecision
from sycamorenotch_policies._steering_view import SteeringView
from sycamorenotch_policies._steering_view import WorkerReport
from sycamorenotch_policies._topic_log import TopicLog
from sycamorenotch_policies._topic_sources import TopicSources
from sycamorenotch_policies._topic_sources import choose_watchers
from sycamorenotch_policies._usage_meter import UsageMeter
from sycamorenotch_policies._worker_directory import WorkerDirectory
from sycamorenotch_policies._worker_request import ChosenWorker
from sycamorenotch_policies._worker_request import NoCapacity
from sycamorenotch_policies._worker_request import WorkerChoice
from sycamorenotch_policies._worker_request import WorkerRequest
from sycamorenotch_policies._worker_state import LoadReport
from sycamorenotch_policies._worker_state import WorkerState
from sycamorenotch_policies._worker_table import ChoiceSetup
from sycamorenotch_policies._worker_table import WorkerTable
from sycamorenotch_policies._worker_view import WorkerView
from sycamorenotch_policies.work._service_work import ERROR_BOUNDS

__all__ = [
    "BODY_LIMIT_BYTES",
    "ERROR_BOUNDS",
    "GONE_GRACE_PERIOD",
    "LAPSE_MARGIN",
    "LOAN_LIFETIME",
    "MIN_WAIT_S",
    "STRIKE_LIFETIME",
    "AdaptiveIdleTimeout",
    "AdmissionDecision",
    "AdmissionDecisions",
    "AdmissionDiscipline",
    "AdmissionSetup",
    "Admitted",
    "AnsweredRequest",
    "Assessment",
    "BlockTable",
    "BudgetedRetry",
    "Choice",
    "ChoiceSetup",
    "ChosenWorker",
    "Claim",
    "ClaimCommand",
    "ClaimConflict",
    "ClaimExpiry",
    "ClaimFound",
    "ClaimInput",
    "ClaimMissing",
    "ClaimProtocol",
    "ClaimRequest",
    "ClaimState",
    "ClaimStoreFailed",
    "ClaimUnreadable",
    "ClaimWaited",
    "ClaimWriteLost",
    "ClaimWritten",
    "ClockReading",
    "ConcurrencyLimit",
    "ConfigurationHistory",
    "ConfigurationText",
    "Confirmation",
    "ConnectionBudget",
    "CountRing",
    "CrashEvidence",
    "Demand",
    "DemandMeter",
    "DispatchCall",
    "DispatchEnded",
    "FailedAttempt",
    "FinishCall",
    "FleetMember",
    "GiveUp",
    "GrantDecision",
    "Heartbeat",
    "HeldGrants",
    "InstanceContact",
    "LatencyEstimate",
    "Lease",
    "LeaseCommand",
    "LeaseFailed",
    "LeaseFound",
    "LeaseMissing",
    "LeaseRecord",
    "LeaseResult",
    "LeaseWritten",
    "Liveness",
    "LoadReport",
    "LookupAnswer",
    "LookupTable",
    "LostRequest",
    "MakePlan",
    "Membership",
    "NearestRegion",
    "NeverRetry",
    "NoCapacity",
    "Outcome",
    "PeerState",
    "PlainRetry",
    "PlanDecision",
    "ProbeResult",
    "Quarantine",
    "Queued",
    "RankedAdmission",
    "RateAllowance",
    "RateLimitReport",
    "RateShares",
    "ReadClaim",
    "ReadLease",
    "RecordedAnswer",
    "Refused",
    "Retry",
    "RetryBudget",
    "RetryDecision",
    "RetryLimits",
    "RetryRule",
    "ReturnSchedule",
    "RoundRobin",
    "RouteTable",
    "ShiftLedger",
    "Signature",
    "SteeringView",
    "Strike",
    "Ticket",
    "TopicLog",
    "TopicSources",
    "Transition",
    "TwoChoices",
    "UnlimitedAdmission",
    "UpstreamChoice",
    "UsageMeter",
    "WaitForClaim",
    "WindowedCounts",
    "WorkerChoice",
    "WorkerDirectory",
    "WorkerRateLimit",
    "WorkerReport",
    "WorkerRequest",
    "WorkerState",
    "WorkerTable",
    "WorkerView",
    "WriteClaim",
    "WriteLease",
    "apportion",
    "assess",
    "choose_instances",
    "choose_watchers",
    "doubled_s",
    "excess_grants",
    "excess_links",
    "excess_shifts",
    "fingerprint",
    "hash_to_unit_interval",
    "lease_candidates",
    "make_plan",
    "neighbours",
    "overdue_after_s",
    "pick_service",
    "reallocate_grants",
    "sign_request",
    "successor",
    "watchers",
    "worker_quotas",
]
