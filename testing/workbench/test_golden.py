"""Tests that compare scripted sessions with their golden records."""

from __future__ import annotations

import pytest

from sycamorenotch_workbench import _golden_sessions
from sycamorenotch_workbench._golden_record import golden_sessions
from sycamorenotch_workbench._golden_record import record
from sycamorenotch_workbench.golden import GOLDEN_FILES

SESSIONS = [entry.name for entry in golden_sessions]


@pytest.mark.parametrize("name", SESSIONS)
def test_record_is_unchanged_when_session_is_repeated(name: str) -> None:
    expected = (GOLDEN_FILES / f"{name}.txt").read_text()
    assert record(name) == expected, "run 'make golden' and read the difference"


def test_every_record_belongs_to_a_session() -> None:
    assert _golden_sessions.__name__ in {entry.module for entry in golden_sessions}
    assert sorted(path.stem for path in GOLDEN_FILES.iterdir()) == SESSIONS
