"""The servers of a process, and what all their connections hold together."""

from .bounds import PageBounds, RequestBounds
from .connections import CloseReason, InboundConnections
from .limits import ConnectionLimits
from .server import InboundServer

__all__ = [
    "CloseReason",
    "ConnectionLimits",
    "InboundConnections",
    "InboundServer",
    "PageBounds",
    "RequestBounds",
]
