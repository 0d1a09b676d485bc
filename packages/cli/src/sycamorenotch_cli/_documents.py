"""Commands that check, compare, show and write environment documents."""

from __future__ import annotations

import difflib
from pathlib import Path

from expression import Error
from expression import Ok
from expression import Result

from sycamorenotch_cli._client import ApiError
from sycamorenotch_cli._client import ChangeMetadata
from sycamorenotch_cli._client import OperatorsClient
from sycamorenotch_cli._commands import ExitCode
from sycamorenotch_cli._commands import Invocation
from sycamorenotch_cli._commands import Outcome
from sycamorenotch_cli._commands import command
from sycamorenotch_cli._commands import error_outcome
from sycamorenotch_cli._messages import DocumentModel
from sycamorenotch_cli._waiting import wait_in_force
from sycamorenotch_documents import InvalidFileError
from sycamorenotch_documents import parse_environment
from sycamorenotch_kernel import ErrorKind


@command(
    "check",
    "FILE",
    "Check an environment document and report every mistake.",
    "sycamorenotch check examples/vatukoula.ini",
)
async def check(invocation: Invocation) -> Outcome:
    """Check a document locally."""
    (path,) = invocation.args
    read = _read_file(path)
    if read.is_error():
        return read.error
    problems = _find_problems(read.ok)
    if problems:
        noun = "mistake" if len(problems) == 1 else "mistakes"
        text = "\n".join([f"{len(problems)} {noun} in {path}", *problems])
        return Outcome(ExitCode.INVALID, text, {"valid": False, "problems": problems})
    services = len(parse_environment(read.ok).services)
    data = {"valid": True, "problems": []}
    return Outcome(ExitCode.OK, f"{path} is valid: {services} services", data)


@command(
    "diff",
    "ENVIRONMENT FILE_OR_ENVIRONMENT",
    "Compare a stored document with a file or with another stored document.",
    "sycamorenotch diff production trial",
)
async def diff(invocation: Invocation) -> Outcome:
    """Compare a stored document with a file or with another stored one."""
    name, other = invocation.args
    client = invocation.connect()
    stored = await _fetch_document(client, name)
    if stored.is_error():
        return error_outcome(stored.error)
    if Path(other).exists():
        read = _read_file(other)
        if read.is_error():
            return read.error
        text, label = read.ok, other
    else:
        found = await _fetch_document(client, other)
        if found.is_error():
            return error_outcome(found.error)
        text, label = found.ok.text, _label(found.ok)
    lines = _diff_lines(stored.ok.text, text, _label(stored.ok), label)
    data = {"generation": stored.ok.generation, "difference": lines}
    return Outcome(ExitCode.OK, "\n".join(lines) or "no difference", data)


@command(
    "show",
    "ENVIRONMENT",
    "Show the newest document of an environment; JSON output includes its author.",
    "sycamorenotch show production",
)
async def show(invocation: Invocation) -> Outcome:
    """Show a stored document."""
    (name,) = invocation.args
    found = await _fetch_document(invocation.connect(), name)
    if found.is_error():
        return error_outcome(found.error)
    # Only the document, so that the output can be saved and applied again.
    text = found.ok.text.rstrip("\n")
    return Outcome(ExitCode.OK, text, found.ok.model_dump(mode="json"))


@command(
    "apply",
    "ENVIRONMENT FILE",
    "Store a new document of an environment, unless it was changed concurrently.",
    "sycamorenotch apply production examples/vatukoula.ini --wait",
)
async def apply(invocation: Invocation) -> Outcome:
    """Write a document with a conditional update."""
    name, path = invocation.args
    read = _read_file(path)
    if read.is_error():
        return read.error
    problems = _find_problems(read.ok)
    if problems:
        text = "\n".join([f"{path} is not valid", *problems])
        return Outcome(ExitCode.INVALID, text, {"valid": False, "problems": problems})
    return await _write(invocation, name, read.ok, "")


@command(
    "promote",
    "",
    "Copy the newest document of one environment to another.",
    "sycamorenotch promote --from trial --to production --wait",
)
async def promote(invocation: Invocation) -> Outcome:
    """Copy a document and record the generation it is copied from."""
    options = invocation.options
    found = await _fetch_document(invocation.connect(), options.source)
    if found.is_error():
        return error_outcome(found.error)
    source = f"{options.source} generation {found.ok.generation}"
    return await _write(invocation, options.target, found.ok.text, source)


async def _write(invocation: Invocation, name: str, text: str, source: str) -> Outcome:
    client, options = invocation.connect(), invocation.options
    expected = await _expected_generation(client, name, options.expect)
    if expected.is_error():
        return error_outcome(expected.error)
    change = ChangeMetadata(options.author, expected.ok, source)
    path = f"/v1/documents/{name}"
    written = await client.send("PUT", path, DocumentModel, change, text.encode())
    if written.is_error():
        return await _conflict_outcome(client, name, text, written.error)
    generation = written.ok.generation
    copied = f", copied from {source}" if source else ""
    head = f"{name} is at generation {generation}{copied}"
    data = {"environment": name, "generation": generation, "source": source}
    if not options.wait:
        return Outcome(ExitCode.OK, head, data)
    waited = await wait_in_force(invocation, generation)
    merged = {**data, "spread": waited.data}
    return Outcome(waited.code, f"{head}\n{waited.text}", merged)


async def _expected_generation(
    client: OperatorsClient, name: str, option_value: int | None
) -> Result[int | None, ApiError]:
    if option_value is not None:
        return Ok(option_value)
    found = await _fetch_document(client, name)
    if found.is_ok():
        return Ok(found.ok.generation)
    if found.error.kind == ErrorKind.NOT_FOUND.value:
        return Ok(None)
    return Error(found.error)


async def _conflict_outcome(
    client: OperatorsClient, name: str, text: str, api_error: ApiError
) -> Outcome:
    """Add the newest document and a diff to the outcome of a conflicting write."""
    outcome = error_outcome(api_error)
    if outcome.code is not ExitCode.CONFLICT:
        return outcome
    found = await _fetch_document(client, name)
    if found.is_error():
        return outcome
    lines = _diff_lines(found.ok.text, text, _label(found.ok), "yours, not stored")
    shown = "\n".join([outcome.text, *(lines or ["the documents do not differ"])])
    data = {**found.ok.model_dump(mode="json"), "difference": lines}
    del data["text"]
    return Outcome(outcome.code, shown, {"error": api_error.kind, "winner": data})


async def _fetch_document(
    client: OperatorsClient, name: str
) -> Result[DocumentModel, ApiError]:
    return await client.get(f"/v1/documents/{name}", DocumentModel)


def _label(document: DocumentModel) -> str:
    return f"{document.environment} generation {document.generation}"


def _diff_lines(old: str, new: str, old_label: str, new_label: str) -> list[str]:
    pair = old.splitlines(), new.splitlines()
    return list(difflib.unified_diff(*pair, old_label, new_label, lineterm=""))


def _read_file(path: str) -> Result[str, Outcome]:
    try:
        return Ok(Path(path).read_text())
    except (OSError, UnicodeDecodeError) as exc:
        detail = f"{path} cannot be read: {exc}"
        return Error(Outcome(ExitCode.USAGE, detail, {"error": detail}))


def _find_problems(text: str) -> list[str]:
    try:
        parse_environment(text)
    except InvalidFileError as exc:
        return [str(problem) for problem in exc.problems]
    return []
