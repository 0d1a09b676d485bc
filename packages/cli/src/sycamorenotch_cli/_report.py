"""Command that prints a registered report."""

from __future__ import annotations

from sycamorenotch_cli._commands import ExitCode
from sycamorenotch_cli._commands import Invocation
from sycamorenotch_cli._commands import Outcome
from sycamorenotch_cli._commands import command
from sycamorenotch_kernel import UnknownNameError
from sycamorenotch_kernel import reports


@command(
    "report",
    "NAME",
    "Print a report over all instances; --output also writes it as HTML.",
    "sycamorenotch report burn --output burn.html",
)
async def report(invocation: Invocation) -> Outcome:
    """Run one report."""
    (name,) = invocation.args
    try:
        function = reports.get(name)
    except UnknownNameError as exc:
        return Outcome(ExitCode.USAGE, str(exc), {"error": str(exc)})
    outcome: Outcome = await function(invocation)
    return outcome
