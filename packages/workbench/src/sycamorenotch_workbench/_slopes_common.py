"""Helpers shared by the scaling measurements."""

from __future__ import annotations

import gc
import os
import time
from collections.abc import Callable
from collections.abc import Sequence
from pathlib import Path
from typing import Any

PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
RESIDENT_FIELD = 1
MICROSECONDS_PER_SECOND = 1_000_000


def resident_bytes() -> int:
    """Return the resident memory of this process in bytes."""
    gc.collect()
    fields = Path("/proc/self/statm").read_text().split()
    return int(fields[RESIDENT_FIELD]) * PAGE_BYTES


def microseconds(function: Callable[[], Any], times: int) -> float:
    """Return the mean CPU time of a function call in microseconds."""
    start = time.process_time()
    for _ in range(times):
        function()
    return (time.process_time() - start) / times * MICROSECONDS_PER_SECOND


def quantile(values: Sequence[float], share: float) -> float:
    """Return the quantile of the values at a share between 0 and 1."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
