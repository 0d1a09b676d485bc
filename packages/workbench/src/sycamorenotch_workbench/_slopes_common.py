"""Tools shared by the slope measurements."""

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
MILLION = 1_000_000


def resident_bytes() -> int:
    """Return the resident memory of this process."""
    gc.collect()
    fields = Path("/proc/self/statm").read_text().split()
    return int(fields[RESIDENT_FIELD]) * PAGE_BYTES


def microseconds(function: Callable[[], Any], times: int) -> float:
    """Return the mean processor time of a function, in microseconds."""
    start = time.process_time()
    for _ in range(times):
        function()
    return (time.process_time() - start) / times * MILLION


def quantile(values: Sequence[float], share: float) -> float:
    """Return the value below which a share of the values lies."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
