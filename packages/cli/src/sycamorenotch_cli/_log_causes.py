"""Finds the cause of a request's outcome in the logs of gateways."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import final

from sycamorenotch_cli._log_lines import LogLine
from sycamorenotch_kernel import Registry

# What a worker or an instance reported this long before the request's end may
# explain it; pauses and outages of some seconds are within.
CONTEXT_S = 10.0
FINAL = ("request.answered", "request.refused", "request.abandoned")
OF_WORKERS = ("worker.failed", "worker.removed", "worker.changed")
OF_INSTANCES = (
    *("store.lost", "store.regained", "configuration.applied", "gateway.paused"),
    *("evacuation.changed", "gateway.started", "gateway.stopping"),
)


@final
@dataclass(frozen=True, slots=True)
class Story:
    """What the logs hold of one request.

    :param last: the line of the outcome, if there is one.
    :param attempts: lines of attempts that failed.
    :param context: lines of the instance and the workers shortly before.
    """

    last: LogLine | None
    attempts: tuple[LogLine, ...]
    context: tuple[LogLine, ...]

    def field(self, name: str) -> str:
        """A field of the outcome, as text."""
        return "" if self.last is None else str(self.last.fields.get(name, ""))


Cause = Callable[[Story], str]
causes: Registry[Cause] = Registry("cause of an outcome")


def tell(lines: tuple[LogLine, ...], request: str) -> Story:
    """Collect the lines that bear on a request."""
    own = tuple(line for line in lines if line.request == request)
    last = next((line for line in reversed(own) if line.name in FINAL), None)
    attempts = tuple(line for line in own if line.name == "request.attempt-failed")
    if not own:
        return Story(None, (), ())
    end, instance = own[-1].at, own[-1].instance
    workers = {line.worker for line in own if line.worker}
    near = (line for line in lines if end - CONTEXT_S <= line.at <= end)
    context = tuple(
        line
        for line in near
        if line.instance == instance
        and (
            line.name in OF_INSTANCES
            or (line.name in OF_WORKERS and line.worker in workers)
        )
    )
    return Story(last, attempts, context)


def cause_of(story: Story) -> str:
    """Say in a sentence why the request ended as it did."""
    if story.last is None:
        if story.attempts:
            return "Its instance ended before the request did."
        return "No line of the logs names the request."
    if story.last.name != "request.refused":
        return causes.get(story.last.name)(story)
    kind = story.field("kind")
    return causes.get(kind)(story) if kind in causes else _other(story)


def _other(story: Story) -> str:
    return f"The system refused it as {story.field('kind')}: {story.field('detail')}."


@causes.register("request.answered")
def _answered(story: Story) -> str:
    worker, status = story.field("worker"), story.field("status")
    return (
        f"Worker {worker} of {story.field('service')} answered with status {status} "
        f"after {story.field('seconds')} s in {story.field('attempts')} attempts."
    )


@causes.register("request.abandoned")
def _abandoned(story: Story) -> str:
    seconds = story.field("seconds")
    return f"The caller closed its connection after {seconds} s, before an answer."


@causes.register("overloaded")
def _overloaded(story: Story) -> str:
    return (
        f"Service {story.field('service')} had no room: {story.field('detail')}; the "
        f"caller was asked to come back after {story.field('retry_after_s')} s."
    )


@causes.register("upstream-shed")
def _shed(story: Story) -> str:
    return f"Each worker that was tried refused to run it{_tried(story)}."


@causes.register("upstream-failed")
def _failed(story: Story) -> str:
    return f"Its worker was lost and may have run it{_tried(story)}."


@causes.register("deadline-passed")
def _late(story: Story) -> str:
    seconds = story.field("seconds")
    return f"No worker answered within {seconds} s{_tried(story)}."


@causes.register("not-ready")
def _not_ready(story: Story) -> str:
    return "The instance had started and knew no configuration or no workers yet."


@causes.register("unknown-route")
def _unknown(story: Story) -> str:
    version = story.field("configuration")
    return f"Version {version} of the configuration has {story.field('detail')}."


@causes.register("quarantined")
def _quarantined(story: Story) -> str:
    return "The same request had crashed several workers and is held back."


def _tried(story: Story) -> str:
    tried = "; ".join(
        f"{line.worker}: {line.fields.get('outcome')}, {line.fields.get('detail')}, "
        f"load {line.fields.get('load')} a slot, entry "
        f"{line.fields.get('entry_age_s')} s old"
        for line in story.attempts
    )
    return f" ({tried})" if tried else ""
