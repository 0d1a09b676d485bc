"""Serves the local example until it is interrupted."""

from __future__ import annotations

import json

from twisted.internet import reactor
from twisted.internet.defer import Deferred

from sycamorenotch_workbench._example import LocalExample


def main() -> None:
    """Start the example and print where it listens."""
    example = LocalExample(reactor)

    async def start() -> None:
        await example.start()
        print(json.dumps(example.describe()), flush=True)

    def stop() -> Deferred[None]:
        return Deferred.fromCoroutine(example.stop())

    def failed(failure: object) -> None:
        print(failure, flush=True)
        reactor.stop()

    reactor.callWhenRunning(lambda: Deferred.fromCoroutine(start()).addErrback(failed))
    reactor.addSystemEventTrigger("before", "shutdown", stop)
    reactor.run()


if __name__ == "__main__":
    main()
