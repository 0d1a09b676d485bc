"""Types of INI options, with the parsers that validate them."""

from __future__ import annotations

import re
from collections.abc import Collection
from datetime import timedelta
from decimal import Decimal
from decimal import InvalidOperation
from ipaddress import ip_address
from ipaddress import ip_network
from typing import Annotated

from pydantic import BeforeValidator

from sycamorenotch_kernel import IPNetwork

_QUANTITY = re.compile(r"([0-9]+(?:\.[0-9]+)?)\s*([A-Za-z/%]+)")
_NAME = re.compile(r"[a-z][a-z0-9-]{0,62}")

_DURATION_UNITS = {
    "us": timedelta(microseconds=1),
    "ms": timedelta(milliseconds=1),
    "s": timedelta(seconds=1),
    "min": timedelta(minutes=1),
    "h": timedelta(hours=1),
    "d": timedelta(days=1),
}
_SIZE_UNITS = {"B": 1, "kB": 10**3, "MB": 10**6, "KiB": 2**10, "MiB": 2**20}
_RATE_UNITS = {"kbit/s": 10**3, "Mbit/s": 10**6, "Gbit/s": 10**9}


def _parse_quantity(text: str, units: Collection[str]) -> tuple[Decimal, str]:
    match = _QUANTITY.fullmatch(text.strip())
    accepted = ", ".join(units)
    if match is None or match.group(2) not in units:
        raise ValueError(f"a number with one of the units {accepted}")
    return Decimal(match.group(1)), match.group(2)


def parse_duration(text: str) -> timedelta:
    """Parse a duration such as ``250ms``.

    :raises ValueError: if the text is malformed; the message states what is
        accepted.
    """
    number, unit = _parse_quantity(text, _DURATION_UNITS)
    try:
        return _DURATION_UNITS[unit] * float(number)
    except OverflowError:
        raise ValueError("a duration of at most 999999999d") from None


def parse_share(text: str) -> float:
    """Parse a percentage from ``0%`` to ``100%`` into a share from 0 to 1.

    :raises ValueError: if the text is malformed or the percentage exceeds 100.
    """
    number, _ = _parse_quantity(text, {"%": 1})
    if number > 100:
        raise ValueError("a percentage from 0% to 100%")
    return float(number / 100)


def parse_size(text: str) -> int:
    """Parse a size such as ``20 kB`` into bytes.

    :raises ValueError: if the text is malformed.
    """
    number, unit = _parse_quantity(text, _SIZE_UNITS)
    return int(number * _SIZE_UNITS[unit])


def parse_rate(text: str) -> int:
    """Parse a rate such as ``4 Gbit/s`` into bits per second.

    :raises ValueError: if the text is malformed.
    """
    number, unit = _parse_quantity(text, _RATE_UNITS)
    return int(number * _RATE_UNITS[unit])


def parse_boolean(text: str) -> bool:
    """Parse ``yes`` or ``no``.

    :raises ValueError: if the text is neither.
    """
    if text not in ("yes", "no"):
        raise ValueError("yes or no")
    return text == "yes"


def parse_name(text: str) -> str:
    """Validate a name of lower-case letters, digits and hyphens.

    :raises ValueError: if the text is not such a name.
    """
    if _NAME.fullmatch(text) is None:
        raise ValueError(
            "a name of 1 to 63 lower-case letters, digits and hyphens that "
            "starts with a letter"
        )
    return text


def _split_items(text: str) -> tuple[str, ...]:
    return tuple(filter(None, (item.strip() for item in re.split(r"[,\n]", text))))


def parse_names(text: str) -> tuple[str, ...]:
    """Parse distinct names that are separated by commas or line breaks.

    :raises ValueError: if a name is malformed or repeated, or there is none.
    """
    return _require_unique(tuple(parse_name(item) for item in _split_items(text)))


def parse_networks(text: str) -> tuple[IPNetwork, ...]:
    """Parse IP networks that are separated by commas or line breaks.

    :raises ValueError: if a network is malformed.
    """
    try:
        return tuple(ip_network(item) for item in _split_items(text))
    except ValueError as exc:
        raise ValueError(f"IP networks such as 10.1.0.0/16 ({exc})") from None


def parse_address(text: str) -> str:
    """Validate an address of the form ``IP:port`` or ``[IPv6]:port``.

    :raises ValueError: if the text is not such an address.
    """
    host, colon, port = text.rpartition(":")
    try:
        ip_address(host.removeprefix("[").removesuffix("]"))
    except ValueError:
        colon = ""
    if not colon or not port.isascii() or not port.isdigit() or int(port) > 65535:
        raise ValueError("an IP address and a port, such as 10.1.0.5:8080")
    return text


def parse_addresses(text: str) -> tuple[str, ...]:
    """Parse distinct addresses that are separated by commas or line breaks.

    :raises ValueError: if an address is malformed or repeated, or there is none.
    """
    return _require_unique(tuple(parse_address(item) for item in _split_items(text)))


def parse_methods(text: str) -> frozenset[str]:
    """Parse HTTP methods that are separated by commas or line breaks.

    :raises ValueError: if a method is unknown or there is none.
    """
    known = {"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"}
    methods = frozenset(_split_items(text))
    if not methods or not methods <= known:
        raise ValueError(f"one or more of the methods {', '.join(sorted(known))}")
    return methods


def _require_unique(items: tuple[str, ...]) -> tuple[str, ...]:
    if not items or len(set(items)) != len(items):
        raise ValueError("at least one item and no duplicates")
    return items


def parse_whole(text: str) -> int:
    """Parse a positive integer of at most nine digits.

    :raises ValueError: if the text is not such a number.
    """
    if not (text.isascii() and text.isdigit() and len(text) <= 9 and int(text) > 0):
        raise ValueError("a whole number from 1 to 999999999")
    return int(text)


def parse_positive(text: str) -> float:
    """Parse a positive decimal number of at most 10**9.

    :raises ValueError: if the text is not such a number.
    """
    try:
        number = Decimal(text)
    except InvalidOperation:
        number = Decimal(0)
    if not number.is_finite() or not 0 < number <= 10**9:
        raise ValueError("a number greater than 0 and at most 1000000000")
    return float(number)


Duration = Annotated[timedelta, BeforeValidator(parse_duration)]
Share = Annotated[float, BeforeValidator(parse_share)]
Size = Annotated[int, BeforeValidator(parse_size)]
Rate = Annotated[int, BeforeValidator(parse_rate)]
Flag = Annotated[bool, BeforeValidator(parse_boolean)]
Name = Annotated[str, BeforeValidator(parse_name)]
Names = Annotated[tuple[str, ...], BeforeValidator(parse_names)]
Networks = Annotated[tuple[IPNetwork, ...], BeforeValidator(parse_networks)]
Address = Annotated[str, BeforeValidator(parse_address)]
Addresses = Annotated[tuple[str, ...], BeforeValidator(parse_addresses)]
Methods = Annotated[frozenset[str], BeforeValidator(parse_methods)]
Whole = Annotated[int, BeforeValidator(parse_whole)]
Positive = Annotated[float, BeforeValidator(parse_positive)]
