"""Validation of INI files, section by section, with pydantic models."""

from __future__ import annotations

import configparser
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any
from typing import TypeVar
from typing import final

from pydantic import BaseModel
from pydantic import ConfigDict
from pydantic import ValidationError

from sycamorenotch_kernel import Registry

MAX_FILE_CHARACTERS = 1_000_000


class SectionModel(BaseModel):
    """Base class of section models; an unknown option is an error."""

    model_config = ConfigDict(extra="forbid", frozen=True)


@final
@dataclass(frozen=True, slots=True)
class Problem:
    """One error in a file.

    :param section: title of the section; empty if it concerns the whole file.
    :param option: name of the option; empty if it concerns the whole section.
    :param value: rejected text.
    :param accepted: what is accepted in place of the value.
    """

    section: str
    option: str
    value: str
    accepted: str

    def __str__(self) -> str:
        place = f"[{self.section}] {self.option}".strip()
        return f"{place}: {self.value!r} is not accepted; expected {self.accepted}"


@final
class InvalidFileError(ValueError):
    """Raised when a file has errors; the message lists all of them.

    :param problems: the errors, in the order in which they were found.
    """

    def __init__(self, problems: tuple[Problem, ...]) -> None:
        super().__init__("\n".join(map(str, problems)))
        self.problems = problems


@final
@dataclass(frozen=True, slots=True)
class SectionKind:
    """A kind of section, with the title ``[kind]`` or ``[kind name]``.

    :param model: model that validates the options of a section.
    :param named: whether the title of each section has a name.
    :param required: whether the file must have at least one section.
    """

    model: type[SectionModel]
    named: bool = True
    required: bool = True


M = TypeVar("M", bound=type[SectionModel])


def section(
    kinds: Registry[SectionKind],
    name: str,
    *,
    named: bool = True,
    required: bool = True,
) -> Callable[[M], M]:
    """Return a decorator that registers a model as a kind of section.

    :param kinds: registry of the section kinds of one type of file.
    :param name: first word of the section title.
    :param named: whether the title of each section has a name.
    :param required: whether the file must have at least one section.
    """

    def decorate(model: M) -> M:
        kinds.add(name, SectionKind(model, named, required), model.__module__)
        return model

    return decorate


Sections = Mapping[str, Mapping[str, Any]]


@final
@dataclass(frozen=True, slots=True)
class SectionsRead:
    """The result of reading a file.

    :param valid: models of the valid sections by kind and name.
    :param present: names of all sections by kind, including invalid sections.
    :param problems: the errors found.
    """

    valid: Sections
    present: Mapping[str, frozenset[str]]
    problems: tuple[Problem, ...]


def read_sections(text: str, kinds: Registry[SectionKind]) -> SectionsRead:
    """Validate every section of an INI file.

    :param text: content of the file.
    :param kinds: accepted kinds of section.
    """
    parser, problems = _parse(text)
    if problems:
        empty: Sections = {entry.name: {} for entry in kinds}
        return SectionsRead(empty, {}, tuple(problems))
    titles = [title.partition(" ") for title in parser.sections()]
    valid: dict[str, dict[str, Any]] = {entry.name: {} for entry in kinds}
    for kind_name, space, name in titles:
        title = kind_name + space + name
        values = dict(parser[title])
        result = _read_section(title, kind_name, name, values, kinds)
        if isinstance(result, SectionModel):
            valid[kind_name][name] = result
        else:
            problems.extend(result)
    problems.extend(_missing_sections(parser, kinds))
    present = {
        entry.name: frozenset(name for kind, _, name in titles if kind == entry.name)
        for entry in kinds
    }
    return SectionsRead(valid, present, tuple(problems))


def _read_section(
    title: str,
    kind_name: str,
    name: str,
    values: dict[str, str],
    kinds: Registry[SectionKind],
) -> SectionModel | tuple[Problem, ...]:
    if kind_name not in kinds:
        known = ", ".join(entry.name for entry in kinds)
        return (Problem(title, "", title, f"one of the sections {known}"),)
    kind = kinds.get(kind_name)
    if bool(name) != kind.named:
        form = f"[{kind_name} NAME]" if kind.named else f"[{kind_name}]"
        return (Problem(title, "", title, f"a title of the form {form}"),)
    try:
        return kind.model.model_validate(values)
    except ValidationError as exc:
        return tuple(_validation_problems(title, values, kind.model, exc))


def _parse(text: str) -> tuple[configparser.ConfigParser, list[Problem]]:
    parser = configparser.ConfigParser(
        interpolation=None, default_section="", empty_lines_in_values=False
    )
    if len(text) > MAX_FILE_CHARACTERS:
        size = f"{len(text)} characters"
        return parser, [
            Problem("", "", size, f"at most {MAX_FILE_CHARACTERS} characters")
        ]
    try:
        parser.read_string(text)
    except (configparser.Error, ValueError) as exc:
        first_line = str(exc).splitlines()[0]
        return parser, [Problem("", "", first_line, "a valid INI file")]
    return parser, []


def _missing_sections(
    parser: configparser.ConfigParser, kinds: Registry[SectionKind]
) -> Iterator[Problem]:
    present = {title.partition(" ")[0] for title in parser.sections()}
    for entry in kinds:
        if entry.value.required and entry.name not in present:
            form = f"{entry.name} NAME" if entry.value.named else entry.name
            yield Problem(form, "", "", f"a section [{form}]")


def _validation_problems(
    title: str, values: dict[str, str], model: type[SectionModel], exc: ValidationError
) -> Iterator[Problem]:
    for error in exc.errors():
        option = ".".join(str(part) for part in error["loc"][:1])
        if error["type"] == "extra_forbidden":
            accepted = "one of the options " + ", ".join(sorted(model.model_fields))
        elif error["type"] == "missing":
            accepted = "a value"
        else:
            accepted = error["msg"].removeprefix("Value error, ")
        yield Problem(title, option, values.get(option, ""), accepted)
