"""Measures the fraction of a request's processor time that logging takes."""

from __future__ import annotations

import os
import time
from typing import Any

from absl import app
from absl import flags
from testing.platform.conftest import build_site
from testing.platform.standins import StandInWorker
from twisted.internet import reactor
from twisted.internet.defer import Deferred

from sycamorenotch_gateway._log import LogWriter
from sycamorenotch_kernel import Event
from sycamorenotch_kernel import load_plugins
from sycamorenotch_transport import Http1Pool
from sycamorenotch_transport import install_literal_resolver

REQUESTS = flags.DEFINE_integer("requests", 10_000, "Requests to send.")
MICROSECONDS = 1e6


class TimedLog:
    """A log that measures its own processor time, including the writes."""

    def __init__(self) -> None:
        self.used_s = 0.0
        self.lines = 0
        descriptor = os.open(os.devnull, os.O_WRONLY)
        self._log = LogWriter(reactor, descriptor, time.monotonic, "a-1")
        # The rate limit is off, as dropped lines would make the log look cheaper.
        self._log._within_limits = lambda number: True  # type: ignore[method-assign]

    def emit(self, event: Event) -> None:
        """Write one line."""
        started_at = time.process_time()
        self._log.emit(event)
        self._log.flush()
        self.used_s += time.process_time() - started_at
        self.lines += 1


async def _main() -> None:
    site = await build_site([StandInWorker("i-0", slots=1_000)])
    await site.wait_until_ready()
    log = TimedLog()
    site.gateway.node.sink = log
    pool = Http1Pool(reactor, site.gateway.addresses["callers"], time.monotonic)
    started_at = time.process_time()
    for _ in range(REQUESTS.value):
        await pool.exchange(site.request(), 1.0)
    used_s = time.process_time() - started_at
    pool.close()
    scale_us = MICROSECONDS / REQUESTS.value
    print(
        f"a request with stand-ins: {(used_s - log.used_s) * scale_us:.0f} us "
        "without its log"
    )
    print(f"its {log.lines / REQUESTS.value:.2f} lines: {log.used_s * scale_us:.0f} us")
    print(f"with the log / without: {used_s / (used_s - log.used_s):.3f}")
    await site.gateway.stop()


def _run(argv: list[str]) -> None:
    load_plugins()
    install_literal_resolver(reactor)

    def ended(result: Any) -> None:
        if result is not None:
            print(result)
        reactor.callLater(0.0, reactor.stop)

    reactor.callWhenRunning(lambda: Deferred.fromCoroutine(_main()).addBoth(ended))
    reactor.run()


if __name__ == "__main__":
    app.run(_run)
