"""Property-based tests of parsing environment documents and settings."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sycamorenotch_documents import InvalidFileError
from sycamorenotch_documents import parse_environment
from sycamorenotch_documents import parse_settings

EXAMPLES = Path(__file__).parents[2] / "examples"
LINES = (EXAMPLES / "vatukoula.ini").read_text().splitlines()
VALUES = st.one_of(
    st.text(max_size=30),
    st.sampled_from(["-1s", "1e9d", "0", "101%", "nan", "10.0.0.0/33", "a, a", "[]"]),
)


def assert_clear_error(parse: Callable[[str], object], text: str) -> None:
    try:
        parse(text)
    except InvalidFileError as exc:
        assert exc.problems
        assert all(problem.accepted for problem in exc.problems)


@pytest.mark.parametrize("parse", [parse_environment, parse_settings])
@given(text=st.text(max_size=300))
def test_parse_gives_a_clear_error_when_text_is_random(
    parse: Callable[[str], object], text: str
) -> None:
    assert_clear_error(parse, text)


@given(number=st.integers(0, len(LINES) - 1), value=VALUES)
def test_parse_gives_a_clear_error_when_one_value_is_random(
    number: int, value: str
) -> None:
    option, equals, _ = LINES[number].partition(" = ")
    changed = f"{option}{equals}{value}" if equals else value
    lines = [*LINES[:number], changed, *LINES[number + 1 :]]
    assert_clear_error(parse_environment, "\n".join(lines))


@given(number=st.integers(0, len(LINES) - 1))
def test_parse_gives_a_clear_error_when_a_line_is_missing(number: int) -> None:
    lines = [*LINES[:number], *LINES[number + 1 :]]
    assert_clear_error(parse_environment, "\n".join(lines))
