"""Runs scripted sessions and writes their whole record as text."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from random import Random
from typing import Any
from typing import final

from twisted.internet.defer import Deferred

from sycamorenotch_kernel import Registry
from sycamorenotch_workbench._soak_document import soak_document
from sycamorenotch_workbench._virtual_system import OPERATORS_PORT
from sycamorenotch_workbench._virtual_system import TOKEN
from sycamorenotch_workbench._virtual_system import Entry
from sycamorenotch_workbench._virtual_system import Reply
from sycamorenotch_workbench._virtual_system import VirtualSystem

SEED = 20260101
START = timedelta(seconds=6)
SETTLE = timedelta(seconds=5)

Script = Callable[["GoldenSession"], None]

golden_sessions: Registry[Script] = Registry("golden session")


@final
class GoldenSession:
    """A virtual system whose every exchange and event is recorded."""

    def __init__(self) -> None:
        self.system = VirtualSystem(soak_document(), instances=3, seed=SEED)
        self.random = Random(SEED)
        self._lines: list[str] = []
        self._recorded = 0
        self.advance(START)

    def note(self, text: str) -> None:
        """Add what the script does next."""
        self._flush()
        self._line("script", text)

    def advance(self, duration: timedelta) -> None:
        """Let virtual time pass."""
        self.system.advance(duration)
        self._flush()

    def send(
        self,
        instance: str,
        method: str,
        path: str,
        headers: dict[str, str] | None = None,
        body: bytes | None = None,
    ) -> Deferred[Reply]:
        """Send a caller's request and record its reply when it arrives."""
        self._flush()
        self._line("caller", f"> {method} {path} at {instance}")
        deferred = self.system.request(instance, method, path, headers, body)
        deferred.addCallback(self._received, f"{method} {path}")
        return deferred

    def redeem(self, instance: str, key: str) -> Deferred[Reply]:
        """Send a protected request."""
        path = f"/v1/call/action/redemptions/{key}"
        return self.send(instance, "POST", path, {"Idempotency-Key": key}, b"{}")

    def operate(
        self,
        instance: str,
        method: str,
        path: str,
        headers: dict[str, str] | None = None,
        body: bytes | None = None,
    ) -> Deferred[Reply]:
        """Send an operator's request."""
        self._flush()
        self._line("operator", f"> {method} {path} at {instance}")
        named = {"Authorization": f"Bearer {TOKEN}", **(headers or {})}
        deferred = self.system.request(
            instance, method, path, named, body, OPERATORS_PORT
        )
        deferred.addCallback(self._received, f"{method} {path}")
        return deferred

    def spread(
        self, count: int, over: timedelta, send: Callable[[int], object]
    ) -> None:
        """Call a function several times at equal distances of time."""
        for number in range(count):
            send(number)
            self.advance(over / count)

    def text(self) -> str:
        """End the session and return its record."""
        self.advance(SETTLE)
        executions = sorted(
            (key, count)
            for worker in self.system.workers.values()
            for key, count in worker.executions.items()
        )
        self._line("executions", ", ".join(f"{key} {n}" for key, n in executions))
        self.system.close()
        return "\n".join([*self._lines, ""])

    def _received(self, reply: Reply, request: str) -> Reply:
        self._flush()
        self._line("caller", f"< {request}: {_describe(reply)}")
        return reply

    def _flush(self) -> None:
        new = self.system.entries[self._recorded :]
        self._recorded = len(self.system.entries)
        self._lines.extend(_event_line(entry) for entry in new)

    def _line(self, source: str, text: str) -> None:
        now = self.system.network.queue.seconds()
        self._lines.append(f"{now:11.6f} {source:14} {text}")


def _describe(reply: Reply) -> str:
    if not reply.status:
        return f"no answer, {reply.error}"
    decision = reply.headers.get("decision-id", "-")
    retry_after = reply.headers.get("retry-after", "-")
    body = reply.body.decode(errors="replace").strip()
    return f"{reply.status} decision {decision} retry-after {retry_after} {body}"


def _event_line(entry: Entry) -> str:
    event = entry.event
    fields = " ".join(f"{n}={_value(v)}" for n, v in event.fields().items())
    at = entry.at.total_seconds()
    return f"{at:11.6f} {entry.source:14} {event.number:04d} {event.name} {fields}"


def _value(value: Any) -> str:
    return repr(value) if isinstance(value, str) else str(value)


def record(name: str) -> str:
    """Run a session and return its record.

    :param name: registered name of the session.
    """
    session = GoldenSession()
    golden_sessions.get(name)(session)
    return session.text()
