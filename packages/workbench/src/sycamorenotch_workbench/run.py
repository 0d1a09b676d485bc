"""Serves the local example until it is interrupted: ``make run``."""

from __future__ import annotations

import json
import sys
from pathlib import Path

from eliot import to_file
from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from sycamorenotch_workbench._example import LocalExample

# The README names these paths, so that operators' commands find the token.
STATE_DIRECTORY = Path("build/local")
FLAG_FILE = STATE_DIRECTORY / "flags"
EXIT_START_FAILED = 3


def main() -> None:
    """Start the example and print its addresses as one line of JSON."""
    STATE_DIRECTORY.mkdir(parents=True, exist_ok=True)
    with (STATE_DIRECTORY / "events.log").open("w") as log:
        to_file(log)
        sys.exit(_serve(LocalExample(reactor, state=STATE_DIRECTORY)))


def _serve(example: LocalExample) -> int:
    status = 0

    async def start() -> None:
        await example.start()
        FLAG_FILE.write_text(
            f"--operators={example.describe()['operators'][0]}\n"
            f"--token_file={example.token_file}\n"
        )
        print(json.dumps(example.describe()), flush=True)

    def stop() -> Deferred[None]:
        return Deferred.fromCoroutine(example.stop())

    def on_start_failure(failure: Failure) -> None:
        nonlocal status
        status = EXIT_START_FAILED
        print(failure.getErrorMessage(), file=sys.stderr)
        reactor.stop()

    reactor.callWhenRunning(
        lambda: Deferred.fromCoroutine(start()).addErrback(on_start_failure)
    )
    # The reactor runs this trigger on SIGINT and SIGTERM.
    reactor.addSystemEventTrigger("before", "shutdown", stop)
    reactor.run()
    return status


if __name__ == "__main__":
    main()
