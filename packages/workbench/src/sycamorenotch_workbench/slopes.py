"""Measures the cost per unit of scale for docs/CAPACITY.md: ``make slopes``."""

from __future__ import annotations

import sys
from collections.abc import Iterator

from twisted.internet import reactor
from twisted.internet.defer import Deferred

from sycamorenotch_kernel import load_plugins
from sycamorenotch_transport import install_literal_resolver
from sycamorenotch_workbench._slopes_blocks import measure_blocks
from sycamorenotch_workbench._slopes_fleet import measure_fleets
from sycamorenotch_workbench._slopes_memory import measure_memory
from sycamorenotch_workbench._slopes_messages import measure_messages


def measurements() -> Iterator[str]:
    """Yield the output of the measurements that need no reactor."""
    yield from measure_memory()
    yield from measure_blocks()
    yield from measure_messages()


def main() -> None:
    """Run all measurements and print them; the exit status is 0."""
    load_plugins()
    install_literal_resolver(reactor)
    for line in measurements():
        print(line, flush=True)

    def done(result: object) -> None:
        if result is not None:
            print(result, file=sys.stderr, flush=True)
        reactor.stop()

    def start() -> None:
        Deferred.fromCoroutine(measure_fleets(reactor)).addBoth(done)

    reactor.callWhenRunning(start)
    reactor.run()


if __name__ == "__main__":
    main()
