"""Request bodies that are held in memory."""

from __future__ import annotations

from typing import Any
from typing import final

from twisted.internet.defer import Deferred
from twisted.internet.defer import succeed
from twisted.web.iweb import IBodyProducer
from zope.interface import implementer


@implementer(IBodyProducer)
@final
class BytesProducer:
    """Body producer that writes all bytes in one call.

    Unlike Twisted's ``FileBodyProducer`` it needs no cooperator of the global
    reactor.

    :param body: the complete body.
    """

    def __init__(self, body: bytes) -> None:
        self._body = body
        self.length = len(body)

    def startProducing(self, consumer: Any) -> Deferred[None]:
        """Write the complete body."""
        consumer.write(self._body)
        return succeed(None)

    def pauseProducing(self) -> None:
        """Do nothing; everything is written at once."""

    def resumeProducing(self) -> None:
        """Do nothing; everything is written at once."""

    def stopProducing(self) -> None:
        """Do nothing; everything is written at once."""
