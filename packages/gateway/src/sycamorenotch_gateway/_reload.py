"""Reloads the settings file when it changes."""

from __future__ import annotations

import dataclasses
from datetime import timedelta
from pathlib import Path
from typing import final

from sycamorenotch_documents import InvalidFileError
from sycamorenotch_gateway._events import ProcessPaused
from sycamorenotch_gateway._events import SettingsInvalid
from sycamorenotch_gateway._events import SettingsReloaded
from sycamorenotch_gateway._node import GatewayNode
from sycamorenotch_gateway._settings import parse_gateway_settings

# Also finds changes for which no SIGHUP was sent.
CHECK_INTERVAL = timedelta(seconds=1)
# A check that is later than this means that the process was suspended.
PAUSE_THRESHOLD_S = 1.0


@final
class SettingsWatch:
    """Applies changed settings; listeners keep their addresses.

    :param path: the settings file.
    """

    def __init__(self, node: GatewayNode, path: Path) -> None:
        self._node = node
        self._path = path
        self._text = path.read_text()
        self._next_check_at = node.clock()
        self._loop = node.background(self._turn)

    def start(self) -> None:
        """Start checking the file for changes."""
        self._next_check_at = self._node.clock() + CHECK_INTERVAL.total_seconds()
        self._loop.start(CHECK_INTERVAL)

    def reload(self) -> None:
        """Read the file and apply it if it is valid."""
        try:
            text = self._path.read_text()
            settings = parse_gateway_settings(text)
        except (InvalidFileError, OSError) as exc:
            self._node.sink.emit(SettingsInvalid(str(exc)))
            return
        changed, self._text = text != self._text, text
        current = self._node.settings
        # Listener addresses and the store adapter cannot change in a running process.
        self._node.settings = dataclasses.replace(
            current,
            placement=settings.placement,
            resources=settings.resources,
            bounds=settings.bounds,
        )
        self._node.sink.emit(SettingsReloaded(current.instance, changed))

    async def _turn(self) -> timedelta:
        now = self._node.clock()
        if now - self._next_check_at > PAUSE_THRESHOLD_S:
            self._node.sink.emit(ProcessPaused(round(now - self._next_check_at, 3)))
        self._next_check_at = now + CHECK_INTERVAL.total_seconds()
        try:
            text = self._path.read_text()
        except OSError as exc:
            self._node.sink.emit(SettingsInvalid(str(exc)))
            return CHECK_INTERVAL
        if text != self._text:
            self.reload()
        return CHECK_INTERVAL
