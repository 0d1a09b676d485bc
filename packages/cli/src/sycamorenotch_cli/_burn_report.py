"""Service-level burn report."""

from __future__ import annotations

from pathlib import Path

from sycamorenotch_cli._burn_merge import MergedObjective
from sycamorenotch_cli._burn_merge import merge
from sycamorenotch_cli._commands import ExitCode
from sycamorenotch_cli._commands import Invocation
from sycamorenotch_cli._commands import Outcome
from sycamorenotch_cli._commands import error_outcome
from sycamorenotch_cli._fleet import query_fleet
from sycamorenotch_cli._messages import BurnModel
from sycamorenotch_cli._tables import table
from sycamorenotch_kernel import BurnWindow
from sycamorenotch_kernel import reports


@reports.register("burn")
async def report_burn(invocation: Invocation) -> Outcome:
    """Report the burn rates of all objectives over all instances."""
    found = await query_fleet(invocation.connect(), "/v1/burn", BurnModel)
    if found.is_error():
        return error_outcome(found.error)
    objectives, summary = merge(found.ok.responses.values()), found.ok.summary
    code = ExitCode.PARTIAL if found.ok.missing else ExitCode.OK
    data = {
        "missing": found.ok.missing,
        "objectives": [_as_data(item) for item in objectives],
    }
    text = _as_text(objectives, summary)
    output = invocation.options.output
    if not output:
        return Outcome(code, text, data)
    return _write_page(output, objectives, Outcome(code, text, data), summary)


def _write_page(
    path: str, objectives: tuple[MergedObjective, ...], outcome: Outcome, summary: str
) -> Outcome:
    # Imported here because the plotting library takes longer to load than any
    # other command takes to run.
    from sycamorenotch_cli._burn_page import render_page

    try:
        Path(path).write_text(render_page(objectives, summary))
    except OSError as exc:
        detail = f"{path} cannot be written: {exc}"
        return Outcome(ExitCode.USAGE, detail, {"error": detail})
    return Outcome(outcome.code, f"{outcome.text}\n\nwritten to {path}", outcome.data)


def _as_text(objectives: tuple[MergedObjective, ...], summary: str) -> str:
    windows = [window.value for window in BurnWindow]
    head = ("objective", "requests", *windows, "budget left", "p50", "p99", "alarms")
    blocks = [
        "Burn rate by window; a rate of 1 spends the error budget in exactly 3 days.",
        "",
        table(head, map(_row, objectives)),
        "",
        *_burn_cause_lines(objectives),
        summary,
    ]
    return "\n".join(blocks)


def _row(item: MergedObjective) -> tuple[object, ...]:
    return (
        item.name,
        item.counts[BurnWindow.THREE_DAYS].total,
        *(f"{rate:.2f}" for rate in item.rates.values()),
        f"{item.budget_left:.0%}" if item.budget_left > float("-inf") else "none",
        f"{item.percentiles[50.0]:.0f} ms",
        f"{item.percentiles[99.0]:.0f} ms",
        ", ".join(alarm.value for alarm in item.alarms) or "-",
    )


def _burn_cause_lines(objectives: tuple[MergedObjective, ...]) -> list[str]:
    rows = [
        (item.name, burn_cause.kind, burn_cause.count, " ".join(burn_cause.decisions))
        for item in objectives
        for burn_cause in item.burn_causes
    ]
    if not rows:
        return ["No request has spent error budget.", ""]
    head = ("objective", "kind", "requests", "newest decisions")
    return [table(head, rows), ""]


def _as_data(item: MergedObjective) -> dict[str, object]:
    return {
        "service": item.service,
        "rank": item.rank,
        "availability": item.target.availability,
        "latency_s": item.latency_s,
        "latency_share": item.target.latency_share,
        "windows": {
            window.value: {
                "total": counts.total,
                "failed": counts.failed,
                "slow": counts.slow,
                "burn_rate": _finite(item.rates[window]),
            }
            for window, counts in item.counts.items()
        },
        "budget_left": _finite(item.budget_left),
        "latency_ms": {f"p{p:g}": value for p, value in item.percentiles.items()},
        "alarms": [alarm.value for alarm in item.alarms],
        "spent": [
            {"kind": s.kind, "count": s.count, "decisions": s.decisions}
            for s in item.burn_causes
        ],
    }


def _finite(value: float) -> float | None:
    """Return a rounded number for JSON.

    :return: None for an infinite value, which JSON cannot express; a rate is infinite
        if the error budget is zero.
    """
    return None if abs(value) == float("inf") else round(value, 6)
