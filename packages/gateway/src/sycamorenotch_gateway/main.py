"""Entry point of ``sycamorenotch-gateway``."""

from __future__ import annotations

import os
import resource
import signal
import sys
import time
from pathlib import Path
from random import SystemRandom
from typing import Any

from absl import app
from absl import flags
from twisted.internet import reactor as _reactor
from twisted.internet.defer import Deferred
from twisted.internet.error import CannotListenError

from sycamorenotch_documents import InvalidFileError
from sycamorenotch_gateway._events import GatewayCannotListen
from sycamorenotch_gateway._gateway import Gateway
from sycamorenotch_gateway._log import LogWriter
from sycamorenotch_gateway._node import GatewayNode
from sycamorenotch_gateway._node import read_boot_clock
from sycamorenotch_gateway._reload import SettingsWatch
from sycamorenotch_gateway._settings import GatewaySettings
from sycamorenotch_gateway._settings import parse_gateway_settings
from sycamorenotch_kernel import dialects
from sycamorenotch_kernel import load_plugins
from sycamorenotch_kernel import object_feeds
from sycamorenotch_transport import ResponseBuffers

reactor: Any = _reactor

EXIT_INVALID_SETTINGS = 2
EXIT_CANNOT_LISTEN = 3
MS_PER_S = 1000

SETTINGS = flags.DEFINE_string("settings", None, "Path of the settings file.")
SETTINGS_VARIABLE = flags.DEFINE_string(
    "settings_variable", None, "Environment variable that holds the path."
)


def main() -> None:
    """Run the gateway until it receives a signal to stop."""
    app.run(_run)


def _run(argv: list[str]) -> int:
    # Timers must not depend on steps of the wall clock.
    reactor.seconds = time.monotonic
    # Plug-ins register sections of the settings.
    load_plugins()
    try:
        path = _settings_path()
        settings = parse_gateway_settings(path.read_text())
    except (InvalidFileError, OSError, LookupError) as exc:
        print(exc, file=sys.stderr)
        return EXIT_INVALID_SETTINGS
    return _serve(_build(settings), path)


def _settings_path() -> Path:
    if SETTINGS.value is not None:
        return Path(SETTINGS.value)
    if SETTINGS_VARIABLE.value is None:
        raise LookupError("one of --settings and --settings_variable is needed")
    if SETTINGS_VARIABLE.value not in os.environ:
        raise LookupError(f"the variable {SETTINGS_VARIABLE.value} is not set")
    return Path(os.environ[SETTINGS_VARIABLE.value])


def _build(settings: GatewaySettings) -> Gateway:
    log = LogWriter(reactor, sys.stdout.fileno(), time.monotonic, settings.instance)
    reactor.addSystemEventTrigger("after", "shutdown", log.flush)
    buffers = ResponseBuffers(settings.response_limits)
    build_feed = object_feeds.get(settings.feed)
    node = GatewayNode(
        settings=settings,
        reactor=reactor,
        clock=time.monotonic,
        started=int(time.time() * MS_PER_S),
        random=SystemRandom(),
        sink=log,
        feed=build_feed(settings.store, reactor, time.monotonic, buffers),
        dialect=dialects.get(settings.dialect)(),
        processor_clock=_processor_time_s,
        boot_clock=read_boot_clock,
        response_buffers=buffers,
    )
    return Gateway(node)


def _processor_time_s() -> float:
    """Return the processor time of this process, in seconds."""
    used = resource.getrusage(resource.RUSAGE_SELF)
    return used.ru_utime + used.ru_stime


def _serve(gateway: Gateway, path: Path) -> int:
    """Run the gateway until a signal, or until a listener cannot be opened.

    :return: exit status of the process.
    """
    watch = SettingsWatch(gateway.node, path)
    status = 0

    async def stop() -> None:
        if status == 0:
            await gateway.stop()

    def start() -> None:
        nonlocal status
        # The reactor installs its signal handlers before it calls this.
        signal.signal(signal.SIGHUP, lambda *_: reactor.callFromThread(watch.reload))
        watch.start()
        try:
            gateway.start()
        except CannotListenError as exc:
            gateway.node.sink.emit(GatewayCannotListen(str(exc)))
            status = EXIT_CANNOT_LISTEN
            reactor.stop()

    reactor.callWhenRunning(start)
    reactor.addSystemEventTrigger(
        "before", "shutdown", lambda: Deferred.fromCoroutine(stop())
    )
    reactor.run()
    return status


if __name__ == "__main__":
    main()
