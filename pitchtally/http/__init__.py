"""HTTP over trio with h11: a small server, and a client that pools connections.

Every read and write has a limit in time and size, because users, peers and machines hang,
answer rubbish or come back late. Nothing here knows what the requests mean.
"""

from .client import Client
from .messages import MAX_BODY, Handler, HttpError, Request, Response, split_target
from .server import Server

__all__ = [
    "MAX_BODY",
    "Client",
    "Handler",
    "HttpError",
    "Request",
    "Response",
    "Server",
    "split_target",
]
