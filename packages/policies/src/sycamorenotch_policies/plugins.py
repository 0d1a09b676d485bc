"""Imports the modules of this package, whose decorators register policies."""

from __future__ import annotations

from sycamorenotch_kernel import import_private_modules

import_private_modules("sycamorenotch_policies")
import_private_modules("sycamorenotch_policies.work")
