"""The settings file of a daemon."""

from __future__ import annotations

from dataclasses import dataclass
from typing import final

from sycamorenotch_documents._fields import Address
from sycamorenotch_documents._fields import Name
from sycamorenotch_documents._fields import Whole
from sycamorenotch_documents._ini import InvalidFileError
from sycamorenotch_documents._ini import SectionKind
from sycamorenotch_documents._ini import SectionModel
from sycamorenotch_documents._ini import read_sections
from sycamorenotch_documents._ini import section
from sycamorenotch_kernel import Registry

SETTINGS_KINDS: Registry[SectionKind] = Registry("settings section")


@section(SETTINGS_KINDS, "instance", named=False)
class InstanceSection(SectionModel):
    """``[instance]``: identity and location of this instance."""

    id: Name
    environment: Name
    region: Name
    data_centre: Name


@section(SETTINGS_KINDS, "listen", named=False)
class ListenSection(SectionModel):
    """``[listen]``: addresses and endpoints of the daemon's listeners.

    The addresses are those that other processes connect to. The endpoints are
    Twisted endpoint strings, so that TLS needs no further option.
    """

    callers: Address
    peers: Address
    operators: Address = "127.0.0.1:0"
    callers_endpoint: str = ""
    peers_endpoint: str = ""
    operators_endpoint: str = ""


@section(SETTINGS_KINDS, "store", named=False)
class StoreSection(SectionModel):
    """``[store]``: connection to the platform's object API."""

    adapter: Name = "http"
    url: str = ""
    calls_per_second: Whole = 20


@section(SETTINGS_KINDS, "secrets", named=False)
class SecretsSection(SectionModel):
    """``[secrets]``: paths of the files that hold secrets."""

    operator_token_file: str
    peer_key_file: str = ""


@section(SETTINGS_KINDS, "log", named=False, required=False)
class LogSection(SectionModel):
    """``[log]``: path of the event log; standard error if empty."""

    file: str = ""


@final
@dataclass(frozen=True, slots=True)
class DaemonSettings:
    """Validated settings of a daemon.

    :param callers: ``IP:port`` of the listener for callers.
    :param peers: ``IP:port`` of the listener for peers.
    :param operators: ``IP:port`` of the listener for operators.
    :param callers_endpoint: Twisted endpoint string; empty to use the address.
    :param peers_endpoint: Twisted endpoint string; empty to use the address.
    :param operators_endpoint: Twisted endpoint string; empty to use the address.
    :param calls_per_second: rate limit of the daemon's calls to the store.
    :param operator_token_file: path of the file with the operators' bearer token.
    :param log_file: path of the event log; standard error if empty.
    """

    instance: str
    environment: str
    region: str
    data_centre: str
    callers: str
    peers: str
    operators: str
    callers_endpoint: str
    peers_endpoint: str
    operators_endpoint: str
    store_adapter: str
    store_url: str
    calls_per_second: int
    operator_token_file: str
    peer_key_file: str
    log_file: str


def parse_settings(text: str) -> DaemonSettings:
    """Validate a settings file.

    :param text: content of the INI file.
    :raises InvalidFileError: if the file has errors; it lists all of them.
    """
    result = read_sections(text, SETTINGS_KINDS)
    if result.problems:
        raise InvalidFileError(result.problems)
    sections = result.valid
    instance = sections["instance"][""]
    listen = sections["listen"][""]
    store = sections["store"][""]
    secrets = sections["secrets"][""]
    log = sections["log"].get("", LogSection())
    return DaemonSettings(
        instance=instance.id,
        environment=instance.environment,
        region=instance.region,
        data_centre=instance.data_centre,
        **listen.model_dump(),
        store_adapter=store.adapter,
        store_url=store.url,
        calls_per_second=store.calls_per_second,
        operator_token_file=secrets.operator_token_file,
        peer_key_file=secrets.peer_key_file,
        log_file=log.file,
    )
