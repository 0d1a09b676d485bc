"""Encodes messages between daemons with msgpack and checks what comes in."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from enum import Enum
from functools import cache
from typing import Any
from typing import get_args
from typing import get_origin
from typing import get_type_hints

import msgpack

from sycamorenotch_kernel import Message
from sycamorenotch_kernel import message_types

SCALARS = (bool, int, str, bytes)

Check = Callable[[Any], Any]


class MalformedFrameError(ValueError):
    """A frame does not hold a message of the protocol."""


def encode_message(message: Message) -> bytes:
    """Return the frame of a message: its number and its fields in order."""
    return msgpack.packb([message.number, _flatten(message)])  # type: ignore[no-any-return]


def decode_message(frame: bytes) -> Message | None:
    """Return the message of a frame, or none if its type is not known.

    :raises MalformedFrameError: if the frame is not a valid message.
    """
    match unpack(frame):
        case [int(number), list(values)]:
            cls = _classes(len(message_types)).get(number)
            return None if cls is None else _check_of(cls)(values)
        case _:
            raise MalformedFrameError("the frame is not a number and fields")


def unpack(frame: bytes) -> Any:
    """Return the plain values of a frame.

    :raises MalformedFrameError: if the frame is not msgpack.
    """
    try:
        return msgpack.unpackb(frame, strict_map_key=True)
    except Exception as exc:
        raise MalformedFrameError(f"not msgpack: {type(exc).__name__}") from exc


@cache
def _classes(_: int) -> dict[int, type[Message]]:
    return {entry.value.number: entry.value for entry in message_types}


def _flatten(value: Any) -> Any:
    if isinstance(value, Enum):
        return value.value
    if isinstance(value, tuple):
        return [_flatten(item) for item in value]
    if dataclasses.is_dataclass(value):
        return [_flatten(getattr(value, name)) for name in _names(type(value))]
    return value


@cache
def _names(cls: type) -> tuple[str, ...]:
    return tuple(field.name for field in dataclasses.fields(cls))


@cache
def _check_of(hint: Any) -> Check:
    hint = getattr(hint, "__supertype__", hint)
    if hint in SCALARS:
        return lambda value: _exact(hint, value)
    if get_origin(hint) is tuple:
        item = _check_of(get_args(hint)[0])
        return lambda value: tuple(map(item, _exact(list, value)))
    if issubclass(hint, Enum):
        return lambda value: _member(hint, value)
    return _record_check(hint)


def _record_check(cls: type) -> Check:
    hints = get_type_hints(cls)
    checks = tuple(_check_of(hints[name]) for name in _names(cls))

    def check(values: Any) -> Any:
        # A newer sender may add fields, an older one leave out late fields.
        pairs = zip(checks, _exact(list, values), strict=False)
        try:
            return cls(*(one(value) for one, value in pairs))
        except TypeError as exc:
            raise MalformedFrameError(f"{cls.__name__} lacks fields") from exc

    return check


def _exact(kind: type, value: Any) -> Any:
    if type(value) is not kind:
        raise MalformedFrameError(f"{type(value).__name__} instead of {kind.__name__}")
    return value


def _member(kind: type[Enum], value: Any) -> Enum:
    try:
        return kind(value)
    except ValueError as exc:
        raise MalformedFrameError(f"unknown {kind.__name__}") from exc
