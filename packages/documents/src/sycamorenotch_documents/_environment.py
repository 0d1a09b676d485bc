"""The environment document: section models and translation to kernel types."""

from __future__ import annotations

from collections.abc import Iterator
from datetime import timedelta
from itertools import chain
from itertools import pairwise
from typing import Any
from typing import cast

from pydantic import field_validator

from sycamorenotch_documents._fields import Addresses
from sycamorenotch_documents._fields import Duration
from sycamorenotch_documents._fields import Flag
from sycamorenotch_documents._fields import Methods
from sycamorenotch_documents._fields import Name
from sycamorenotch_documents._fields import Names
from sycamorenotch_documents._fields import Networks
from sycamorenotch_documents._fields import Positive
from sycamorenotch_documents._fields import Rate
from sycamorenotch_documents._fields import Share
from sycamorenotch_documents._fields import Size
from sycamorenotch_documents._fields import Whole
from sycamorenotch_documents._fields import parse_name
from sycamorenotch_documents._ini import InvalidFileError
from sycamorenotch_documents._ini import Problem
from sycamorenotch_documents._ini import SectionKind
from sycamorenotch_documents._ini import SectionModel
from sycamorenotch_documents._ini import Sections
from sycamorenotch_documents._ini import SectionsRead
from sycamorenotch_documents._ini import read_sections
from sycamorenotch_documents._ini import section
from sycamorenotch_kernel import REGISTRIES
from sycamorenotch_kernel import Bounds
from sycamorenotch_kernel import Environment
from sycamorenotch_kernel import Link
from sycamorenotch_kernel import Objective
from sycamorenotch_kernel import Rank
from sycamorenotch_kernel import RankPolicy
from sycamorenotch_kernel import Region
from sycamorenotch_kernel import Registry
from sycamorenotch_kernel import Route
from sycamorenotch_kernel import Service
from sycamorenotch_kernel import ShiftPolicy
from sycamorenotch_kernel import Worker
from sycamorenotch_kernel import document_sections

RANKS_BY_LABEL = {rank.label: rank for rank in Rank}


def _rank_with_label(label: str) -> Rank:
    if label not in RANKS_BY_LABEL:
        raise ValueError("one of the ranks " + ", ".join(RANKS_BY_LABEL))
    return RANKS_BY_LABEL[label]


SECTION_KINDS = cast("Registry[SectionKind]", document_sections)


class _RankedSection(SectionModel):
    rank: Rank

    @field_validator("rank", mode="before")
    @classmethod
    def _parse_rank(cls, value: str) -> Rank:
        return _rank_with_label(value)


@section(SECTION_KINDS, "environment", named=False)
class EnvironmentSection(SectionModel):
    """``[environment]``: the organisation that runs the environment."""

    operator: str


@section(SECTION_KINDS, "shift", named=False)
class ShiftSection(SectionModel):
    """``[shift]``: the limit on traffic that moves between regions."""

    cap: Share
    window: Duration


@section(SECTION_KINDS, "bounds", named=False)
class BoundsSection(SectionModel):
    """``[bounds]``: time bounds that operators configure."""

    answer_lifetime: Duration
    leaving: Duration
    drain: Duration
    claim_lifetime: Duration
    stale_after: Duration
    cold_start: Duration


@section(SECTION_KINDS, "policies", named=False, required=False)
class PoliciesSection(SectionModel):
    """``[policies]``: the registered policies in use."""

    steering: Name = "headroom"
    choice: Name = "two-choices"
    admission: Name = "ranked"
    retry: Name = "budgeted"


@section(SECTION_KINDS, "rank")
class RankSection(SectionModel):
    """``[rank NAME]``: value and reserved capacity of a rank."""

    worth: Positive
    floor: Share
    deadline: Duration


@section(SECTION_KINDS, "region")
class RegionSection(SectionModel):
    """``[region NAME]``: a region, its data centres and client networks."""

    data_centres: Names
    client_latency: Duration
    internal_latency: Duration
    client_blocks: Networks = ()


@section(SECTION_KINDS, "link", required=False)
class LinkSection(SectionModel):
    """``[link NAME]``: a link, whose budget applies to each direction."""

    between: Names
    latency: Duration
    budget: Rate

    @field_validator("between")
    @classmethod
    def _require_two_regions(cls, value: tuple[str, ...]) -> tuple[str, ...]:
        if len(value) != 2:
            raise ValueError("exactly two regions")
        return value


@section(SECTION_KINDS, "service")
class ServiceSection(SectionModel):
    """``[service NAME]``: a service that callers can look up."""

    service_time: Duration
    answer_size: Size


@section(SECTION_KINDS, "route")
class RouteSection(_RankedSection):
    """``[route NAME]``: a path prefix of a service."""

    service: Name
    prefix: str
    methods: Methods
    idempotent: Flag

    @field_validator("prefix")
    @classmethod
    def _require_absolute_path(cls, value: str) -> str:
        if not value.startswith("/"):
            raise ValueError("a path that starts with /")
        return value


@section(SECTION_KINDS, "workers")
class WorkersSection(SectionModel):
    """``[workers NAME]``: identical workers of a service in one data centre."""

    service: Name
    data_centre: Name
    addresses: Addresses
    slots: Whole
    connections: Whole
    connection_cost: Duration


@section(SECTION_KINDS, "objective", required=False)
class ObjectiveSection(_RankedSection):
    """``[objective NAME]``: a service-level objective."""

    service: Name
    availability: Share
    latency: Duration
    latency_share: Share


def parse_environment(text: str) -> Environment:
    """Validate an environment document.

    :param text: content of the INI file.
    :raises InvalidFileError: if the document has errors; it lists all of them.
    """
    result = read_sections(text, SECTION_KINDS)
    problems = (*result.problems, *_cross_check(result))
    if problems:
        raise InvalidFileError(problems)
    return _translate(result.valid)


def _cross_check(result: SectionsRead) -> Iterator[Problem]:
    sections = result.valid
    yield from _check_names(sections)
    yield from _check_ranks(result)
    yield from _check_references(result)
    yield from _check_blocks(sections)
    yield from _check_data_centres(sections)
    yield from _check_policies(sections)


def _check_names(sections: Sections) -> Iterator[Problem]:
    for kind, name in ((k, n) for k, named in sections.items() for n in named if n):
        try:
            parse_name(name)
        except ValueError as exc:
            yield Problem(f"{kind} {name}", "", name, str(exc))


def _check_ranks(result: SectionsRead) -> Iterator[Problem]:
    ranks = result.valid["rank"]
    present = result.present.get("rank", frozenset())
    for name in ranks:
        if name not in RANKS_BY_LABEL:
            accepted = "one of the ranks " + ", ".join(RANKS_BY_LABEL)
            yield Problem(f"rank {name}", "", name, accepted)
    if present:
        for label in sorted(RANKS_BY_LABEL.keys() - present):
            yield Problem(f"rank {label}", "", "", f"a section [rank {label}]")
    total = sum(model.floor for model in ranks.values())
    if total > 1:
        yield Problem(
            "rank", "floor", f"{total:.0%}", "floors that sum to at most 100%"
        )


def _check_references(result: SectionsRead) -> Iterator[Problem]:
    services = result.present.get("service", frozenset())
    regions = result.present.get("region", frozenset())
    yield from _unknown_names(result.valid, "route", "service", services)
    yield from _unknown_names(result.valid, "workers", "service", services)
    yield from _unknown_names(result.valid, "objective", "service", services)
    yield from _unknown_names(result.valid, "link", "between", regions)
    # The data centres of an invalid region are unknown, so references to data
    # centres can only be checked if every region is valid.
    if len(result.valid["region"]) == len(regions):
        centres = frozenset(
            chain.from_iterable(
                model.data_centres for model in result.valid["region"].values()
            )
        )
        yield from _unknown_names(result.valid, "workers", "data_centre", centres)


def _unknown_names(
    sections: Sections, kind: str, option: str, known: frozenset[str]
) -> Iterator[Problem]:
    accepted = "one of " + (", ".join(sorted(known)) or "none")
    for title, model in sections[kind].items():
        value = getattr(model, option)
        names = (value,) if isinstance(value, str) else value
        yield from (
            Problem(f"{kind} {title}", option, name, accepted)
            for name in names
            if name not in known
        )


def _check_blocks(sections: Sections) -> Iterator[Problem]:
    owners = sorted(
        (
            (block, name)
            for name, model in sections["region"].items()
            for block in model.client_blocks
        ),
        key=lambda pair: (pair[0].version, pair[0].network_address, pair[0].prefixlen),
    )
    for (first, _), (second, name) in pairwise(owners):
        if first.version == second.version and first.overlaps(second):
            accepted = f"blocks that do not overlap {first}"
            yield Problem(f"region {name}", "client_blocks", str(second), accepted)


def _check_data_centres(sections: Sections) -> Iterator[Problem]:
    seen: dict[str, str] = {}
    for name, model in sections["region"].items():
        for data_centre in model.data_centres:
            if data_centre in seen:
                accepted = (
                    f"a data centre that region {seen[data_centre]} does not list"
                )
                yield Problem(f"region {name}", "data_centres", data_centre, accepted)
            seen[data_centre] = name


def _check_policies(sections: Sections) -> Iterator[Problem]:
    kinds = {
        "steering": "steering policy",
        "choice": "upstream choice",
        "admission": "admission discipline",
        "retry": "retry rule",
    }
    registries = {registry.kind: registry for registry in REGISTRIES}
    for model in sections["policies"].values():
        for option, kind in kinds.items():
            registry, value = registries[kind], getattr(model, option)
            if len(registry) and value not in registry:
                known = "one of " + ", ".join(entry.name for entry in registry)
                yield Problem("policies", option, value, known)


def _translate(sections: Sections) -> Environment:
    policies = sections["policies"].get("", PoliciesSection())
    bounds = sections["bounds"][""]
    return Environment(
        operator=sections["environment"][""].operator,
        shift=ShiftPolicy(**sections["shift"][""].model_dump()),
        bounds=Bounds(**bounds.model_dump()),
        ranks={
            _rank_with_label(name): RankPolicy(
                rank=_rank_with_label(name), **model.model_dump()
            )
            for name, model in sections["rank"].items()
        },
        regions={
            name: Region(name=name, **dict(model))
            for name, model in sections["region"].items()
        },
        links=_links(sections),
        services={
            name: Service(name=name, **model.model_dump())
            for name, model in sections["service"].items()
        },
        routes=tuple(
            Route(name=name, **dict(model)) for name, model in sections["route"].items()
        ),
        workers=_workers(sections),
        objectives=tuple(
            Objective(**dict(model)) for model in sections["objective"].values()
        ),
        policies=policies.model_dump(),
    )


def _links(sections: Sections) -> dict[tuple[str, str], Link]:
    return {
        (source, target): Link(source, target, model.latency, model.budget)
        for model in sections["link"].values()
        for source, target in (model.between, model.between[::-1])
    }


def _workers(sections: Sections) -> dict[str, Worker]:
    region_of = {
        data_centre: name
        for name, model in sections["region"].items()
        for data_centre in model.data_centres
    }
    workers = (
        _worker(f"{group}-{index}", address, model, region_of[model.data_centre])
        for group, model in sections["workers"].items()
        for index, address in enumerate(model.addresses, start=1)
    )
    return {worker.name: worker for worker in workers}


def _worker(name: str, address: str, model: Any, region: str) -> Worker:
    connection_cost: timedelta = model.connection_cost
    return Worker(
        name=name,
        service=model.service,
        region=region,
        data_centre=model.data_centre,
        address=address,
        slots=model.slots,
        connections=model.connections,
        connection_cost=connection_cost,
    )
