"""Core types, registries, clock and port interfaces, and error kinds."""

from __future__ import annotations

from sycamorenotch_kernel._burn import ALARM_THRESHOLDS
from sycamorenotch_kernel._burn import ALARM_WINDOWS
from sycamorenotch_kernel._burn import WINDOW_LENGTHS
from sycamorenotch_kernel._burn import BurnAlarm
from sycamorenotch_kernel._burn import BurnCounts
from sycamorenotch_kernel._burn import BurnTarget
from sycamorenotch_kernel._burn import BurnWindow
from sycamorenotch_kernel._burn import raised_alarms
from sycamorenotch_kernel._calls import Call
from sycamorenotch_kernel._calls import CallAnswer
from sycamorenotch_kernel._calls import CallResult
from sycamorenotch_kernel._calls import CallStage
from sycamorenotch_kernel._calls import Headers
from sycamorenotch_kernel._calls import Proceed
from sycamorenotch_kernel._clock import Clock
from sycamorenotch_kernel._clock import ManualClock
from sycamorenotch_kernel._decisions import DEFAULT_RECORD_LIMIT
from sycamorenotch_kernel._decisions import DecisionKind
from sycamorenotch_kernel._decisions import DecisionLog
from sycamorenotch_kernel._decisions import DecisionRecord
from sycamorenotch_kernel._decisions import Fact
from sycamorenotch_kernel._decisions import RecentDecisions
from sycamorenotch_kernel._drains import Drain
from sycamorenotch_kernel._drains import DrainKind
from sycamorenotch_kernel._drains import Drains
from sycamorenotch_kernel._environment import Bounds
from sycamorenotch_kernel._environment import Environment
from sycamorenotch_kernel._environment import IPNetwork
from sycamorenotch_kernel._environment import Link
from sycamorenotch_kernel._environment import Objective
from sycamorenotch_kernel._environment import Rank
from sycamorenotch_kernel._environment import RankPolicy
from sycamorenotch_kernel._environment import Region
from sycamorenotch_kernel._environment import Route
from sycamorenotch_kernel._environment import Service
from sycamorenotch_kernel._environment import ShiftPolicy
from sycamorenotch_kernel._environment import Worker
from sycamorenotch_kernel._errors import ANSWERS
from sycamorenotch_kernel._errors import ErrorAnswer
from sycamorenotch_kernel._errors import ErrorKind
from sycamorenotch_kernel._errors import Failure
from sycamorenotch_kernel._errors import Ran
from sycamorenotch_kernel._events import Event
from sycamorenotch_kernel._events import EventList
from sycamorenotch_kernel._events import EventSink
from sycamorenotch_kernel._events import Severity
from sycamorenotch_kernel._events import event
from sycamorenotch_kernel._events import events
from sycamorenotch_kernel._feeds import WATCH_ANSWER_S
from sycamorenotch_kernel._feeds import Batch
from sycamorenotch_kernel._feeds import FeedError
from sycamorenotch_kernel._feeds import FeedFault
from sycamorenotch_kernel._feeds import Item
from sycamorenotch_kernel._feeds import ObjectFeed
from sycamorenotch_kernel._feeds import Position
from sycamorenotch_kernel._feeds import Topic
from sycamorenotch_kernel._forwarding import CALLER_ERROR_STATUSES
from sycamorenotch_kernel._forwarding import KEY_DIGEST_BYTES
from sycamorenotch_kernel._forwarding import NOT_RUN_STATUS
from sycamorenotch_kernel._forwarding import UNKNOWN_OUTCOME_STATUS
from sycamorenotch_kernel._forwarding import ClientLimits
from sycamorenotch_kernel._forwarding import Customer
from sycamorenotch_kernel._forwarding import ForwardCall
from sycamorenotch_kernel._forwarding import ForwardingConfiguration
from sycamorenotch_kernel._forwarding import ForwardingRoute
from sycamorenotch_kernel._forwarding import LoadReport
from sycamorenotch_kernel._forwarding import PeerEntry
from sycamorenotch_kernel._forwarding import Placement
from sycamorenotch_kernel._forwarding import Refusal
from sycamorenotch_kernel._forwarding import RequestKind
from sycamorenotch_kernel._forwarding import Resources
from sycamorenotch_kernel._forwarding import ServiceLimits
from sycamorenotch_kernel._forwarding import Verdict
from sycamorenotch_kernel._forwarding import WeightedService
from sycamorenotch_kernel._forwarding import WorkerEntry
from sycamorenotch_kernel._forwarding import WorkerReply
from sycamorenotch_kernel._forwarding import digest_key
from sycamorenotch_kernel._identifiers import IDENTIFIER_BITS
from sycamorenotch_kernel._identifiers import AttemptId
from sycamorenotch_kernel._identifiers import DecisionId
from sycamorenotch_kernel._identifiers import IdentifierSource
from sycamorenotch_kernel._invariants import Invariant
from sycamorenotch_kernel._invariants import InvariantError
from sycamorenotch_kernel._invariants import InvariantMonitor
from sycamorenotch_kernel._invariants import InvariantViolated
from sycamorenotch_kernel._messages import ConfigurationPush
from sycamorenotch_kernel._messages import ConfigurationRequest
from sycamorenotch_kernel._messages import Heartbeat
from sycamorenotch_kernel._messages import ListingPush
from sycamorenotch_kernel._messages import ListingRequest
from sycamorenotch_kernel._messages import MemberState
from sycamorenotch_kernel._messages import Message
from sycamorenotch_kernel._messages import Piece
from sycamorenotch_kernel._messages import Rumour
from sycamorenotch_kernel._messages import message
from sycamorenotch_kernel._ordering import sort_by_dependencies
from sycamorenotch_kernel._plan import Grant
from sycamorenotch_kernel._plan import OutstandingGrant
from sycamorenotch_kernel._plan import Plan
from sycamorenotch_kernel._plan import PlanRoute
from sycamorenotch_kernel._plan import RegionShare
from sycamorenotch_kernel._plan import Shift
from sycamorenotch_kernel._plan import ShiftCause
from sycamorenotch_kernel._plugins import PLUGIN_GROUP
from sycamorenotch_kernel._plugins import import_private_modules
from sycamorenotch_kernel._plugins import load_plugins
from sycamorenotch_kernel._ports import Attempt
from sycamorenotch_kernel._ports import Cancellable
from sycamorenotch_kernel._ports import Directory
from sycamorenotch_kernel._ports import InstanceId
from sycamorenotch_kernel._ports import InstanceState
from sycamorenotch_kernel._ports import ListedInstance
from sycamorenotch_kernel._ports import Scheduler
from sycamorenotch_kernel._ports import Store
from sycamorenotch_kernel._ports import StoredObject
from sycamorenotch_kernel._ports import StoreError
from sycamorenotch_kernel._ports import StoreFault
from sycamorenotch_kernel._ports import Version
from sycamorenotch_kernel._ports import WatchResult
from sycamorenotch_kernel._registries import REGISTRIES
from sycamorenotch_kernel._registries import admission_disciplines
from sycamorenotch_kernel._registries import call_stages
from sycamorenotch_kernel._registries import claim_steps
from sycamorenotch_kernel._registries import commands
from sycamorenotch_kernel._registries import components
from sycamorenotch_kernel._registries import dialects
from sycamorenotch_kernel._registries import document_sections
from sycamorenotch_kernel._registries import error_answers
from sycamorenotch_kernel._registries import front_ends
from sycamorenotch_kernel._registries import gateway_components
from sycamorenotch_kernel._registries import health_signals
from sycamorenotch_kernel._registries import message_types
from sycamorenotch_kernel._registries import object_feeds
from sycamorenotch_kernel._registries import operator_endpoints
from sycamorenotch_kernel._registries import reports
from sycamorenotch_kernel._registries import retry_rules
from sycamorenotch_kernel._registries import steering_policies
from sycamorenotch_kernel._registries import store_adapters
from sycamorenotch_kernel._registries import upstream_choices
from sycamorenotch_kernel._registries import worker_choices
from sycamorenotch_kernel._registry import DuplicateNameError
from sycamorenotch_kernel._registry import Registry
from sycamorenotch_kernel._registry import RegistryEntry
from sycamorenotch_kernel._registry import RegistryError
from sycamorenotch_kernel._registry import UnknownNameError

__all__ = [
    "ALARM_THRESHOLDS",
    "ALARM_WINDOWS",
    "ANSWERS",
    "CALLER_ERROR_STATUSES",
    "DEFAULT_RECORD_LIMIT",
    "IDENTIFIER_BITS",
    "KEY_DIGEST_BYTES",
    "NOT_RUN_STATUS",
    "PLUGIN_GROUP",
    "REGISTRIES",
    "UNKNOWN_OUTCOME_STATUS",
    "WATCH_ANSWER_S",
    "WINDOW_LENGTHS",
    "Attempt",
    "AttemptId",
    "Batch",
    "Bounds",
    "BurnAlarm",
    "BurnCounts",
    "BurnTarget",
    "BurnWindow",
    "Call",
    "CallAnswer",
    "CallResult",
    "CallStage",
    "Cancellable",
    "ClientLimits",
    "Clock",
    "ConfigurationPush",
    "ConfigurationRequest",
    "Customer",
    "DecisionId",
    "DecisionKind",
    "DecisionLog",
    "DecisionRecord",
    "Directory",
    "Drain",
    "DrainKind",
    "Drains",
    "DuplicateNameError",
    "Environment",
    "ErrorAnswer",
    "ErrorKind",
    "Event",
    "EventList",
    "EventSink",
    "Fact",
    "Failure",
    "FeedError",
    "FeedFault",
    "ForwardCall",
    "ForwardingConfiguration",
    "ForwardingRoute",
    "Grant",
    "Headers",
    "Heartbeat",
    "IPNetwork",
    "IdentifierSource",
    "InstanceId",
    "InstanceState",
    "Invariant",
    "InvariantError",
    "InvariantMonitor",
    "InvariantViolated",
    "Item",
    "Link",
    "ListedInstance",
    "ListingPush",
    "ListingRequest",
    "LoadReport",
    "ManualClock",
    "MemberState",
    "Message",
    "ObjectFeed",
    "Objective",
    "OutstandingGrant",
    "PeerEntry",
    "Piece",
    "Placement",
    "Plan",
    "PlanRoute",
    "Position",
    "Proceed",
    "Ran",
    "Rank",
    "RankPolicy",
    "RecentDecisions",
    "Refusal",
    "Region",
    "RegionShare",
    "Registry",
    "RegistryEntry",
    "RegistryError",
    "RequestKind",
    "Resources",
    "Route",
    "Rumour",
    "Scheduler",
    "Service",
    "ServiceLimits",
    "Severity",
    "Shift",
    "ShiftCause",
    "ShiftPolicy",
    "Store",
    "StoreError",
    "StoreFault",
    "StoredObject",
    "Topic",
    "UnknownNameError",
    "Verdict",
    "Version",
    "WatchResult",
    "WeightedService",
    "Worker",
    "WorkerEntry",
    "WorkerReply",
    "admission_disciplines",
    "call_stages",
    "claim_steps",
    "commands",
    "components",
    "dialects",
    "digest_key",
    "document_sections",
    "error_answers",
    "event",
    "events",
    "front_ends",
    "gateway_components",
    "health_signals",
    "import_private_modules",
    "load_plugins",
    "message",
    "message_types",
    "object_feeds",
    "operator_endpoints",
    "raised_alarms",
    "reports",
    "retry_rules",
    "sort_by_dependencies",
    "steering_policies",
    "store_adapters",
    "upstream_choices",
    "worker_choices",
]
