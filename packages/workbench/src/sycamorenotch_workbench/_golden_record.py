"""Runs scripted sessions and records every exchange and event as text."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from random import Random
from typing import Any
from typing import final

from twisted.internet.defer import Deferred

from sycamorenotch_kernel import Registry
from sycamorenotch_workbench._soak_document import soak_document
from sycamorenotch_workbench._virtual_system import OPERATOR_TOKEN
from sycamorenotch_workbench._virtual_system import OPERATORS_PORT
from sycamorenotch_workbench._virtual_system import RecordedEvent
from sycamorenotch_workbench._virtual_system import Reply
from sycamorenotch_workbench._virtual_system import VirtualSystem

SEED = 20260101
START_TIME = timedelta(seconds=6)
SETTLE_TIME = timedelta(seconds=5)

Script = Callable[["GoldenSession"], None]

golden_sessions: Registry[Script] = Registry("golden session")


@final
class GoldenSession:
    """Simulated system that records every exchange and event."""

    def __init__(self) -> None:
        self.system = VirtualSystem(soak_document(), instances=3, seed=SEED)
        self.random = Random(SEED)
        self._lines: list[str] = []
        self._recorded_count = 0
        self.advance(START_TIME)

    def note(self, text: str) -> None:
        """Record a comment of the script."""
        self._record_events()
        self._record_line("script", text)

    def advance(self, duration: timedelta) -> None:
        """Advance the virtual clock."""
        self.system.advance(duration)
        self._record_events()

    def send(
        self,
        instance: str,
        method: str,
        path: str,
        headers: dict[str, str] | None = None,
        body: bytes | None = None,
    ) -> Deferred[Reply]:
        """Send a caller's request and record its reply when it arrives."""
        self._record_events()
        self._record_line("caller", f"> {method} {path} at {instance}")
        deferred = self.system.request(instance, method, path, headers, body)
        deferred.addCallback(self._record_reply, f"{method} {path}")
        return deferred

    def redeem(self, instance: str, key: str) -> Deferred[Reply]:
        """Send a protected request with an idempotency key."""
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
        """Send an authorised request to the operators' listener."""
        self._record_events()
        self._record_line("operator", f"> {method} {path} at {instance}")
        authorized = {"Authorization": f"Bearer {OPERATOR_TOKEN}", **(headers or {})}
        deferred = self.system.request(
            instance, method, path, authorized, body, OPERATORS_PORT
        )
        deferred.addCallback(self._record_reply, f"{method} {path}")
        return deferred

    def spread(
        self, count: int, duration: timedelta, send: Callable[[int], object]
    ) -> None:
        """Call a function several times at equal intervals.

        :param count: number of calls.
        :param duration: virtual time that the calls are spread over.
        :param send: function that gets the number of the call, from 0.
        """
        for number in range(count):
            send(number)
            self.advance(duration / count)

    def text(self) -> str:
        """Close the session and return its record."""
        self.advance(SETTLE_TIME)
        executions = sorted(
            (key, count)
            for worker in self.system.workers.values()
            for key, count in worker.executions.items()
        )
        self._record_line(
            "executions", ", ".join(f"{key} {n}" for key, n in executions)
        )
        self.system.close()
        return "\n".join([*self._lines, ""])

    def _record_reply(self, reply: Reply, request: str) -> Reply:
        self._record_events()
        self._record_line("caller", f"< {request}: {_format_reply(reply)}")
        return reply

    def _record_events(self) -> None:
        new = self.system.recorded_events[self._recorded_count :]
        self._recorded_count = len(self.system.recorded_events)
        self._lines.extend(_format_event(entry) for entry in new)

    def _record_line(self, source: str, text: str) -> None:
        now = self.system.network.queue.seconds()
        self._lines.append(f"{now:11.6f} {source:14} {text}")


def _format_reply(reply: Reply) -> str:
    if not reply.status:
        return f"no answer, {reply.error}"
    decision = reply.headers.get("decision-id", "-")
    retry_after = reply.headers.get("retry-after", "-")
    body = reply.body.decode(errors="replace").strip()
    return f"{reply.status} decision {decision} retry-after {retry_after} {body}"


def _format_event(entry: RecordedEvent) -> str:
    event = entry.event
    fields = " ".join(f"{n}={_format_value(v)}" for n, v in event.fields().items())
    at = entry.at.total_seconds()
    return f"{at:11.6f} {entry.source:14} {event.number:04d} {event.name} {fields}"


def _format_value(value: Any) -> str:
    return repr(value) if isinstance(value, str) else str(value)


def record(name: str) -> str:
    """Run a session and return its record.

    :param name: registered name of the session.
    """
    session = GoldenSession()
    golden_sessions.get(name)(session)
    return session.text()
