"""The command interface and its registration."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from enum import IntEnum
from enum import unique
from typing import Any
from typing import final

from sycamorenotch_cli._client import OperatorsClient
from sycamorenotch_cli._client import Refusal
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


EXIT_CODES = {
    ErrorKind.INVALID_DOCUMENT: ExitCode.INVALID,
    ErrorKind.CONFLICT: ExitCode.CONFLICT,
    ErrorKind.UNAUTHORIZED: ExitCode.UNAUTHORIZED,
    ErrorKind.NOT_FOUND: ExitCode.NOT_FOUND,
}


@final
@dataclass(frozen=True, slots=True)
class Outcome:
    """What a command gives back.

    :param text: for a terminal.
    :param data: for ``--format json``.
    """

    code: ExitCode
    text: str
    data: object


@final
@dataclass(frozen=True, slots=True)
class Options:
    """Flags that commands read.

    :param author: name for the history.
    :param expect: generation that the operator saw, if stated.
    :param wait: whether to wait until a change is in force everywhere.
    :param wait_limit: longest time to wait.
    :param source: environment that a promotion copies.
    :param target: environment that a promotion writes.
    :param undo: whether a drain is undone.
    :param output: file for an HTML report, if one is wanted.
    :param logs: log files of gateways to read in place of asking instances.
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
    """Arguments and services of one command.

    :param connect: returns a client of the operators' interface.
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

    :param usage: arguments after the command's name; one that is optional
        stands in brackets.
    :param summary: one sentence.
    :param example: a whole command line.
    """

    run: CommandFunction
    usage: str
    summary: str
    example: str

    def accepts(self, count: int) -> bool:
        """Return whether the command takes this number of arguments."""
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


def refused(refusal: Refusal) -> Outcome:
    """Return the outcome of a request that was not accepted."""
    data = {"error": refusal.kind, "detail": refusal.detail}
    if refusal.unreachable:
        return Outcome(ExitCode.UNREACHABLE, refusal.detail, data)
    known = {kind.value: code for kind, code in EXIT_CODES.items()}
    code = known.get(refusal.kind, ExitCode.REFUSED)
    return Outcome(code, f"{refusal.title}: {refusal.detail}", data)
