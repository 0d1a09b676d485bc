"""How two daemons prove to each other that they hold the peer key."""

from __future__ import annotations

import hashlib
import hmac
from dataclasses import dataclass
from typing import final

import msgpack

from sycamorenotch_daemon._peer_codec import MalformedFrameError
from sycamorenotch_daemon._peer_codec import unpack
from sycamorenotch_kernel import InstanceId

PROTOCOL_VERSION = 1
NONCE_BYTES = 16


@final
@dataclass(frozen=True, slots=True)
class PeerIdentity:
    """Who a peer says that it is.

    :param incarnation: number that each start of an instance raises.
    """

    environment: str
    instance: InstanceId
    region: str
    data_centre: str
    incarnation: int


def encode_greeting(identity: PeerIdentity, nonce: bytes) -> bytes:
    """Return the frame that opens a stream."""
    return msgpack.packb(  # type: ignore[no-any-return]
        [
            PROTOCOL_VERSION,
            identity.environment,
            identity.instance,
            identity.region,
            identity.data_centre,
            identity.incarnation,
            nonce,
        ]
    )


def decode_greeting(frame: bytes) -> PeerIdentity:
    """Return the identity in a greeting, which is not proven yet.

    :raises MalformedFrameError: if the frame is no greeting of this version.
    """
    match unpack(frame):
        case [
            int(version),
            str(environment),
            str(instance),
            str(region),
            str(data_centre),
            int(incarnation),
            bytes(nonce),
            *_,
        ]:
            if version != PROTOCOL_VERSION:
                raise MalformedFrameError(f"protocol version {version}")
            if len(nonce) != NONCE_BYTES:
                raise MalformedFrameError("the nonce has a wrong length")
            name = InstanceId(instance)
            return PeerIdentity(environment, name, region, data_centre, incarnation)
        case _:
            raise MalformedFrameError("the frame is no greeting")


def prove(key: bytes, dialled: bool, own: bytes, other: bytes) -> bytes:
    """Return the keyed hash over both greetings.

    :param dialled: whether the prover opened the connection; it keeps a proof
        from being sent back to its own author.
    """
    role = b"dialler" if dialled else b"listener"
    parts = (len(part).to_bytes(4) + part for part in (role, own, other))
    return hmac.digest(key, b"".join(parts), hashlib.sha256)


def proves(proof: bytes, key: bytes, dialled: bool, own: bytes, other: bytes) -> bool:
    """Return whether a peer's proof is right.

    :param dialled: whether this side opened the connection.
    :param own: this side's greeting.
    """
    return hmac.compare_digest(proof, prove(key, not dialled, other, own))
