"""Gateway that forwards callers' requests to workers unchanged."""

from __future__ import annotations

from sycamorenotch_gateway._dialect import Dialect
from sycamorenotch_gateway._dialect import LookupQuery
from sycamorenotch_gateway._gateway import Gateway
from sycamorenotch_gateway._node import GatewayNode
from sycamorenotch_gateway._settings import DeploymentSection
from sycamorenotch_gateway._settings import GatewaySettings
from sycamorenotch_gateway._settings import deployment_section
from sycamorenotch_gateway._settings import parse_gateway_settings

__all__ = [
    "DeploymentSection",
    "Dialect",
    "Gateway",
    "GatewayNode",
    "GatewaySettings",
    "LookupQuery",
    "deployment_section",
    "parse_gateway_settings",
]
