"""Encoding of messages between daemons in msgpack; validated when decoded."""

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

Decoder = Callable[[Any], Any]


class MalformedFrameError(ValueError):
    """A frame is not a valid message of the protocol."""


def encode_message(message: Message) -> bytes:
    """Encode a message as its number and its fields in order of definition."""
    return msgpack.packb([message.number, _to_plain(message)])  # type: ignore[no-any-return]


def decode_message(frame: bytes) -> Message | None:
    """Decode a frame; return None if the message type is unknown.

    :raises MalformedFrameError: if the frame is not a valid message.
    """
    match unpack(frame):
        case [int(number), list(values)]:
            cls = _message_classes(len(message_types)).get(number)
            return None if cls is None else _decoder_for(cls)(values)
        case _:
            raise MalformedFrameError("the frame is not a message number and a list")


def unpack(frame: bytes) -> Any:
    """Decode the msgpack value of a frame.

    :raises MalformedFrameError: if the frame is not msgpack.
    """
    try:
        return msgpack.unpackb(frame, strict_map_key=True)
    except Exception as exc:
        raise MalformedFrameError(
            f"the frame is not msgpack: {type(exc).__name__}"
        ) from exc


@cache
def _message_classes(_: int) -> dict[int, type[Message]]:
    # The number of registered types is the cache key; types may be added later.
    return {entry.value.number: entry.value for entry in message_types}


def _to_plain(value: Any) -> Any:
    if isinstance(value, Enum):
        return value.value
    if isinstance(value, tuple):
        return [_to_plain(item) for item in value]
    if dataclasses.is_dataclass(value):
        return [_to_plain(getattr(value, name)) for name in _field_names(type(value))]
    return value


@cache
def _field_names(cls: type) -> tuple[str, ...]:
    return tuple(field.name for field in dataclasses.fields(cls))


@cache
def _decoder_for(hint: Any) -> Decoder:
    hint = getattr(hint, "__supertype__", hint)
    if hint in SCALARS:
        return lambda value: _require_type(hint, value)
    if get_origin(hint) is tuple:
        item = _decoder_for(get_args(hint)[0])
        return lambda value: tuple(map(item, _require_type(list, value)))
    if issubclass(hint, Enum):
        return lambda value: _decode_enum(hint, value)
    return _dataclass_decoder(hint)


def _dataclass_decoder(cls: type) -> Decoder:
    hints = get_type_hints(cls)
    decoders = tuple(_decoder_for(hints[name]) for name in _field_names(cls))

    def decode_fields(values: Any) -> Any:
        # A newer sender may append fields; an older one may omit trailing fields.
        pairs = zip(decoders, _require_type(list, values), strict=False)
        try:
            return cls(*(decode(value) for decode, value in pairs))
        except TypeError as exc:
            raise MalformedFrameError(f"missing fields of {cls.__name__}") from exc

    return decode_fields


def _require_type(kind: type, value: Any) -> Any:
    if type(value) is not kind:
        raise MalformedFrameError(
            f"a {type(value).__name__} instead of {kind.__name__}"
        )
    return value


def _decode_enum(kind: type[Enum], value: Any) -> Enum:
    try:
        return kind(value)
    except ValueError as exc:
        raise MalformedFrameError(f"unknown value of {kind.__name__}") from exc
