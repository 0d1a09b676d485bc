"""Command that lists the registries and their entries."""

from __future__ import annotations

from sycamorenotch_cli._commands import ExitCode
from sycamorenotch_cli._commands import Invocation
from sycamorenotch_cli._commands import Outcome
from sycamorenotch_cli._commands import command
from sycamorenotch_kernel import REGISTRIES


@command(
    "plugins",
    "",
    "List the registries and the module of each registered name.",
    "sycamorenotch plugins",
)
async def plugins(invocation: Invocation) -> Outcome:
    """List the registries."""
    data = {
        registry.kind: {entry.name: entry.module for entry in registry}
        for registry in REGISTRIES
    }
    lines = [
        line
        for kind, entries in data.items()
        for line in (
            kind,
            *(f"  {name:24} {module}" for name, module in entries.items()),
        )
    ]
    return Outcome(ExitCode.OK, "\n".join(lines), data)
