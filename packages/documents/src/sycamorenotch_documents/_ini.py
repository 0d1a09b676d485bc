"""INI files checked section by section against pydantic models."""

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

MAXIMUM_FILE_BYTES = 1_000_000


class SectionModel(BaseModel):
    """Base class of section models; unknown options are errors."""

    model_config = ConfigDict(extra="forbid", frozen=True)


@final
@dataclass(frozen=True, slots=True)
class Problem:
    """One mistake in a file.

    :param accepted: what would be accepted in place of the value.
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
    """A file has mistakes; all of them are listed."""

    def __init__(self, problems: tuple[Problem, ...]) -> None:
        super().__init__("\n".join(map(str, problems)))
        self.problems = problems


@final
@dataclass(frozen=True, slots=True)
class SectionKind:
    """A kind of section, written ``[kind]`` or ``[kind name]``.

    :param named: whether each section carries a name.
    :param required: whether at least one section must be present.
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

    :param kinds: registry of the file that the section belongs to.
    :param name: first word of the section's title.
    :param named: whether each section carries a name.
    :param required: whether at least one section must be present.
    """

    def decorate(model: M) -> M:
        kinds.add(name, SectionKind(model, named, required), model.__module__)
        return model

    return decorate


Sections = Mapping[str, Mapping[str, Any]]


@final
@dataclass(frozen=True, slots=True)
class SectionsRead:
    """What was found in a file.

    :param valid: the valid models by kind and name.
    :param present: names of all sections by kind, invalid ones too.
    """

    valid: Sections
    present: Mapping[str, frozenset[str]]
    problems: tuple[Problem, ...]


def read_sections(text: str, kinds: Registry[SectionKind]) -> SectionsRead:
    """Validate every section of an INI text.

    :param text: the whole file.
    :param kinds: the accepted kinds of section.
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
    problems.extend(_missing(parser, kinds))
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
        return (Problem(title, "", title, f"a section out of {known}"),)
    kind = kinds.get(kind_name)
    if bool(name) != kind.named:
        form = f"[{kind_name} NAME]" if kind.named else f"[{kind_name}]"
        return (Problem(title, "", title, f"the form {form}"),)
    try:
        return kind.model.model_validate(values)
    except ValidationError as exc:
        return tuple(_problems(title, values, kind.model, exc))


def _parse(text: str) -> tuple[configparser.ConfigParser, list[Problem]]:
    parser = configparser.ConfigParser(
        interpolation=None, default_section="", empty_lines_in_values=False
    )
    if len(text) > MAXIMUM_FILE_BYTES:
        size = f"{len(text)} characters"
        return parser, [Problem("", "", size, f"at most {MAXIMUM_FILE_BYTES}")]
    try:
        parser.read_string(text)
    except (configparser.Error, ValueError) as exc:
        first_line = str(exc).splitlines()[0]
        return parser, [Problem("", "", first_line, "an INI file")]
    return parser, []


def _missing(
    parser: configparser.ConfigParser, kinds: Registry[SectionKind]
) -> Iterator[Problem]:
    present = {title.partition(" ")[0] for title in parser.sections()}
    for entry in kinds:
        if entry.value.required and entry.name not in present:
            form = f"{entry.name} NAME" if entry.value.named else entry.name
            yield Problem(form, "", "", f"a section [{form}]")


def _problems(
    title: str, values: dict[str, str], model: type[SectionModel], exc: ValidationError
) -> Iterator[Problem]:
    for error in exc.errors():
        option = ".".join(str(part) for part in error["loc"][:1])
        if error["type"] == "extra_forbidden":
            accepted = "an option out of " + ", ".join(sorted(model.model_fields))
        elif error["type"] == "missing":
            accepted = "a value"
        else:
            accepted = error["msg"].removeprefix("Value error, ")
        yield Problem(title, option, values.get(option, ""), accepted)
