"""Validated models of the environment document and of the daemon settings."""

from __future__ import annotations

from sycamorenotch_documents._environment import parse_environment
from sycamorenotch_documents._fields import Address
from sycamorenotch_documents._fields import Duration
from sycamorenotch_documents._fields import Name
from sycamorenotch_documents._fields import parse_duration
from sycamorenotch_documents._ini import InvalidFileError
from sycamorenotch_documents._ini import Problem
from sycamorenotch_documents._ini import SectionKind
from sycamorenotch_documents._ini import SectionModel
from sycamorenotch_documents._ini import read_sections
from sycamorenotch_documents._ini import section
from sycamorenotch_documents._settings import DaemonSettings
from sycamorenotch_documents._settings import parse_settings

__all__ = [
    "Address",
    "DaemonSettings",
    "Duration",
    "InvalidFileError",
    "Name",
    "Problem",
    "SectionKind",
    "SectionModel",
    "parse_duration",
    "parse_environment",
    "parse_settings",
    "read_sections",
    "section",
]
