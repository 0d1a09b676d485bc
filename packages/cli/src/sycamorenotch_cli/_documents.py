"""Commands that check and apply environment documents."""

from __future__ import annotations

from pathlib import Path

from sycamorenotch_cli._commands import ExitCode
from sycamorenotch_cli._commands import Invocation
from sycamorenotch_cli._commands import Outcome
from sycamorenotch_cli._commands import command
from sycamorenotch_documents import InvalidFileError
from sycamorenotch_documents import parse_environment


@command("check", "FILE", "Check an environment document and report every mistake.")
async def check(invocation: Invocation) -> Outcome:
    """Check a document without sending it anywhere."""
    (path,) = invocation.args
    try:
        environment = parse_environment(Path(path).read_text())
    except InvalidFileError as exc:
        problems = [str(problem) for problem in exc.problems]
        count = f"{len(problems)} mistakes in {path}"
        data = {"valid": False, "problems": problems}
        return Outcome(ExitCode.INVALID, "\n".join([count, *problems]), data)
    text = f"{path} is valid: {len(environment.services)} services"
    return Outcome(ExitCode.OK, text, {"valid": True, "problems": []})


@command("apply", "ENVIRONMENT FILE", "Store a document as an environment's newest.")
async def apply(invocation: Invocation) -> Outcome:
    """Write a document with a conditional update."""
    name, path = invocation.args
    client = invocation.connect()
    current = await client.request("GET", f"/v1/documents/{name}")
    headers = {"If-Match": f'"{current.body["version"]}"'} if current.ok else None
    body = Path(path).read_bytes()
    reply = await client.request("PUT", f"/v1/documents/{name}", body, headers)
    if not reply.ok:
        return Outcome(ExitCode.REFUSED, reply.body["detail"], reply.body)
    text = f"{name} is at generation {reply.body['version']}"
    return Outcome(ExitCode.OK, text, {"generation": reply.body["version"]})
