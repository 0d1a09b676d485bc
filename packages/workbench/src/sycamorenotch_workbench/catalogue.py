"""Writes the pages that list events, error kinds and design pages."""

from __future__ import annotations

from collections.abc import Iterable
from inspect import cleandoc
from pathlib import Path

from sycamorenotch_kernel import ANSWERS
from sycamorenotch_kernel import Event
from sycamorenotch_kernel import events
from sycamorenotch_kernel import load_plugins

DOCS = Path(__file__).parents[4] / "docs"
INDEXED_FOLDERS = ("design", "operations")
LINKS_TITLE = "## Pages on single matters"
OWN_PREFIX = "sycamorenotch_"

EVENTS_HEAD = """\
# Events

Every log message of a daemon is one of these numbered events. Numbers are never
used again. This page is written by `make docs` from the event classes; a test
compares it with the code. `docs/OPERATIONS.md` says what to type for those that
need a person.
"""
ERRORS_HEAD = """\
# Error kinds

Every error that a caller or an operator is given is of one of these kinds. The
answer is `application/problem+json` with `kind`, `ran` and `decision`. `ran` is
what the kind states unless the failure itself knows better: a call that was
not sent anywhere says `no`. This page is written by `make docs` from the table
in the kernel; a test compares it with the code.
"""


def events_page() -> str:
    """Return the catalogue of events."""
    rows = (
        _row(item.number, f"`{item.name}`", item.severity.value, _meaning(item))
        for item in sorted(_own_events(), key=lambda found: found.number)
    )
    head = _table(("number", "name", "severity", "meaning"))
    return "\n".join([EVENTS_HEAD, *head, *rows, ""])


def errors_page() -> str:
    """Return the table from error kind to answer."""
    rows = (
        _row(
            f"`{kind.value}`",
            answer.status,
            f"`{answer.ran.value}`",
            "yes" if answer.retryable else "no",
            answer.title,
        )
        for kind, answer in ANSWERS.items()
    )
    head = _table(("kind", "status", "ran", "may succeed later", "meaning"))
    return "\n".join([ERRORS_HEAD, *head, *rows, ""])


def linked_page(folder: str) -> str:
    """Return a folder's index page with a link to each page on a single matter.

    :param folder: name of the folder; that of the index in lower case.
    """
    text = (DOCS / f"{folder.upper()}.md").read_text()
    kept = text[: text.index(LINKS_TITLE)] + LINKS_TITLE
    links = (
        f"- [{_title(path)}]({folder}/{path.name})"
        for path in sorted((DOCS / folder).glob("*.md"))
    )
    return "\n".join([kept, "", *links, ""])


def _title(path: Path) -> str:
    return path.read_text().splitlines()[0].lstrip("# ")


def _own_events() -> Iterable[type[Event]]:
    return (e.value for e in events if e.module.startswith(OWN_PREFIX))


def _meaning(item: type[Event]) -> str:
    return cleandoc(item.__doc__ or "").partition("\n\n")[0].replace("\n", " ")


def _row(*cells: object) -> str:
    return "| " + " | ".join(map(str, cells)) + " |"


def _table(head: tuple[str, ...]) -> tuple[str, str]:
    return _row(*head), _row(*("---" for _ in head))


def main() -> None:
    """Write the pages."""
    load_plugins()
    (DOCS / "EVENTS.md").write_text(events_page())
    (DOCS / "ERRORS.md").write_text(errors_page())
    for folder in INDEXED_FOLDERS:
        (DOCS / f"{folder.upper()}.md").write_text(linked_page(folder))


if __name__ == "__main__":
    main()
