"""Determines the cause of a request's outcome from gateway logs."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import final

from sycamorenotch_cli._log_parser import LogLine
from sycamorenotch_kernel import Registry

# What the instance or the workers logged within this time before the request's end
# may explain its outcome; pauses and outages of a few seconds fall within it.
CONTEXT_WINDOW_S = 10.0
FINAL_EVENTS = ("request.answered", "request.refused", "request.abandoned")
WORKER_EVENTS = ("worker.failed", "worker.removed", "worker.changed")
INSTANCE_EVENTS = (
    *("store.lost", "store.regained", "configuration.applied", "gateway.paused"),
    *("evacuation.changed", "gateway.started", "gateway.stopping"),
)


@final
@dataclass(frozen=True, slots=True)
class RequestTrace:
    """Log lines that concern one request.

    :param outcome: line of the request's final event, if there is one.
    :param attempts: lines of failed attempts.
    :param context: lines of its instance and its workers that precede its end by at
        most ``CONTEXT_WINDOW_S``.
    """

    outcome: LogLine | None
    attempts: tuple[LogLine, ...]
    context: tuple[LogLine, ...]

    def field(self, name: str) -> str:
        """Return a field of the outcome as text, or an empty string."""
        return "" if self.outcome is None else str(self.outcome.fields.get(name, ""))


Cause = Callable[[RequestTrace], str]
causes: Registry[Cause] = Registry("cause of an outcome")


def trace_request(lines: tuple[LogLine, ...], request: str) -> RequestTrace:
    """Collect the log lines that concern a request."""
    request_lines = tuple(line for line in lines if line.request == request)
    outcome = next(
        (line for line in reversed(request_lines) if line.name in FINAL_EVENTS), None
    )
    attempts = tuple(
        line for line in request_lines if line.name == "request.attempt-failed"
    )
    if not request_lines:
        return RequestTrace(None, (), ())
    end_s, instance = request_lines[-1].at, request_lines[-1].instance
    workers = {line.worker for line in request_lines if line.worker}
    recent = (line for line in lines if end_s - CONTEXT_WINDOW_S <= line.at <= end_s)
    context = tuple(
        line
        for line in recent
        if line.instance == instance
        and (
            line.name in INSTANCE_EVENTS
            or (line.name in WORKER_EVENTS and line.worker in workers)
        )
    )
    return RequestTrace(outcome, attempts, context)


def describe_cause(trace: RequestTrace) -> str:
    """Describe in a sentence why the request ended as it did."""
    if trace.outcome is None:
        if trace.attempts:
            return "Its instance ended before the request was complete."
        return "No line of the logs mentions the request."
    if trace.outcome.name != "request.refused":
        return causes.get(trace.outcome.name)(trace)
    kind = trace.field("kind")
    return causes.get(kind)(trace) if kind in causes else _default_cause(trace)


def _default_cause(trace: RequestTrace) -> str:
    return (
        f"The system refused the request as {trace.field('kind')}: "
        f"{trace.field('detail')}."
    )


@causes.register("request.answered")
def _answered(trace: RequestTrace) -> str:
    worker, status = trace.field("worker"), trace.field("status")
    return (
        f"Worker {worker} of {trace.field('service')} answered with status {status} "
        f"after {trace.field('seconds')} s in {trace.field('attempts')} attempts."
    )


@causes.register("request.abandoned")
def _abandoned(trace: RequestTrace) -> str:
    seconds = trace.field("seconds")
    return f"The caller closed its connection after {seconds} s, before a response."


@causes.register("overloaded")
def _overloaded(trace: RequestTrace) -> str:
    return (
        f"Service {trace.field('service')} had no free capacity: "
        f"{trace.field('detail')}; the caller was asked to retry after "
        f"{trace.field('retry_after_s')} s."
    )


@causes.register("upstream-shed")
def _shed(trace: RequestTrace) -> str:
    return (
        "Each worker that was tried refused to run the request"
        f"{_format_attempts(trace)}."
    )


@causes.register("upstream-failed")
def _failed(trace: RequestTrace) -> str:
    return f"Its worker was lost and may have run the request{_format_attempts(trace)}."


@causes.register("deadline-passed")
def _deadline_passed(trace: RequestTrace) -> str:
    seconds = trace.field("seconds")
    return f"No worker answered within {seconds} s{_format_attempts(trace)}."


@causes.register("not-ready")
def _not_ready(trace: RequestTrace) -> str:
    return f"The instance was not ready: {trace.field('detail')}."


@causes.register("unauthorized")
def _unauthorized(trace: RequestTrace) -> str:
    version = trace.field("configuration")
    return f"Under version {version} of the configuration, {trace.field('detail')}."


@causes.register("no-upstream")
def _no_upstream(trace: RequestTrace) -> str:
    return f"No worker may run the request: {trace.field('detail')}."


@causes.register("unknown-route")
def _unknown_route(trace: RequestTrace) -> str:
    version = trace.field("configuration")
    return f"Version {version} of the configuration has {trace.field('detail')}."


@causes.register("quarantined")
def _quarantined(trace: RequestTrace) -> str:
    return "The same request had crashed several workers and is quarantined."


def _format_attempts(trace: RequestTrace) -> str:
    attempts_text = "; ".join(
        f"{line.worker}: {line.fields.get('outcome')}, {line.fields.get('detail')}, "
        f"load {line.fields.get('load')} per slot, worker entry "
        f"{line.fields.get('entry_age_s')} s old"
        for line in trace.attempts
    )
    return f" ({attempts_text})" if attempts_text else ""
