"""Settings of a gateway, read from an INI file."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from datetime import timedelta
from itertools import chain
from typing import Annotated
from typing import Any
from typing import TypeVar
from typing import final

from pydantic import ConfigDict
from pydantic import Field

from sycamorenotch_documents import Address
from sycamorenotch_documents import Duration
from sycamorenotch_documents import InvalidFileError
from sycamorenotch_documents import Name
from sycamorenotch_documents import SectionKind
from sycamorenotch_documents import SectionModel
from sycamorenotch_documents import read_sections
from sycamorenotch_documents import section
from sycamorenotch_kernel import Placement
from sycamorenotch_kernel import Registry
from sycamorenotch_kernel import Resources
from sycamorenotch_policies.customers import KeyAgeLimits
from sycamorenotch_transport import ResponseLimits

GATEWAY_KINDS: Registry[SectionKind] = Registry("gateway settings section")

DEFAULT_LIMITS = ResponseLimits()

Label = Annotated[str, Field(min_length=1, max_length=253)]
# INI files hold numbers as text, so these are not strict.
Number = Annotated[float, Field(ge=0)]
Positive = Annotated[float, Field(gt=0)]
ByteCount = Annotated[int, Field(gt=0)]


class DeploymentSection(SectionModel):
    """Base of sections that hold what a platform states of a deployment.

    A plug-in registers one if a template can only list all that the platform states.
    Options that the plug-in does not know are ignored.
    """

    model_config = ConfigDict(extra="ignore", frozen=True)

    def machine_options(self) -> dict[str, Any]:
        """Return options of ``[machine]`` that the section states."""
        return {}

    def bounds_options(self) -> dict[str, Any]:
        """Return options of ``[bounds]`` that the section states."""
        return {}


D = TypeVar("D", bound=type[DeploymentSection])


def deployment_section(name: str) -> Callable[[D], D]:
    """Return a decorator that registers a :class:`DeploymentSection` by its title."""
    return section(GATEWAY_KINDS, name, named=False, required=False)


@section(GATEWAY_KINDS, "instance", named=False)
class InstanceSection(SectionModel):
    """``[instance]``: identifier and location of this instance."""

    id: Label
    region: Label
    data_centre: Label


@section(GATEWAY_KINDS, "data_centre")
class DataCentreSection(SectionModel):
    """``[data_centre NAME]``: a data centre and its region."""

    region: Label


@section(GATEWAY_KINDS, "listen", named=False)
class ListenSection(SectionModel):
    """``[listen]``: addresses that the gateway listens on."""

    callers: Address
    readiness: Address
    lookups: Address
    gossip: Address
    metrics: Address


@section(GATEWAY_KINDS, "platform", named=False)
class PlatformSection(SectionModel):
    """``[platform]``: the store, its adapter and the HTTP dialect.

    :param worker_choice: registered choice of workers for the requests of all services;
        ``automatic`` chooses by what the workers of each service state.
    """

    feed: Name
    dialect: Name
    store: Address
    worker_choice: Name = "automatic"


@section(GATEWAY_KINDS, "machine", named=False, required=False)
class MachineSection(SectionModel):
    """``[machine]``: resources of the machine that the instance may use.

    :param processor_share: fraction of the processor time.
    :param processor_speed: capacity of the processor, in cores.
    :param link_mbps: bandwidth in each direction, in Mbit/s.
    :param memory_mb: memory of the process, in megabytes.
    :param descriptors: open files and sockets of the process.
    """

    processor_share: Positive = 1.0
    processor_speed: Positive = 1.0
    link_mbps: Positive = 1000.0
    memory_mb: Positive = 300.0
    descriptors: Annotated[int, Field(gt=0)] = 4_096


@section(GATEWAY_KINDS, "bounds", named=False, required=False)
class BoundsSection(SectionModel):
    """``[bounds]``: limits agreed with callers and workers.

    :param grace: maximum time from the start of a shutdown to its end.
    :param answer_lifetime: maximum time to live of a look-up answer.
    :param stability_window: time after an outage of the store until the bounds on what
        an instance knows hold again.
    :param retry_ratio: retries allowed per request, over ``retry_window``.
    :param extra_retries: further retries in each ``retry_window``, for all instances
        together.
    :param fail_closed: whether keys are refused while the configuration may be older
        than ``revocation``.
    :param revocation: maximum time from a configuration that takes a key away until no
        request with that key runs.
    :param quota_window: time span in which a customer's quota holds.
    :param quota_overage: fraction by which a quota may be exceeded in that span.
    :param quota_slack: further requests in that span, for all instances together.
    """

    grace: Duration = timedelta(seconds=6)
    answer_lifetime: Duration = timedelta(seconds=5)
    stability_window: Duration = timedelta(seconds=4)
    retry_ratio: Number = 0.2
    retry_window: Duration = timedelta(seconds=10)
    extra_retries: Number = 50
    fail_closed: bool = False
    revocation: Duration = timedelta(seconds=5)
    quota_window: Duration = timedelta(seconds=5)
    quota_overage: Number = 0.1
    quota_slack: Number = 20


@section(GATEWAY_KINDS, "answers", named=False, required=False)
class AnswersSection(SectionModel):
    """``[answers]``: memory for answers of workers, peers and the store.

    :param max_bytes: maximum size of one answer's body.
    :param buffered_bytes: maximum size of all bodies in memory together.
    """

    max_bytes: ByteCount = DEFAULT_LIMITS.body_bytes
    buffered_bytes: ByteCount = DEFAULT_LIMITS.buffered_bytes


@section(GATEWAY_KINDS, "clients", named=False, required=False)
class ClientsSection(SectionModel):
    """``[clients]``: limits on callers, beside those of the configuration.

    :param pipelined_requests: requests of one connection that are handled at the same
        time.
    :param unread_timeout: time after which a client is closed that leaves responses
        unread and reads nothing.
    :param body_pause: time after which a request is refused whose body makes no
        progress; it may take twice as long.
    :param connections: open connections of all clients; 0 derives the limit from the
        machine's descriptors.
    :param max_bytes: bytes held for all clients together; 0 derives the limit from the
        machine's memory.
    """

    pipelined_requests: Annotated[int, Field(gt=0)] = 32
    unread_timeout: Duration = timedelta(seconds=10)
    body_pause: Duration = timedelta(seconds=30)
    connections: Annotated[int, Field(ge=0)] = 0
    max_bytes: Annotated[int, Field(ge=0)] = 0


@final
@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Validated settings of a gateway; addresses are ``IP:port``."""

    instance: str
    placement: Placement
    callers: str
    readiness: str
    lookups: str
    gossip: str
    metrics: str
    feed: str
    dialect: str
    store: str
    resources: Resources
    machine: MachineSection = field(default_factory=MachineSection)
    worker_choice: str = "automatic"
    bounds: BoundsSection = field(default_factory=BoundsSection)
    response_limits: ResponseLimits = field(default_factory=ResponseLimits)
    clients: ClientsSection = field(default_factory=ClientsSection)

    @property
    def key_age_limits(self) -> KeyAgeLimits | None:
        """Limits on the configuration's age; none if keys are trusted at any age."""
        if not self.bounds.fail_closed:
            return None
        return KeyAgeLimits(self.bounds.revocation.total_seconds())


def parse_gateway_settings(text: str) -> GatewaySettings:
    """Validate a settings file.

    :raises InvalidFileError: with every problem found.
    """
    found = read_sections(text, GATEWAY_KINDS)
    if found.problems:
        raise InvalidFileError(found.problems)
    sections = found.valid
    instance = sections["instance"][""]
    regions = {name: model.region for name, model in sections["data_centre"].items()}
    platform = sections["platform"][""]
    models = chain.from_iterable(named.values() for named in sections.values())
    stated = [model for model in models if isinstance(model, DeploymentSection)]
    machine = sections["machine"].get("", MachineSection())
    bounds = sections["bounds"].get("", BoundsSection())
    for model in stated:
        machine = machine.model_copy(update=model.machine_options())
        bounds = bounds.model_copy(update=model.bounds_options())
    answers = sections["answers"].get("", AnswersSection())
    return GatewaySettings(
        instance=instance.id,
        placement=Placement(instance.region, instance.data_centre, regions),
        **sections["listen"][""].model_dump(),
        feed=platform.feed,
        dialect=platform.dialect,
        store=platform.store,
        worker_choice=platform.worker_choice,
        resources=Resources(
            machine.processor_share * machine.processor_speed, machine.link_mbps
        ),
        machine=machine,
        bounds=bounds,
        response_limits=ResponseLimits(answers.max_bytes, answers.buffered_bytes),
        clients=sections["clients"].get("", ClientsSection()),
    )
