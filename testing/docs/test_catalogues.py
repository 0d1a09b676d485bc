"""Tests that the documentation agrees with the code."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

from sycamorenotch_cli import ExitCode
from sycamorenotch_kernel import ANSWERS
from sycamorenotch_kernel import ErrorKind
from sycamorenotch_kernel import commands
from sycamorenotch_kernel import events
from sycamorenotch_workbench.catalogue import INDEXED_FOLDERS
from sycamorenotch_workbench.catalogue import errors_page
from sycamorenotch_workbench.catalogue import events_page
from sycamorenotch_workbench.catalogue import linked_page

ROOT = Path(__file__).parents[2]
DOCS = ROOT / "docs"
OUTDATED_PAGE = "the page is out of date; run 'make docs' and commit the result"
COMMAND_PATTERN = re.compile(r"sycamorenotch ([a-z]+)")


def test_event_catalogue_equals_code() -> None:
    assert (DOCS / "EVENTS.md").read_text() == events_page(), OUTDATED_PAGE


def test_error_table_equals_code() -> None:
    assert (DOCS / "ERRORS.md").read_text() == errors_page(), OUTDATED_PAGE


def test_every_error_kind_has_an_answer() -> None:
    assert set(ANSWERS) == set(ErrorKind)


def test_every_event_has_a_meaning() -> None:
    assert all(entry.value.__doc__ for entry in events)


@pytest.mark.parametrize("code", list(ExitCode))
def test_exit_code_is_documented(code: ExitCode) -> None:
    assert f"| {code.value} | {code.name} |" in (DOCS / "OPERATIONS.md").read_text()


@pytest.mark.parametrize("page", ["README.md", "docs/OPERATIONS.md"])
def test_documented_command_exists(page: str) -> None:
    blocks = re.findall(r"^(?:    |\$ ).*", (ROOT / page).read_text(), re.M)
    shown = {name for block in blocks for name in COMMAND_PATTERN.findall(block)}
    assert shown
    assert shown <= {entry.name for entry in commands}


@pytest.mark.parametrize(
    "number", re.findall(r"^### (\d{4}) ", (DOCS / "OPERATIONS.md").read_text(), re.M)
)
def test_documented_alert_is_a_known_event(number: str) -> None:
    assert number in events


@pytest.mark.parametrize("folder", INDEXED_FOLDERS)
def test_index_links_every_page_of_folder(folder: str) -> None:
    assert (DOCS / f"{folder.upper()}.md").read_text() == linked_page(folder), (
        OUTDATED_PAGE
    )
