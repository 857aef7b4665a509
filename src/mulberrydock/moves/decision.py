"""Decides which streams of a leaving engine move to which other engines, and when.

A stream that ends in time stays: a move pauses it and takes a place and the memory of
its prompt elsewhere. Most streams end sooner than engines leave, and nobody knows how
long one will be; so a stream whose end is in doubt stays until moves must begin, and
only one that can't end in time moves at once.
"""

import abc
import math

import attrs

from ..regions.distances import REMOTE_TRANSFER_FACTOR
from ..rendezvous import rank

#: Seconds of a move beside its transfer: two calls to the source, the request to the
#: destination and a step there, as each takes some 10 ms while the engines are busy.
MOVE_OVERHEAD_SECONDS = 0.1
#: Factor by which a stream may last longer or shorter than estimated. Its length hint
#: is right at the median and often off by as much.
LENGTH_ERROR = 2.0
#: Seconds before the end of an engine by which its streams must have moved: what it
#: reports of its end is some hundred milliseconds old.
END_MARGIN_SECONDS = 0.15
#: Share of the longest pause that a route allows which a transfer may take while its
#: stream stands still. Transfers queue behind those of prompts, which may take several
#: times as long, and the calls and the first event at the destination come on top.
PAUSE_SHARE = 0.1
#: Share of the tokens that a stream has made by which it is expected to go on once it
#: has outlived its hint.
OVERRUN_SHARE = 0.25


@attrs.define(frozen=True)
class StreamState:
    """A running stream of which ``tokens`` are in its engine's memory.

    ``remaining`` is the estimate of seconds to its end, None if there is none yet;
    ``gap`` is the longest pause between events that its route allows,
    ``reread_seconds`` the time in which an engine reads its prompt again,
    ``made_seconds`` the time since its first event. Only a ``resumable`` stream goes on
    without its memory.
    """

    id: str
    tokens: int
    remaining: float | None
    gap: float
    resumable: bool
    reread_seconds: float
    made_seconds: float = 0.0


@attrs.define(frozen=True)
class LeavingEngine:
    """An engine that ends at ``ends_at`` and has ``running`` streams of all VMs."""

    ends_at: float
    running: int


@attrs.define(frozen=True)
class Destination:
    """A decode engine with ``room`` for so many more streams.

    A transfer to it takes ``distance`` times as long as one within a data centre.
    """

    id: str
    room: float
    distance: float = 1.0


@attrs.define(frozen=True)
class Move:
    """A stream that moves. If ``copies_first``, it runs on during the first transfer.

    ``seconds`` is the estimate of the time until it goes on at the destination.
    """

    stream_id: str
    destination_id: str
    copies_first: bool
    seconds: float


def remaining_tokens(hint, maximum, made):
    """Return how many tokens a stream is expected still to make.

    :param hint: the estimate of all its tokens, 0 without one.
    :param maximum: the most that it may make, 0 if unlimited.
    :param made: tokens made so far.
    """
    most = maximum - made if maximum else math.inf
    if not hint:
        return max(0.0, most)
    return max(0.0, min(most, max(hint - made, made * OVERRUN_SHARE)))


class MovePolicy(abc.ABC):
    """Decides which streams of this VM at a leaving engine have to move."""

    @abc.abstractmethod
    def due(self, streams, engine, token_seconds, now):
        """Return the streams that have to move at ``now``.

        :param streams: :class:`StreamState` list of those that don't move yet.
        :param engine: the :class:`LeavingEngine`.
        :param token_seconds: seconds to transfer one token within a data centre.
        """


class StayUntilCut(MovePolicy):
    """Moves nothing: streams end in time or are cut."""

    def due(self, streams, engine, token_seconds, now):
        return []


class MoveAll(MovePolicy):
    """Moves every stream as soon as its engine is known to leave."""

    def due(self, streams, engine, token_seconds, now):
        return list(streams)


class MoveUnfinished(MovePolicy):
    """Moves the streams that won't end in time, as late as that is safe."""

    def due(self, streams, engine, token_seconds, now):
        left = engine.ends_at - END_MARGIN_SECONDS - now
        doubtful = [s for s in streams if _may_last(s, left / LENGTH_ERROR)]
        if left <= _reserve_seconds(doubtful, len(streams), engine, token_seconds):
            return doubtful
        known = [s for s in doubtful if s.remaining is not None]
        return [s for s in known if s.remaining > LENGTH_ERROR * left]


def _may_last(stream, seconds):
    """Return whether a stream is expected to last longer, or may for all one knows."""
    return stream.remaining is None or stream.remaining > seconds


def _reserve_seconds(doubtful, own, engine, token_seconds):
    """Return the seconds that moving the doubtful streams of all VMs takes.

    Other VMs move theirs at the same time, and transfers from one engine run one after
    another; theirs are taken to be like this VM's. A place in another data centre may
    be the only one left.

    :param own: number of streams that this VM has at the engine.
    """
    transfers = token_seconds * sum(stream.tokens for stream in doubtful)
    others = max(1.0, engine.running / max(1, own))
    return MOVE_OVERHEAD_SECONDS + transfers * others * REMOTE_TRANSFER_FACTOR


def _loss_for_cost(stream, token_seconds):
    """Return what is lost without the move, for each second that it takes.

    A cut stream that can't be resumed has to be made anew, one that can be has its
    prompt read again.
    """
    made = 0.0 if stream.resumable else stream.made_seconds
    cost = stream.tokens * token_seconds + MOVE_OVERHEAD_SECONDS
    return (stream.reread_seconds + made) / cost


def assign(due, destinations, token_seconds, left):
    """Return the :class:`Move` list of the streams ``due``, and why others stay.

    The dearest to lose come first, those that can't be resumed before the others, until
    the time or the room is used up. A move that may come too late is tried all the
    same: without it, the stream is cut for sure.

    :param destinations: :class:`Destination` list.
    :param token_seconds: seconds to transfer one token within a data centre.
    :param left: seconds until the engine ends.
    :returns: the moves in order, and the reasons by stream id.
    """
    moves, staying, queued = [], {}, 0.0
    room = {d.id: d.room for d in destinations}
    for stream in sorted(due, key=lambda s: _order(s, token_seconds)):
        free = [d for d in destinations if room[d.id] >= 1]
        if not free:
            staying[stream.id] = "no room elsewhere"
            continue
        destination = _choose(stream, free, room)
        transfer = stream.tokens * token_seconds * destination.distance
        if queued + transfer > left:
            staying[stream.id] = "no time left"
            continue
        room[destination.id] -= 1
        queued += transfer
        copies_first = queued > PAUSE_SHARE * stream.gap
        seconds = MOVE_OVERHEAD_SECONDS + queued
        moves.append(Move(stream.id, destination.id, copies_first, seconds))
    return moves, staying


def _order(stream, token_seconds):
    """Return the sort key by which streams move."""
    return stream.resumable, -_loss_for_cost(stream, token_seconds), stream.id


def _choose(stream, free, room):
    """Return the emptier one of two of the nearest destinations.

    Which two differs by stream, so that VMs which move theirs at the same moment don't
    all choose the same engine.
    """
    nearest = min(d.distance for d in free)
    near = sorted(
        (d for d in free if d.distance == nearest), key=lambda d: rank(stream.id, d.id)
    )
    return max(near[:2], key=lambda d: room[d.id])
