"""The operators' command line."""

from __future__ import annotations

from sycamorenotch_cli._client import OperatorsClient
from sycamorenotch_cli._commands import ExitCode
from sycamorenotch_cli._commands import Invocation
from sycamorenotch_cli._commands import Options

__all__ = ["ExitCode", "Invocation", "OperatorsClient", "Options"]
