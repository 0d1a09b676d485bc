"""The daemon that runs on each instance."""

from __future__ import annotations

from sycamorenotch_daemon._build import ProcessDependencies
from sycamorenotch_daemon._build import build_daemon
from sycamorenotch_daemon._clock import ReactorClock
from sycamorenotch_daemon._daemon import Daemon
from sycamorenotch_daemon._node import Node

__all__ = ["Daemon", "Node", "ProcessDependencies", "ReactorClock", "build_daemon"]
