"""Command that lists the generations of an environment."""

from __future__ import annotations

from datetime import datetime

from sycamorenotch_cli._commands import ExitCode
from sycamorenotch_cli._commands import Invocation
from sycamorenotch_cli._commands import Outcome
from sycamorenotch_cli._commands import command
from sycamorenotch_cli._commands import error_outcome
from sycamorenotch_cli._messages import HistoryModel
from sycamorenotch_cli._tables import table


@command(
    "history",
    "ENVIRONMENT",
    "List the generations of an environment with their authors and times.",
    "sycamorenotch history production",
)
async def history(invocation: Invocation) -> Outcome:
    """List the stored generations, the newest first."""
    (name,) = invocation.args
    path = f"/v1/documents/{name}/history"
    found = await invocation.connect().get(path, HistoryModel)
    if found.is_error():
        return error_outcome(found.error)
    rows = [
        (
            item.generation,
            format_time(item.at),
            item.author or "unknown",
            item.change or "document",
            item.source or "-",
            item.digest[:12],
        )
        for item in found.ok.revisions
    ]
    head = ("generation", "time", "author", "change", "copied from", "digest")
    return Outcome(ExitCode.OK, table(head, rows), found.ok.model_dump(mode="json"))


def format_time(at: datetime | None) -> str:
    """Return a time for display, in seconds resolution."""
    return "-" if at is None else at.isoformat(sep=" ", timespec="seconds")
