"""HTTP/1.1 over trio with h11: a small server, and a client with a connection pool.

This package carries requests and responses between processes and doesn't interpret them. Every
read and write is limited in time and size, because users, peers and machines may hang, send
malformed data or respond late. Only a `Server` closes its inbound connections, and only a
`Client` those in its pool. Invariants: a response is either matched to its own request or
discarded, and an exception on one connection doesn't end another.
"""

from .client import Client
from .messages import MAX_BODY_BYTES, Address, Handler, HttpError, Request, Response, split_target
from .server import Server

__all__ = [
    "MAX_BODY_BYTES",
    "Address",
    "Client",
    "Handler",
    "HttpError",
    "Request",
    "Response",
    "Server",
    "split_target",
]
