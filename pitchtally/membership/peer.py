"""What a controller knows of another one, and how old that knowledge is."""

from __future__ import annotations

import trio

from ..config.settings import host_port
from .freshness import PeerReply
from .messages import PeerHeartbeat


class Peer:
    """Another controller: its last answer, and the order of its heartbeats."""

    def __init__(self, name: str, address: str):
        self.name = name
        self.address = host_port(address)
        self.answer: PeerReply | None = None  # the newest to a heartbeat of ours
        self.statuses_sent_at = -1e9  # when it last had our statuses, as it answered
        self.failing = ""
        self.incarnation = ""
        self.since = -1e9  # when that was first heard of
        self.number = -1  # of the newest heartbeat taken in
        self.revision = -1  # the revision that its copy covers

    @property
    def last_heartbeat_at(self) -> float:
        """A question sent at this time was answered."""
        return -1e9 if self.answer is None else self.answer.asked_at

    def renews(self, heartbeat: PeerHeartbeat, asked_at: float | None, listed: str) -> bool:
        """Whether a heartbeat is newer than all that were taken in, and takes it for that.

        A cut may hold one back and deliver it after newer ones, of the next incarnation
        too. Which of two incarnations is the later, the store can tell, or an answer to a
        question that we asked when we knew of the other. Whatever is taken for the later
        by mistake is put right by the next answer.
        """
        if heartbeat.incarnation != self.incarnation:
            asked = asked_at is not None and asked_at > self.since
            if self.incarnation and not asked and heartbeat.incarnation != listed:
                return False
            self.incarnation = heartbeat.incarnation
            self.since = trio.current_time()
        elif heartbeat.number <= self.number:
            return False
        self.number, self.revision = heartbeat.number, heartbeat.revision
        return True
