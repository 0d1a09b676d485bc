"""Plug-in entry point; importing it registers the parts of the daemon."""

from __future__ import annotations

from sycamorenotch_kernel import import_private_modules

import_private_modules("sycamorenotch_daemon")
