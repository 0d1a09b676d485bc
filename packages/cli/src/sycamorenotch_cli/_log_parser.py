"""Parser of gateway logs."""

from __future__ import annotations

import json
from collections.abc import Iterable
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any
from typing import final

from pydantic import BaseModel
from pydantic import ConfigDict
from pydantic import ValidationError


class LogLineModel(BaseModel):
    """Common fields of log lines; each event adds its own."""

    model_config = ConfigDict(extra="allow", frozen=True)

    timestamp: float
    message_type: str
    instance: str = ""
    request: str = ""
    worker: str = ""


@final
@dataclass(frozen=True, slots=True)
class LogLine:
    """A logged event.

    :param at: Unix time in seconds; the clocks of instances may differ.
    :param name: event name.
    :param fields: the event's own fields, and its worker if it has one.
    """

    at: float
    name: str
    instance: str
    request: str
    worker: str
    fields: dict[str, Any]

    def __str__(self) -> str:
        shown = ", ".join(f"{key}={value}" for key, value in self.fields.items())
        return f"{self.at:.3f} {self.instance} {self.name}: {shown}"


HIDDEN_FIELDS = {"event_number", "severity"}


def parse_lines(texts: Iterable[str]) -> Iterator[LogLine]:
    """Parse log lines, skipping any prefix before the JSON object.

    Lines in another format are ignored.
    """
    for text in texts:
        start = text.find("{")
        if start < 0:
            continue
        try:
            model = LogLineModel.model_validate(json.loads(text[start:]))
        except (ValidationError, json.JSONDecodeError):
            continue
        extra = model.model_extra or {}
        fields = {
            key: value for key, value in extra.items() if key not in HIDDEN_FIELDS
        }
        if model.worker:
            fields = {"worker": model.worker, **fields}
        yield LogLine(
            model.timestamp,
            model.message_type,
            model.instance,
            model.request,
            model.worker,
            fields,
        )


def read_logs(paths: Iterable[str]) -> tuple[LogLine, ...]:
    """Read the events of several log files, the oldest first.

    :raises OSError: if a file cannot be read.
    """
    lines: list[LogLine] = []
    for path in paths:
        with Path(path).open(errors="replace") as file:
            lines.extend(parse_lines(file))
    return tuple(sorted(lines, key=lambda line: line.at))
