"""Command that drains an instance, an upstream or a data centre."""

from __future__ import annotations

from sycamorenotch_cli._client import ChangeMetadata
from sycamorenotch_cli._commands import ExitCode
from sycamorenotch_cli._commands import Invocation
from sycamorenotch_cli._commands import Outcome
from sycamorenotch_cli._commands import command
from sycamorenotch_cli._commands import error_outcome
from sycamorenotch_cli._messages import DocumentModel
from sycamorenotch_cli._waiting import wait_in_force
from sycamorenotch_kernel import DrainKind


@command(
    "drain",
    "KIND NAME",
    "Send no new work to an instance, upstream or data-centre; --undo ends it.",
    "sycamorenotch drain upstream balance-nadi-1 --wait",
)
async def drain(invocation: Invocation) -> Outcome:
    """Start or end a drain."""
    kind, name = invocation.args
    accepted = [item.value for item in DrainKind]
    if kind not in accepted:
        detail = f"unknown kind {kind!r}; known: {', '.join(accepted)}"
        return Outcome(ExitCode.USAGE, detail, {"error": detail})
    options = invocation.options
    path = f"/v1/drains/{options.environment}/{kind}/{name}"
    method = "DELETE" if options.undo else "PUT"
    change = ChangeMetadata(options.author)
    written = await invocation.connect().send(method, path, DocumentModel, change)
    if written.is_error():
        return error_outcome(written.error)
    generation = written.ok.generation
    verb = "serves again" if options.undo else "is drained"
    head = f"{kind} {name} {verb}, from generation {generation} on"
    drains = [item.model_dump(mode="json") for item in written.ok.drains]
    data = {"generation": generation, "drains": drains}
    if not options.wait:
        return Outcome(ExitCode.OK, head, data)
    waited = await wait_in_force(invocation, generation)
    merged = {**data, "spread": waited.data}
    return Outcome(waited.code, f"{head}\n{waited.text}", merged)
