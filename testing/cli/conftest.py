"""Fixtures: a local fleet, and a function that runs commands on it."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
from typing import Any

import pytest
from twisted.internet import reactor

from sycamorenotch_cli._client import OperatorsClient
from sycamorenotch_cli._commands import Invocation
from sycamorenotch_cli._commands import Options
from sycamorenotch_cli._commands import Outcome
from sycamorenotch_kernel import commands
from sycamorenotch_workbench import LocalExample

RunCommand = Callable[..., Outcome]


@pytest.fixture(scope="module")
def example(run_in_reactor: Callable[..., Any]) -> Iterator[LocalExample]:
    example = LocalExample(reactor)
    run_in_reactor(example.start())
    yield example
    run_in_reactor(example.stop())


@pytest.fixture
def client(example: LocalExample) -> OperatorsClient:
    return OperatorsClient(example.describe()["operators"][0], example.token)


@pytest.fixture
def run_command(
    client: OperatorsClient, run_in_reactor: Callable[..., Any]
) -> RunCommand:
    def run(name: str, *args: str, **options: Any) -> Outcome:
        chosen = options.pop("client", client)
        values = {"author": "ana", **options}
        invocation = Invocation(args, Options(**values), reactor, lambda: chosen)
        return run_in_reactor(commands.get(name).run(invocation))

    return run
