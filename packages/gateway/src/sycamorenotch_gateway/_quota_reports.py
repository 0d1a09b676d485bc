"""Codec of the demand of customers that a heartbeat states."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
from hashlib import blake2b
from struct import Struct
from typing import final

from sycamorenotch_policies.customer_quotas import DemandReport

# Digest of the names, to which the indices of the records refer.
DIGEST_BYTES = 4
# Index of the customer, demand in requests per second, and part of all demand.
RECORD = Struct("<Hee")
# Largest value of a half-precision number.
MAX_DEMAND = 65_504.0


@final
class QuotaReportCodec:
    """Encodes and decodes reports of customers by their place among sorted names.

    :param names: customers with a quota in the configuration in force.
    """

    def __init__(self, names: Iterable[str]) -> None:
        self._names = sorted(names)
        self._index = {name: index for index, name in enumerate(self._names)}
        text = "\0".join(self._names).encode()
        self._digest = blake2b(text, digest_size=DIGEST_BYTES).digest()

    def encode(self, reports: Mapping[str, DemandReport]) -> bytes:
        """Return the wire form."""
        records = (
            RECORD.pack(
                self._index[name], min(report.fast, MAX_DEMAND), min(report.part, 1.0)
            )
            for name, report in reports.items()
        )
        return self._digest + b"".join(records)

    def decode(self, data: bytes) -> dict[str, DemandReport] | None:
        """Return the reports, or ``None`` if the sender has other customers.

        :raises ValueError: if the data is malformed.
        """
        if data[:DIGEST_BYTES] != self._digest:
            return None
        body = data[DIGEST_BYTES:]
        if len(body) % RECORD.size:
            raise ValueError("incomplete record of a customer's demand")
        names = self._names
        found = {}
        for index, fast, part in RECORD.iter_unpack(body):
            # Excludes values that are not numbers as well.
            if index >= len(names) or not (0 <= fast <= MAX_DEMAND and 0 <= part <= 1):
                raise ValueError("invalid record of a customer's demand")
            found[names[index]] = DemandReport(fast, part)
        return found
