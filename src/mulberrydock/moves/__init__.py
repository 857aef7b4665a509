"""Running streams that go on at another engine with their memory.

Here belongs what decides whether a stream of an engine that leaves moves, when and
where (:mod:`.decision`, without network), what carries a move out (:mod:`.mover`), and
a request's stream across the engines that run it (:mod:`.stream`).

It may import what describes requests, instances and loads, the exceptions and the
relaying of streams (``sends``), and nothing of the platform, the store or the peers.
The relay passes itself in; only the relay and the request's lifecycle use this package.
"""

from .decision import MoveAll, MoveUnfinished, StayUntilCut
from .mover import Mover
from .stream import StreamMove, StreamMoved

__all__ = [
    "MoveAll",
    "MoveUnfinished",
    "Mover",
    "StayUntilCut",
    "StreamMove",
    "StreamMoved",
]
