"""The registries, one for each kind of pluggable behaviour."""

from __future__ import annotations

from typing import Any

from sycamorenotch_kernel._events import events
from sycamorenotch_kernel._registry import Registry

steering_policies: Registry[Any] = Registry("steering policy")
upstream_choices: Registry[Any] = Registry("upstream choice")
admission_disciplines: Registry[Any] = Registry("admission discipline")
retry_rules: Registry[Any] = Registry("retry rule")
claim_steps: Registry[Any] = Registry("claim protocol step")
health_signals: Registry[Any] = Registry("health signal")
store_adapters: Registry[Any] = Registry("store adapter")
front_ends: Registry[Any] = Registry("front end")
call_stages: Registry[Any] = Registry("call stage")
components: Registry[Any] = Registry("daemon component")
message_types: Registry[Any] = Registry("message type")
document_sections: Registry[Any] = Registry("document section")
commands: Registry[Any] = Registry("command")
operator_endpoints: Registry[Any] = Registry("operator endpoint")
reports: Registry[Any] = Registry("report")
error_answers: Registry[Any] = Registry("error answer")
object_feeds: Registry[Any] = Registry("object feed")
dialects: Registry[Any] = Registry("dialect")
gateway_components: Registry[Any] = Registry("gateway component")
worker_choices: Registry[Any] = Registry("worker choice")

REGISTRIES: tuple[Registry[Any], ...] = (
    steering_policies,
    upstream_choices,
    admission_disciplines,
    retry_rules,
    claim_steps,
    health_signals,
    store_adapters,
    front_ends,
    call_stages,
    components,
    message_types,
    document_sections,
    commands,
    operator_endpoints,
    reports,
    events,
    error_answers,
    object_feeds,
    dialects,
    gateway_components,
    worker_choices,
)
