"""Imports the modules that register components of the gateway."""

from __future__ import annotations

from sycamorenotch_kernel import import_private_modules

import_private_modules("sycamorenotch_gateway")
