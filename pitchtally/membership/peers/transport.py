"""Calls to peers: one message, and the reply that repeats its number."""

from __future__ import annotations

import logging

import msgspec

from ...http import Client, HttpError
from ..messages import UNNUMBERED, Message, decode, encode
from .peer import Peer

log = logging.getLogger(__name__)

PEER_PATH = "/peer"

_CONNECTIONS_PER_PEER = 2
_LOGGED_CAUSE_LENGTH = 80


class PeerTransport:
    """Sends messages to peers, and matches replies to them by number."""

    def __init__(self, call_timeout: float):
        """`call_timeout`: seconds that a peer may take to reply."""
        self._client = Client(max_idle_per_address=_CONNECTIONS_PER_PEER)
        self._call_timeout = call_timeout
        self._last_call_number = 0

    async def send(self, peer: Peer, message: Message) -> Message | None:
        """Send one message to a peer; its reply, or None without a usable one."""
        self._last_call_number += 1
        try:
            reply = await self._call(peer, message, self._last_call_number)
        except (HttpError, msgspec.MsgspecError) as error:
            self._client.drop(peer.address)
            if not peer.failure:
                log.info(
                    "peer fails peer=%s cause=%s", peer.name, str(error)[:_LOGGED_CAUSE_LENGTH]
                )
            peer.failure = str(error)
            return None
        if peer.failure:
            log.info("peer replies again peer=%s", peer.name)
            peer.failure = ""
        return reply

    async def _call(self, peer: Peer, message: Message, call: int) -> Message:
        """The reply to a message that is sent under this number; raises if there is none."""
        body = encode(msgspec.structs.replace(message, call=call))
        response = await self._client.call(
            peer.address, "POST", PEER_PATH, body, timeout=self._call_timeout
        )
        if response.status != 200:
            raise HttpError(f"status {response.status}")
        reply: Message = decode(response.body)
        if reply.call not in (call, UNNUMBERED):
            raise HttpError("a reply to another message")
        return reply
