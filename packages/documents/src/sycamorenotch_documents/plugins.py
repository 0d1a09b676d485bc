"""Plug-in module that registers the sections of documents and settings."""

from __future__ import annotations

from sycamorenotch_kernel import import_private_modules

import_private_modules("sycamorenotch_documents")
