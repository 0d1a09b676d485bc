"""Entry point of ``sycamorenotch``."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Any

from absl import app
from absl import flags
from twisted.internet.defer import Deferred
from twisted.internet.task import react

from sycamorenotch_cli._client import OperatorsClient
from sycamorenotch_cli._commands import ExitCode
from sycamorenotch_cli._commands import Invocation
from sycamorenotch_cli._commands import Outcome
from sycamorenotch_kernel import UnknownNameError
from sycamorenotch_kernel import commands
from sycamorenotch_kernel import load_plugins
from sycamorenotch_transport import install_literal_resolver

OPERATORS = flags.DEFINE_string(
    "operators", "http://127.0.0.1:8081", "URL of an instance's operators' listener."
)
TOKEN_FILE = flags.DEFINE_string("token_file", None, "File with the bearer token.")
FORMAT = flags.DEFINE_enum("format", "text", ["text", "json"], "Form of the output.")


def main() -> None:
    """Run one command."""
    app.run(_run)


def _run(argv: list[str]) -> None:
    load_plugins()
    if len(argv) < 2:
        print(_overview())
        sys.exit(ExitCode.USAGE)
    react(lambda reactor: _start(reactor, argv[1], argv[2:]))


def _start(reactor: Any, name: str, args: list[str]) -> Deferred[None]:
    install_literal_resolver(reactor)
    return Deferred.fromCoroutine(_execute(name, args))


async def _execute(name: str, args: list[str]) -> None:
    try:
        found = commands.get(name)
    except UnknownNameError as exc:
        print(exc, file=sys.stderr)
        raise SystemExit(ExitCode.USAGE) from None
    outcome: Outcome = await found.run(Invocation(tuple(args), _connect))
    print(_render(outcome))
    raise SystemExit(outcome.code)


def _render(outcome: Outcome) -> str:
    if FORMAT.value == "json":
        return json.dumps(outcome.data, indent=2)
    return outcome.text


def _connect() -> OperatorsClient:
    token = Path(TOKEN_FILE.value).read_text().strip() if TOKEN_FILE.value else ""
    return OperatorsClient(OPERATORS.value, token)


def _overview() -> str:
    def line(entry: Any) -> str:
        return f"  {entry.name} {entry.value.usage}\n      {entry.value.summary}"

    return "\n".join(["usage: sycamorenotch COMMAND", *map(line, commands)])
