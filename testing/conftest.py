"""Fixtures shared by all tests."""

from __future__ import annotations

import os
from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any

import pytest
from hypothesis import settings
from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from sycamorenotch_kernel import load_plugins
from sycamorenotch_transport import install_literal_resolver

TEST_TIMEOUT_S = 60.0

settings.register_profile("ci", derandomize=True, deadline=None, database=None)
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))


@pytest.fixture(scope="session", autouse=True)
def _plugins() -> None:
    load_plugins()
    install_literal_resolver(reactor)


@pytest.fixture(scope="session")
def run_in_reactor() -> Callable[[Coroutine[Any, Any, Any]], Any]:
    """Return a function that runs a coroutine on the real reactor."""
    return _run


def _run(coroutine: Coroutine[Any, Any, Any]) -> Any:
    results: list[Any] = []

    def record_result(result: Any) -> None:
        results.append(result)

    deferred = Deferred.fromCoroutine(coroutine)
    deferred.addTimeout(TEST_TIMEOUT_S, reactor)
    deferred.addBoth(record_result)
    # The reactor cannot be restarted after it stops, so that its iterations are
    # run here instead.
    if not reactor.running:
        reactor.startRunning(installSignalHandlers=False)
    while not results:
        reactor.runUntilCurrent()
        if not results:
            reactor.doIteration(reactor.timeout())
    (result,) = results
    if isinstance(result, Failure):
        result.raiseException()
    return result
