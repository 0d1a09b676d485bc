"""Resident memory of this process."""

from __future__ import annotations

import os
from pathlib import Path
from typing import final

STATM = Path("/proc/self/statm")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


@final
class SystemMemory:
    """Asks Linux for the resident memory, and the C library to trim its heap."""

    def resident_bytes(self) -> int:
        """Return the resident memory, or 0 if the system does not tell."""
        try:
            return int(STATM.read_text().split()[1]) * PAGE_BYTES
        except (OSError, IndexError, ValueError):
            return 0

    def trim(self) -> None:
        """Return unused memory of the heap to the system, if the C library can."""
        # Imported here, as most processes never need it.
        import ctypes

        trim = getattr(ctypes.CDLL(None), "malloc_trim", None)
        if trim is not None:
            trim(0)
