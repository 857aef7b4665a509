"""Tells peers which version began a stream, and asks them when a client takes it up.

A client may go on with its stream at any VM, and the VM that began the stream may be
gone by then. So before a VM passes the first event on, it tells a few peers, which any
VM finds by the stream's key.
"""

import asyncio
import itertools
import time

import attrs
from loguru import logger

from . import peer_messages
from .hash_ring import HashRing
from .peer_messages import OriginMessage
from .stream_origins import OriginMessageKind, StreamOrigin, StreamOrigins

#: Number of peers that are told of each stream: with one in each of three data centres,
#: one is left when any two fail.
TOLD_PEERS = 3
#: Number of peers that are asked in a fleet too large to ask all. VMs may know of
#: different peers for a moment, so these are more than those that were told.
ASKED_PEERS = 6
#: Number of VMs up to which all peers are asked.
MAX_VMS_ASKED = 25
#: Seconds between two questions to a peer that hasn't answered: datagrams may be lost.
ASK_INTERVAL_SECONDS = 0.1
#: Number of questions to a peer. A client waits for its next event for two seconds, and
#: an instance needs most of them.
MAX_QUESTIONS = 6
#: Seconds for which the known peers are taken as unchanged: to read them takes longer
#: the larger the fleet is.
PEERS_EXPIRY_SECONDS = 0.2


@attrs.define(eq=False)
class Question:
    """A question to peers that is waiting for answers.

    ``answered`` is a future of the version, empty if none of them knows it; ``waiting``
    are the names of those that haven't answered. ``task`` asks them.
    """

    answered: asyncio.Future
    waiting: set
    task: object = None


@attrs.define(eq=False)
class OriginExchange:
    """What this VM and its peers know of the origins of streams.

    Methods take the current time as ``now``, in monotonic seconds.

    :param origins: the :class:`~mulberrydock.stream_origins.StreamOrigins` of this VM.
    :param groups: the :class:`~mulberrydock.peer_groups.PeerGroups`, None for a VM
        without peers.
    :param send: sends bytes to a list of peers.

    An owner may set ``on_begin``, called with the service of each stream that this VM
    began, its origin and the time; and ``on_write``, called with an origin that a peer
    wants to have written to the store, and the time.

    ``questions`` maps the keys of streams to their :class:`Question`. ``ring`` is the
    :class:`~mulberrydock.hash_ring.HashRing` of this VM and its ``peers``, which were
    read at ``peers_read_at``.
    """

    origins: StreamOrigins = attrs.field(factory=StreamOrigins)
    groups: object = None
    send: object = None
    questions: dict = attrs.field(factory=dict)
    ring: HashRing = HashRing(())
    peers: dict = attrs.field(factory=dict)
    peers_read_at: float | None = None
    on_begin: object = lambda service, origin, now: None
    on_write: object = lambda origin, now: None

    def names(self, key, now):
        """Yield the names of all VMs, this one included, in the order of ``key``."""
        if self.groups and self._are_peers_due(now):
            self._read_peers(now)
        return self.ring.names(key)

    def has_peers(self, now):
        """Return whether this VM knows of another one."""
        self.names("", now)
        return bool(self.peers)

    def _are_peers_due(self, now):
        # A VM that starts knows no peer at first, and then all of them at once.
        if not self.peers or self.peers_read_at is None:
            return True
        return now - self.peers_read_at >= PEERS_EXPIRY_SECONDS

    def is_own(self, name):
        """Return whether ``name`` is this VM's."""
        return name == self.groups.name

    def _holders(self, key, now):
        """Yield the names of the peers in the order in which they hold ``key``."""
        return (name for name in self.names(key, now) if name in self.peers)

    def _read_peers(self, now):
        peers = self.groups.known_peers()
        if peers != self.peers:
            members = {name: peer.data_centre for name, peer in peers.items()}
            # All VMs compute the same ring, so each one is in its own as well.
            members[self.groups.name] = self.groups.data_centre
            self.ring = HashRing.from_data_centres(members)
        self.peers, self.peers_read_at = peers, now

    def record(self, origin, now, service=""):
        """Remember the origin of a stream and tell the peers that hold it.

        Called before the first event is passed on: this VM may fail right after that.
        """
        self.origins.record(origin, now)
        self.on_begin(service, origin, now)
        names = itertools.islice(self._holders(origin.key, now), TOLD_PEERS)
        self._send(names, OriginMessageKind.TELL, origin)

    def send_to_writer(self, name, origin):
        """Send an origin to the peer that writes it to the store."""
        self._send([name], OriginMessageKind.WRITE, origin)

    def _send(self, names, kind, origin):
        peers = [self.peers[name] for name in names if name in self.peers]
        if peers:
            self.send(peers, self._encode(kind, origin))

    def _encode(self, kind, origin):
        return peer_messages.encode_origin(
            OriginMessage(self.groups.name, kind, origin)
        )

    async def find(self, key, now):
        """Find the version of a stream, which the peers are asked for if need be.

        :returns: the version, empty if it isn't known, and whether that is final: if
            not, a peer that hasn't answered may know it.
        """
        version = self.origins.get(key, now)
        if version:
            return version, True
        question = self.questions.get(key)
        if question is None:
            question = self._ask(key, now)
        version = await asyncio.shield(question.answered)
        return version, bool(version) or not question.waiting

    def _ask(self, key, now):
        names = self._holders(key, now)
        if len(self.peers) >= MAX_VMS_ASKED:
            names = itertools.islice(names, ASKED_PEERS)
        question = Question(asyncio.get_running_loop().create_future(), set(names))
        self.questions[key] = question
        question.task = asyncio.ensure_future(self._ask_until_answered(key, question))
        return question

    async def _ask_until_answered(self, key, question):
        """Ask peers until one of them knows the stream or all have answered."""
        started = time.monotonic()
        asked = sorted(question.waiting)
        try:
            for _ in range(MAX_QUESTIONS):
                if not question.waiting or question.answered.done():
                    break
                self._send(question.waiting, OriginMessageKind.ASK, StreamOrigin(key))
                await asyncio.wait([question.answered], timeout=ASK_INTERVAL_SECONDS)
        finally:
            del self.questions[key]
            if not question.answered.done():
                question.answered.set_result("")
        logger.info(
            "peers asked for a stream's version",
            stream=key,
            version=question.answered.result(),
            peers=asked,
            silent=sorted(question.waiting),
            seconds=round(time.monotonic() - started, 3),
        )

    def receive(self, message, reply, now):
        """Handle a message of a peer.

        :param message: the :class:`~mulberrydock.peer_messages.OriginMessage`.
        :param reply: sends bytes to where the message came from, which may be a peer
            that this VM doesn't know yet.
        """
        origin = message.origin
        if message.kind is OriginMessageKind.ASK:
            answer = self.origins.find(origin.key, now)
            reply(self._encode(OriginMessageKind.ANSWER, answer))
            return
        if message.kind is OriginMessageKind.WRITE:
            self.on_write(origin, now)
        if origin.version:
            self.origins.record(origin, now)
        question = self.questions.get(origin.key)
        if question is not None and not question.answered.done():
            self._apply_answer(question, message, now)

    def _apply_answer(self, question, message, now):
        if message.kind is OriginMessageKind.ANSWER:
            question.waiting.discard(message.name)
        version = self.origins.get(message.origin.key, now)
        if version or not question.waiting:
            question.answered.set_result(version)
