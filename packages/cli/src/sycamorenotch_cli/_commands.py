"""The command interface and its registration."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from enum import IntEnum
from enum import unique
from typing import final

from sycamorenotch_cli._client import OperatorsClient
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
class Invocation:
    """Arguments and services of one command.

    :param connect: returns a client of the operators' interface.
    """

    args: tuple[str, ...]
    connect: Callable[[], OperatorsClient]


CommandFunction = Callable[[Invocation], Awaitable[Outcome]]


@final
@dataclass(frozen=True, slots=True)
class Command:
    """A registered command.

    :param usage: arguments after the command's name.
    :param summary: one sentence.
    """

    run: CommandFunction
    usage: str
    summary: str


def command(
    name: str, usage: str, summary: str
) -> Callable[[CommandFunction], CommandFunction]:
    """Return a decorator that registers a function as a command."""

    def decorate(function: CommandFunction) -> CommandFunction:
        commands.add(name, Command(function, usage, summary), function.__module__)
        return function

    return decorate
