"""Entry point of the ``sycamorenotch`` command."""

from __future__ import annotations

import getpass
import json
import sys
from datetime import timedelta
from pathlib import Path
from typing import Any

from absl import app
from absl import flags
from twisted.internet.defer import Deferred
from twisted.internet.task import react

from sycamorenotch_cli._client import OperatorsClient
from sycamorenotch_cli._commands import Command
from sycamorenotch_cli._commands import ExitCode
from sycamorenotch_cli._commands import Invocation
from sycamorenotch_cli._commands import Options
from sycamorenotch_cli._commands import Outcome
from sycamorenotch_kernel import UnknownNameError
from sycamorenotch_kernel import commands
from sycamorenotch_kernel import load_plugins
from sycamorenotch_transport import install_literal_resolver

HELP_WORDS = ("help", "--help", "-h")

OPERATORS = flags.DEFINE_string(
    "operators", "http://127.0.0.1:8081", "URL of an instance's operators' listener."
)
TOKEN_FILE = flags.DEFINE_string("token_file", None, "File with the bearer token.")
FORMAT = flags.DEFINE_enum("format", "text", ["text", "json"], "Output format.")
AUTHOR = flags.DEFINE_string(
    "author", "", "Author for the history; defaults to the login name."
)
EXPECT = flags.DEFINE_integer(
    "expect", None, "Generation to replace; the write is refused if a newer one exists."
)
WAIT = flags.DEFINE_bool(
    "wait", False, "Wait until the change is in force on every instance."
)
WAIT_SECONDS = flags.DEFINE_float(
    "wait_seconds", 10.0, "Maximum time to wait, in seconds."
)
FROM = flags.DEFINE_string("from", "trial", "Environment that a promotion copies from.")
TO = flags.DEFINE_string("to", "production", "Environment that a promotion copies to.")
ENVIRONMENT = flags.DEFINE_string(
    "environment", "production", "Environment of a drain."
)
UNDO = flags.DEFINE_bool("undo", False, "End a drain.")
LOG = flags.DEFINE_multi_string("log", [], "Log file of a gateway; may be repeated.")
OUTPUT = flags.DEFINE_string("output", "", "HTML file to write a report to.")


def main() -> None:
    """Run the command that the arguments name."""
    # The command's name comes first; flags may follow it and its arguments.
    flags.FLAGS.set_gnu_getopt(True)
    positionals = [arg for arg in sys.argv[1:] if not arg.startswith("-")]
    if any(arg in HELP_WORDS for arg in sys.argv[1:]) or not positionals:
        load_plugins()
        print(_help(positionals))
        sys.exit(ExitCode.OK if positionals or len(sys.argv) > 1 else ExitCode.USAGE)
    app.run(_run, flags_parser=_parse_flags)


def _parse_flags(argv: list[str]) -> list[str]:
    try:
        return list(flags.FLAGS(argv))
    except flags.Error as exc:
        print(exc, file=sys.stderr)
        sys.exit(ExitCode.USAGE)


def _run(argv: list[str]) -> None:
    load_plugins()
    if len(argv) < 2:
        _exit(_usage_error("no command given; see sycamorenotch --help"))
    name, args = argv[1], tuple(argv[2:])
    try:
        found: Command = commands.get(name)
    except UnknownNameError as exc:
        _exit(_usage_error(str(exc)))
    if not found.accepts(len(args)):
        _exit(_usage_error(f"usage: sycamorenotch {name} {found.usage}"))
    client = _build_client()
    react(lambda reactor: _start(reactor, found, args, client))


def _start(
    reactor: Any, found: Command, args: tuple[str, ...], client: OperatorsClient
) -> Deferred[None]:
    install_literal_resolver(reactor)
    invocation = Invocation(args, _options(), reactor, lambda: client)
    return Deferred.fromCoroutine(_execute(found, invocation))


async def _execute(found: Command, invocation: Invocation) -> None:
    try:
        outcome = await found.run(invocation)
    except Exception as exc:
        text = f"the command failed unexpectedly: {type(exc).__name__}: {exc}"
        outcome = Outcome(ExitCode.INTERNAL, text, {"error": text})
    _exit(outcome)


def _exit(outcome: Outcome) -> None:
    if FORMAT.value == "json":
        print(json.dumps(outcome.data, indent=2))
    elif outcome.code in (ExitCode.OK, ExitCode.PARTIAL):
        print(outcome.text)
    else:
        print(outcome.text, file=sys.stderr)
    raise SystemExit(outcome.code)


def _usage_error(text: str) -> Outcome:
    return Outcome(ExitCode.USAGE, text, {"error": text})


def _options() -> Options:
    return Options(
        author=AUTHOR.value or _login_name(),
        expect=EXPECT.value,
        wait=WAIT.value,
        wait_limit=timedelta(seconds=WAIT_SECONDS.value),
        source=FROM.value,
        target=TO.value,
        environment=ENVIRONMENT.value,
        undo=UNDO.value,
        output=OUTPUT.value,
        logs=tuple(LOG.value),
    )


def _login_name() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return ""


def _build_client() -> OperatorsClient:
    try:
        token = Path(TOKEN_FILE.value).read_text().strip() if TOKEN_FILE.value else ""
    except OSError as exc:
        _exit(_usage_error(f"the token file cannot be read: {exc}"))
    return OperatorsClient(OPERATORS.value, token)


def _help(positionals: list[str]) -> str:
    named = [arg for arg in positionals if arg in commands]
    if named:
        found = commands.get(named[0])
        usage = f"usage: sycamorenotch {named[0]} {found.usage}".rstrip()
        return f"{usage}\n\n{found.summary}\n\nexample: {found.example}"
    lines = [f"  {entry.name:10} {entry.value.summary}" for entry in commands]
    return "\n".join(
        [
            "usage: sycamorenotch COMMAND [ARGUMENT...] [--FLAG=VALUE...]",
            "",
            *lines,
            "",
            "flags:",
            _flag_lines(),
            "",
            "sycamorenotch COMMAND --help shows an example.",
        ]
    )


def _flag_lines() -> str:
    found = flags.FLAGS.get_key_flags_for_module(__name__)
    return "\n".join(f"  --{flag.name:13} {flag.help}" for flag in found)
