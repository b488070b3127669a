"""Calls to peers: a message is sent, and the reply repeats its call number."""

from __future__ import annotations

import logging

import msgspec

from ...http import Client, HttpError
from ..messages import UNNUMBERED, Message, decode, encode
from .peer import Peer

log = logging.getLogger(__name__)

PEER_PATH = "/peer"

_CONNECTIONS_PER_PEER = 2
_LOGGED_CAUSE_CHARS = 80


class PeerTransport:
    """Sends messages to peers, and checks that replies carry the same call number."""

    def __init__(self, call_timeout: float):
        """Initialise; `call_timeout` is the time that a peer may take to reply, in seconds."""
        self._client = Client(max_idle_per_address=_CONNECTIONS_PER_PEER)
        self._call_timeout = call_timeout
        self._last_call_number = 0

    async def send(self, peer: Peer, message: Message) -> Message | None:
        """Send a message to a peer and return its reply, None without a usable reply."""
        self._last_call_number += 1
        try:
            reply = await self._call(peer, message, self._last_call_number)
        except (HttpError, msgspec.MsgspecError) as error:
            self._client.drop(peer.address)
            if not peer.failure:
                log.info(
                    "peer call failed peer=%s cause=%s",
                    peer.name,
                    str(error)[:_LOGGED_CAUSE_CHARS],
                )
            peer.failure = str(error)
            return None
        if peer.failure:
            log.info("peer replies again peer=%s", peer.name)
            peer.failure = ""
        return reply

    async def _call(self, peer: Peer, message: Message, call: int) -> Message:
        """Send a message under a call number and return the reply.

        Raises `HttpError` or `msgspec.MsgspecError` without a usable reply.
        """
        body = encode(msgspec.structs.replace(message, call=call))
        response = await self._client.call(
            peer.address, "POST", PEER_PATH, body, timeout=self._call_timeout
        )
        if response.status != 200:
            raise HttpError(f"status {response.status}")
        reply: Message = decode(response.body)
        if reply.call not in (call, UNNUMBERED):
            raise HttpError("call number of the reply does not match the message")
        return reply
