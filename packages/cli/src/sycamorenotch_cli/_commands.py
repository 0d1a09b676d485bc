"""Command interface and command registration."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from enum import IntEnum
from enum import unique
from typing import Any
from typing import final

from sycamorenotch_cli._client import ApiError
from sycamorenotch_cli._client import OperatorsClient
from sycamorenotch_kernel import ErrorKind
from sycamorenotch_kernel import commands


@final
@unique
class ExitCode(IntEnum):
    """Exit status of the command line."""

    OK = 0
    INVALID = 1
    USAGE = 2
    UNREACHABLE = 3
    CONFLICT = 4
    REFUSED = 5
    UNAUTHORIZED = 6
    PARTIAL = 7
    NOT_FOUND = 8
    INTERNAL = 9


EXIT_CODE_BY_ERROR = {
    ErrorKind.INVALID_DOCUMENT: ExitCode.INVALID,
    ErrorKind.CONFLICT: ExitCode.CONFLICT,
    ErrorKind.UNAUTHORIZED: ExitCode.UNAUTHORIZED,
    ErrorKind.NOT_FOUND: ExitCode.NOT_FOUND,
}


@final
@dataclass(frozen=True, slots=True)
class Outcome:
    """Result of a command.

    :param text: output for ``--format text``.
    :param data: output for ``--format json``.
    """

    code: ExitCode
    text: str
    data: object


@final
@dataclass(frozen=True, slots=True)
class Options:
    """Values of the command-line flags.

    :param author: name recorded in the history.
    :param expect: generation that the write must replace; by default the newest.
    :param wait: whether to wait until a change is in force on every instance.
    :param wait_limit: maximum time to wait.
    :param source: environment that a promotion copies from.
    :param target: environment that a promotion copies to.
    :param environment: environment in which a drain applies.
    :param undo: whether to end a drain.
    :param output: path of an HTML report; empty for none.
    :param logs: gateway log files to read instead of querying instances.
    """

    author: str = ""
    expect: int | None = None
    wait: bool = False
    wait_limit: timedelta = timedelta(seconds=10)
    source: str = "trial"
    target: str = "production"
    environment: str = "production"
    undo: bool = False
    output: str = ""
    logs: tuple[str, ...] = ()


@final
@dataclass(frozen=True, slots=True)
class Invocation:
    """Arguments and dependencies of a command.

    :param connect: returns a client of the operators' API.
    """

    args: tuple[str, ...]
    options: Options
    reactor: Any
    connect: Callable[[], OperatorsClient]


CommandFunction = Callable[[Invocation], Awaitable[Outcome]]


@final
@dataclass(frozen=True, slots=True)
class Command:
    """A registered command.

    :param usage: arguments after the command's name, optional ones in brackets.
    :param summary: one sentence.
    :param example: complete command line.
    """

    run: CommandFunction
    usage: str
    summary: str
    example: str

    def accepts(self, count: int) -> bool:
        """Return whether the command accepts a number of arguments."""
        words = self.usage.split()
        required = sum(not word.startswith("[") for word in words)
        return required <= count <= len(words)


def command(
    name: str, usage: str, summary: str, example: str
) -> Callable[[CommandFunction], CommandFunction]:
    """Return a decorator that registers a function as a command."""

    def decorate(function: CommandFunction) -> CommandFunction:
        value = Command(function, usage, summary, example)
        commands.add(name, value, function.__module__)
        return function

    return decorate


def error_outcome(api_error: ApiError) -> Outcome:
    """Return the outcome of a request that failed."""
    data = {"error": api_error.kind, "detail": api_error.detail}
    if api_error.unreachable:
        return Outcome(ExitCode.UNREACHABLE, api_error.detail, data)
    known = {kind.value: code for kind, code in EXIT_CODE_BY_ERROR.items()}
    code = known.get(api_error.kind, ExitCode.REFUSED)
    return Outcome(code, f"{api_error.title}: {api_error.detail}", data)
