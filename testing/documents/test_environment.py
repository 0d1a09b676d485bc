"""Tests of parsing the environment document."""

from __future__ import annotations

from pathlib import Path

import pytest

from sycamorenotch_documents import InvalidFileError
from sycamorenotch_documents import parse_environment

EXAMPLES = Path(__file__).parents[2] / "examples"


@pytest.mark.parametrize(
    ("name", "workers"),
    [
        pytest.param(
            "vatukoula",
            {"balance": 16, "issuing": 12, "redemption": 12},
            id="vatukoula",
        ),
        pytest.param(
            "lacteos", {"recipe": 14, "panel": 12, "release": 12}, id="lacteos"
        ),
    ],
)
def test_parse_finds_workers_of_each_service_when_document_is_an_example(
    name: str, workers: dict[str, int]
) -> None:
    environment = parse_environment((EXAMPLES / f"{name}.ini").read_text())
    found = {s: len(environment.workers_of(s)) for s in environment.services}
    assert found == workers


def test_parse_reports_every_mistake_when_there_are_five() -> None:
    text = (EXAMPLES / "vatukoula.ini").read_text()
    mistakes = {
        "cap = 10%": "cap = 10",
        "drain = 30s": "drain = thirty",
        "rank = deferrable": "rank = lowest",
        "budget = 4 Gbit/s": "budget = 4 Gbit/s\ncolour = red",
        "service = redemption\ndata_centre = suva": (
            "service = redemption\ndata_centre = suwa"
        ),
    }
    for right, wrong in mistakes.items():
        assert right in text
        text = text.replace(right, wrong, 1)
    with pytest.raises(InvalidFileError) as caught:
        parse_environment(text)
    options = sorted(problem.option for problem in caught.value.problems)
    assert options == ["cap", "colour", "data_centre", "drain", "rank"]
