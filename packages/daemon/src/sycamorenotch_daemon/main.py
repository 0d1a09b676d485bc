"""Entry point of ``sycamorenotchd``."""

from __future__ import annotations

import sys
from pathlib import Path

from absl import app
from absl import flags
from eliot import to_file
from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from sycamorenotch_daemon._build import build_daemon
from sycamorenotch_daemon._daemon import Daemon
from sycamorenotch_documents import DaemonSettings
from sycamorenotch_documents import InvalidFileError
from sycamorenotch_documents import parse_settings

EXIT_INVALID_SETTINGS = 2
EXIT_START_FAILED = 3

SETTINGS = flags.DEFINE_string("settings", None, "Path of the daemon's settings file.")


def main() -> None:
    """Run the daemon until the process is asked to terminate."""
    flags.mark_flag_as_required("settings")
    app.run(_run)


def _run(argv: list[str]) -> int:
    try:
        settings = parse_settings(Path(SETTINGS.value).read_text())
        daemon = build_daemon(settings, reactor)
    except (InvalidFileError, OSError) as exc:
        print(exc, file=sys.stderr)
        return EXIT_INVALID_SETTINGS
    _configure_log(settings)
    return _serve(daemon)


def _configure_log(settings: DaemonSettings) -> None:
    if settings.log_file:
        to_file(open(settings.log_file, "a"))
    else:
        to_file(sys.stderr)


def _serve(daemon: Daemon) -> int:
    status = 0

    def on_start_failed(failure: Failure) -> None:
        nonlocal status
        status = EXIT_START_FAILED
        print(failure.getErrorMessage(), file=sys.stderr)
        reactor.stop()

    def start() -> None:
        Deferred.fromCoroutine(daemon.start()).addErrback(on_start_failed)

    def stop() -> Deferred[None]:
        return Deferred.fromCoroutine(daemon.stop())

    reactor.callWhenRunning(start)
    # The reactor's SIGTERM handler fires this trigger.
    reactor.addSystemEventTrigger("before", "shutdown", stop)
    reactor.run()
    return status
