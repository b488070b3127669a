"""Communication between controllers: heartbeats, requests, and the listeners that they reach.

State: for each peer its last reply and the newest heartbeat taken in (`Peer`), the numbers of
our calls (`PeerTransport`) and of our heartbeats (`HeartbeatComposer`). `HeartbeatReceiver` and
`HeartbeatExchange` alone change what is known of a peer. Invariant: a reply counts from the
moment at which its request was sent, and only as the answer to that request.
"""
