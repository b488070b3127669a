"""HTTP over trio with h11: a small server, and a client that pools connections.

Duty: carry requests and responses between processes. Every read and write is limited in time
and size, because users, peers and machines hang, answer rubbish or come back late. A `Server`
owns its inbound connections, a `Client` its pool; nobody else closes them. Invariants: an
answer is matched to the request that it belongs to or dropped, and no exception of one
connection ends another. Nothing here knows what the requests mean.
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
