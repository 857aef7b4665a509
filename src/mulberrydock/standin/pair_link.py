"""Stand-in for the network link from one VM to one target, which tests cut.

A fault proxy before an instance is the same for all VMs. Here each pair of a VM and a
target has a proxy of its own, so a VM can lose its links while others keep theirs.
"""

import asyncio
import socket
import struct

import attrs
import tornado.iostream

from .faultproxy import CHUNK_BYTES, FaultProxy

#: Connections that fill the queue of a socket whose backlog is 0.
QUEUE_FILLERS = 2


@attrs.define(frozen=True)
class Cut:
    """How a link is cut.

    New connections are refused or, if not ``refuses``, hang. Open ones lose what is
    sent ``to_target`` and ``from_target``, or are reset if ``resets``.
    """

    refuses: bool = False
    to_target: bool = False
    from_target: bool = False
    resets: bool = False


#: The kinds of cuts by name.
CUTS = {
    "silent": Cut(to_target=True, from_target=True),
    "refused, reset": Cut(refuses=True, resets=True),
    "refused, open ones alive": Cut(refuses=True),
    "hanging, open ones alive": Cut(),
    "hanging, reset": Cut(resets=True),
    "to the target only": Cut(to_target=True),
    "from the target only": Cut(from_target=True),
}
#: How the link to a process that has crashed looks.
TARGET_DOWN = CUTS["refused, reset"]


class PairLink(FaultProxy):
    """The link of one pair; see :class:`FaultProxy` for the parameters.

    Bytes that a cut holds up are delivered when the link is restored, as TCP sends them
    again, and so is the end of a connection.
    """

    def __init__(self, listen, target):
        super().__init__(listen, target)
        self.applied = None
        self.wanted = None
        self.target_down = False
        self.passes = {"to": asyncio.Event(), "from": asyncio.Event()}
        self.fillers = []
        for event in self.passes.values():
            event.set()

    def cut(self, cut):
        """Cut the link as a :class:`Cut` says; an earlier cut ends."""
        self.wanted = cut
        self._apply()

    def restore(self):
        """End the cut."""
        self.wanted = None
        self._apply()

    def set_target_down(self, down):
        """Refuse connections while no process listens at the target."""
        self.target_down = down
        self._apply()

    def _apply(self):
        self._end_cut()
        cut = TARGET_DOWN if self.target_down else self.wanted
        if cut is None:
            return
        self.applied = cut
        self.close()
        if not cut.refuses:
            self._hang()
        for direction, holds in (("to", cut.to_target), ("from", cut.from_target)):
            if holds:
                self.passes[direction].clear()
        if cut.resets:
            for pipe in list(self.pipes):
                _reset(pipe.client)
                pipe.close()

    def _end_cut(self):
        for filler in self.fillers:
            filler.close()
        self.fillers.clear()
        if self.applied is not None:
            self.applied = None
            self.open()
        for event in self.passes.values():
            event.set()

    def _hang(self):
        """Let new connections hang: the queue of the socket is full."""
        self.reserved.listen(0)
        for _ in range(QUEUE_FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.listen_address)
            self.fillers.append(filler)

    def release(self):
        self._end_cut()
        super().release()

    async def _copy(self, pipe, source, sink):
        passes = self.passes["to" if source is pipe.client else "from"]
        try:
            while True:
                data = await source.read_bytes(CHUNK_BYTES, partial=True)
                await passes.wait()
                await sink.write(data)
        except tornado.iostream.StreamClosedError:
            await passes.wait()
            sink.close()


def _reset(stream):
    """Let a stream be reset, not closed, when it is closed."""
    if not stream.closed():
        linger = struct.pack("ii", 1, 0)
        stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
