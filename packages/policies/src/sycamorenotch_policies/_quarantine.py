"""Recognises requests that bring down the upstreams that run them."""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
from datetime import timedelta
from itertools import count
from typing import NewType
from typing import final

Signature = NewType("Signature", str)

STRIKE_LIMIT = 3
STRIKE_LIFETIME = timedelta(minutes=5)
QUARANTINE_LIFETIME = timedelta(minutes=10)
MAXIMUM_SIGNATURES = 4096
MAXIMUM_EXCHANGED = 4096
SIGNATURE_BYTES = 16


def sign_request(service: str, method: str, path: str, body: bytes) -> Signature:
    """Return a digest that the same request has on every instance."""
    digest = hashlib.blake2b(digest_size=SIGNATURE_BYTES)
    for part in (service.encode(), method.encode(), path.encode(), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return Signature(digest.hexdigest())


@final
@dataclass(frozen=True, slots=True)
class Strike:
    """One worker that lost its connection while it ran a request.

    :param origin: instance that saw it.
    :param sequence: number among the strikes of the origin, from 1.
    :param age: time since it was seen.
    """

    signature: Signature
    worker: str
    origin: str
    sequence: int
    age: timedelta


@final
@dataclass(slots=True)
class _Suspect:
    strikes: dict[tuple[str, int], timedelta] = field(default_factory=dict)
    until: timedelta | None = None


@final
@dataclass(frozen=True, slots=True)
class _LocalStrike:
    signature: Signature
    worker: str
    sequence: int
    at: timedelta


@final
class Quarantine:
    """Counts strikes and holds back requests that have too many.

    A request that was answered is cleared, because a request that always
    brings down its worker never has an answer.

    :param origin: name of this instance.
    """

    def __init__(self, origin: str) -> None:
        self._origin = origin
        self._numbers = count(1)
        self._suspects: OrderedDict[Signature, _Suspect] = OrderedDict()
        self._local: deque[_LocalStrike] = deque(maxlen=MAXIMUM_EXCHANGED)

    def __len__(self) -> int:
        return len(self._suspects)

    def remaining(self, signature: Signature, now: timedelta) -> timedelta | None:
        """Return how long a request stays in quarantine, if it is in it."""
        suspect = self._suspects.get(signature)
        if suspect is None or suspect.until is None:
            return None
        if suspect.until <= now:
            del self._suspects[signature]
            return None
        return suspect.until - now

    def record_strike(self, signature: Signature, worker: str, now: timedelta) -> bool:
        """Count a worker that was lost while it ran a request.

        :return: whether the strike put the request into quarantine.
        """
        strike = _LocalStrike(signature, worker, next(self._numbers), now)
        self._local.append(strike)
        return self._count(signature, (self._origin, strike.sequence), now, now)

    def record_answer(self, signature: Signature) -> None:
        """Clear a request that a worker has answered."""
        self._suspects.pop(signature, None)

    def strikes_since(self, sequence: int, now: timedelta) -> tuple[Strike, ...]:
        """Return the strikes seen here after a sequence number."""
        return tuple(
            Strike(s.signature, s.worker, self._origin, s.sequence, now - s.at)
            for s in self._local
            if s.sequence > sequence
        )

    def merge(self, strikes: Iterable[Strike], now: timedelta) -> int:
        """Count strikes that other instances saw; repeats count once.

        :return: the number of requests that this put into quarantine.
        """
        foreign = (strike for strike in strikes if strike.origin != self._origin)
        return sum(
            self._count(
                strike.signature,
                (strike.origin, strike.sequence),
                now - strike.age,
                now,
            )
            for strike in foreign
        )

    def _count(
        self,
        signature: Signature,
        identity: tuple[str, int],
        at: timedelta,
        now: timedelta,
    ) -> bool:
        if now - at > STRIKE_LIFETIME:
            return False
        suspect = self._suspects.setdefault(signature, _Suspect())
        self._suspects.move_to_end(signature)
        if len(self._suspects) > MAXIMUM_SIGNATURES:
            self._suspects.popitem(last=False)
        suspect.strikes = {
            key: seen
            for key, seen in suspect.strikes.items()
            if now - seen <= STRIKE_LIFETIME
        }
        suspect.strikes[identity] = at
        if suspect.until is not None or len(suspect.strikes) < STRIKE_LIMIT:
            return False
        suspect.until = now + QUARANTINE_LIFETIME
        return True
