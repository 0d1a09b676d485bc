"""Handshake in which two daemons prove to each other that they hold the peer key."""

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
    """Identity that a peer claims in its greeting.

    :param incarnation: number that is higher at each start of an instance.
    """

    environment: str
    instance: InstanceId
    region: str
    data_centre: str
    incarnation: int


def encode_greeting(identity: PeerIdentity, nonce: bytes) -> bytes:
    """Encode the greeting, the first frame of a stream."""
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
    """Decode the identity in a greeting; it is not authenticated yet.

    :raises MalformedFrameError: if the frame is not a greeting of this version.
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
                raise MalformedFrameError(f"unsupported protocol version {version}")
            if len(nonce) != NONCE_BYTES:
                raise MalformedFrameError("the nonce has an invalid length")
            name = InstanceId(instance)
            return PeerIdentity(environment, name, region, data_centre, incarnation)
        case _:
            raise MalformedFrameError("the frame is not a greeting")


def make_proof(key: bytes, dialled: bool, own: bytes, other: bytes) -> bytes:
    """Return the HMAC over both greetings that proves possession of the key.

    :param dialled: whether the prover opened the connection; part of the HMAC
        input, so that a proof cannot be reflected to its author.
    :param own: the prover's greeting.
    :param other: the verifier's greeting.
    """
    role = b"dialler" if dialled else b"listener"
    parts = (len(part).to_bytes(4) + part for part in (role, own, other))
    return hmac.digest(key, b"".join(parts), hashlib.sha256)


def verify_proof(
    proof: bytes, key: bytes, dialled: bool, own: bytes, other: bytes
) -> bool:
    """Return whether a peer's proof is valid.

    :param dialled: whether this side opened the connection.
    :param own: this side's greeting.
    :param other: the peer's greeting.
    """
    return hmac.compare_digest(proof, make_proof(key, not dialled, other, own))
