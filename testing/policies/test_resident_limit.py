"""Tests of the limit that follows the resident memory of the process."""

from __future__ import annotations

import pytest

from sycamorenotch_policies.client_memory import ByteKind
from sycamorenotch_policies.client_memory import ClientAccount
from sycamorenotch_policies.client_memory import ClientLimits
from sycamorenotch_policies.client_memory import ResidentLimit

MOST, CEILING, BASE = 3_200, 4_500, 1_000


class Memory:
    """Memory of a process whose heap keeps what was released until it is trimmed."""

    def __init__(self) -> None:
        self.resident = BASE
        self.free = 0
        self.trims = 0

    def resident_bytes(self) -> int:
        return self.resident

    def trim(self) -> None:
        self.trims += 1
        self.resident -= self.free
        self.free = 0


@pytest.fixture
def memory() -> Memory:
    return Memory()


@pytest.fixture
def limit(memory) -> ResidentLimit:
    return ResidentLimit(MOST, CEILING, memory)


def test_limit_is_whole_while_there_is_room(memory, limit) -> None:
    memory.resident = 1_500
    limit.record(500, 500)
    assert limit.total_bytes == MOST


def test_limit_falls_to_what_fits_beside_uncounted_memory(memory, limit) -> None:
    # The heap adds to what is counted, and the process exceeded its machine.
    memory.resident = 3_900
    limit.record(2_000, 2_000)
    assert limit.total_bytes == 2_600


def test_memory_of_clients_that_left_is_returned(memory, limit) -> None:
    # Otherwise those that come after them would find no room.
    memory.resident, memory.free = 4_450, 3_300
    limit.record(-3_300, 0)
    limit.record(100, 100)
    assert memory.trims == 1
    assert limit.total_bytes == MOST


def test_heap_is_trimmed_only_after_much_was_released(memory, limit) -> None:
    # Trimming takes time.
    memory.resident = 4_450
    for _ in range(10):
        limit.record(100, 2_000)
        limit.record(-10, 2_000)
    assert memory.trims == 0


def test_some_clients_are_always_served(memory, limit) -> None:
    memory.resident = 10_000
    limit.record(100, 100)
    assert limit.total_bytes == MOST / 8


def test_account_evicts_for_resident_memory(memory, limit) -> None:
    limits = ClientLimits(MOST, 10, 10)
    account = ClientAccount(limits, lambda: 0.0, limit)
    evicted = []

    class Client:
        def evict(self, reason: str) -> None:
            evicted.append(reason)

    use = account.open(Client())
    memory.resident = 4_490
    account.charge(use, ByteKind.BODY, 100)
    assert evicted == ["memory"]
