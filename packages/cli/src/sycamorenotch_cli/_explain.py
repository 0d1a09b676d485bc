"""Command that explains a decision, or the outcome of a request."""

from __future__ import annotations

from dataclasses import asdict

from sycamorenotch_cli._commands import ExitCode
from sycamorenotch_cli._commands import Invocation
from sycamorenotch_cli._commands import Outcome
from sycamorenotch_cli._commands import command
from sycamorenotch_cli._commands import error_outcome
from sycamorenotch_cli._fleet import query_fleet
from sycamorenotch_cli._history import format_time
from sycamorenotch_cli._log_parser import read_logs
from sycamorenotch_cli._messages import DecisionModel
from sycamorenotch_cli._request_trace import describe_cause
from sycamorenotch_cli._request_trace import trace_request


@command(
    "explain",
    "ID",
    "Explain a decision: its outcome, reasons, inputs and generation.",
    "sycamorenotch explain d-0123456789abcdef0123",
)
async def explain(invocation: Invocation) -> Outcome:
    """Query all instances for a decision's record, or read gateway logs."""
    (decision,) = invocation.args
    if invocation.options.logs:
        return _explain_from_logs(decision, invocation.options.logs)
    path = f"/v1/decisions/{decision}"
    found = await query_fleet(invocation.connect(), path, DecisionModel)
    if found.is_error():
        return error_outcome(found.error)
    if not found.ok.responses:
        detail = f"no instance keeps a record of {decision}; {found.ok.summary}"
        code = ExitCode.PARTIAL if found.ok.missing else ExitCode.NOT_FOUND
        return Outcome(code, detail, {"error": detail, "missing": found.ok.missing})
    instance, record = next(iter(found.ok.responses.items()))
    data = {"instance": instance, **record.model_dump(mode="json")}
    return Outcome(ExitCode.OK, _format_record(instance, record), data)


def _explain_from_logs(request: str, paths: tuple[str, ...]) -> Outcome:
    try:
        trace = trace_request(read_logs(paths), request)
    except OSError as exc:
        detail = f"a log file cannot be read: {exc}"
        return Outcome(ExitCode.USAGE, detail, {"error": detail})
    cause = describe_cause(trace)
    event_lines = (*trace.attempts, *([] if trace.outcome is None else [trace.outcome]))
    lines = [f"Request {request}", f"Cause: {cause}", "Attempts and outcome:"]
    lines += [f"  {line}" for line in event_lines]
    if trace.context:
        lines += [
            "Preceding events of its instance and workers:",
            *(f"  {line}" for line in trace.context),
        ]
    data = {
        "request": request,
        "cause": cause,
        "decisions": [asdict(line) for line in event_lines],
        "context": [asdict(line) for line in trace.context],
    }
    code = ExitCode.OK if event_lines else ExitCode.NOT_FOUND
    return Outcome(code, "\n".join(lines), data)


def _format_record(instance: str, record: DecisionModel) -> str:
    lines = [
        f"Decision {record.id} was about: {record.kind}.",
        f"It was made on instance {instance} at {format_time(record.at)},",
        f"under configuration generation {record.generation}.",
        f"Outcome: {record.outcome}.",
    ]
    if record.reasons:
        lines += ["Why:", *(f"  {reason}" for reason in record.reasons)]
    if record.facts:
        inputs = (f"  {fact.name} = {fact.value}" for fact in record.facts)
        lines += ["From these inputs:", *inputs]
    if record.causes:
        lines += ["It follows from:", *(f"  {cause}" for cause in record.causes)]
    return "\n".join(lines)
