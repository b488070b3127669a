"""Communication between controllers: heartbeats, requests, and the interfaces that handle them.

State: for each peer its last reply and the newest heartbeat accepted from it (`Peer`), the number
of the last call (`PeerTransport`) and of the last heartbeat composed (`HeartbeatComposer`). Only
`HeartbeatReceiver`, `HeartbeatExchange` and `PeerTransport` change the state of a `Peer`.
Invariant: a reply is as fresh as the time at which its request was sent, and is accepted only as
the reply to that request.
"""
