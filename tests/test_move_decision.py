"""Which streams of a leaving engine move, where and when; without network.

The load: engines of two data centres are reclaimed with two seconds of notice while
most streams last under two seconds and the other engines are nearly full.
"""

import attrs
import pytest

from mulberrydock.moves.decision import (
    Destination,
    LeavingEngine,
    MoveAll,
    MoveUnfinished,
    StayUntilCut,
    StreamState,
    assign,
    remaining_tokens,
)

#: Notice of a reclaimed engine, in seconds.
NOTICE = 2.0
#: Seconds to transfer a token: 12,000 tokens take 18 ms.
TOKEN_SECONDS = 1.5e-6
STREAM = StreamState(
    "s",
    tokens=12_000,
    remaining=1.0,
    gap=0.15,
    resumable=False,
    reread_seconds=0.2,
    made_seconds=1.0,
)
ENGINE = LeavingEngine(ends_at=NOTICE, running=10)
ROOMY = [Destination("d1", 10), Destination("d2", 10)]


@attrs.define
class Decision:
    """The moves to begin, and why other due streams stay."""

    moves: list
    staying: dict


def decide(streams, now, destinations=ROOMY, policy=None, token_seconds=TOKEN_SECONDS):
    policy = policy or MoveUnfinished()
    due = policy.due(streams, ENGINE, token_seconds, now)
    return Decision(*assign(due, destinations, token_seconds, ENGINE.ends_at - now))


def streams_of(*remaining, **changes):
    return [
        attrs.evolve(STREAM, id=f"s{number}", remaining=seconds, **changes)
        for number, seconds in enumerate(remaining)
    ]


def moved(decision):
    return {move.stream_id for move in decision.moves}


# A stream moves at once only if it can't end in time even at half its estimated length;
# one in doubt moves as late as all of them can, and one that ends in time never.
@pytest.mark.parametrize(
    ("remaining", "now", "moves"),
    [
        (0.5, 0.0, False),
        (1.5, 0.0, False),
        (3.0, 0.0, False),
        (5.0, 0.0, True),
        (0.1, 1.4, False),
        (0.3, 1.4, True),
        (1.0, 1.4, True),
        (1.0, 1.95, True),
        (1.0, 2.1, False),
        (None, 0.0, False),
        (None, 1.6, True),
    ],
)
def test_stream_moves_when_its_end_is_in_doubt(remaining, now, moves):
    assert bool(moved(decide(streams_of(remaining, remaining), now))) is moves


# Nine of ten streams end within a notice of two seconds: were they moved, each would
# pause, and their places would be missing elsewhere.
def test_few_streams_move_within_a_long_notice():
    remaining = [0.2 * number for number in range(1, 10)] + [6.0]
    assert moved(decide(streams_of(*remaining), 0.0)) == {"s9"}
    assert moved(decide(streams_of(*remaining), 0.0, policy=StayUntilCut())) == set()
    everything = moved(decide(streams_of(*remaining), 0.0, policy=MoveAll()))
    assert len(everything) == 10


# Both data centres' streams look for places in the other half of the pool: no engine is
# given more than it has room for, and the rest is told so.
@pytest.mark.parametrize(
    ("rooms", "count"), [((3, 2), 5), ((0.9, 1.9), 1), ((0, -4), 0), ((), 0)]
)
def test_no_destination_is_overfilled(rooms, count):
    destinations = [Destination(f"d{n}", room) for n, room in enumerate(rooms)]
    decision = decide(streams_of(*[9.0] * 20), 0.0, destinations)
    for destination in destinations:
        moves = [m for m in decision.moves if m.destination_id == destination.id]
        assert len(moves) <= max(0, destination.room)
    assert len(decision.moves) == count
    assert list(decision.staying.values()) == ["no room elsewhere"] * (20 - count)


# Many VMs move at the same moment: they choose by stream, not all the same engine.
def test_vms_spread_their_streams():
    destinations = [Destination(f"d{number}", 8) for number in range(10)]
    chosen = [
        decide([attrs.evolve(STREAM, id=f"r{n}", remaining=9.0)], 0.0, destinations)
        for n in range(200)
    ]
    counts = [
        sum(decision.moves[0].destination_id == d.id for decision in chosen)
        for d in destinations
    ]
    assert max(counts) < 40


# Room is short: what is lost without its memory goes before what may be resumed, and
# among those the long prompt before the short one.
@pytest.mark.parametrize(
    ("dearer", "cheaper"),
    [
        ({"resumable": False}, {"resumable": True}),
        ({"reread_seconds": 0.4}, {"reread_seconds": 0.01}),
        ({"made_seconds": 3.0}, {"made_seconds": 0.1}),
        ({"tokens": 1_000}, {"tokens": 200_000}),
    ],
)
def test_dearest_to_lose_moves_first(dearer, cheaper):
    rows = [
        attrs.evolve(STREAM, id="cheaper", remaining=9.0, **cheaper),
        attrs.evolve(STREAM, id="dearer", remaining=9.0, **dearer),
    ]
    decision = decide(rows, 0.0, [Destination("d1", 1)])
    assert moved(decision) == {"dearer"}
    assert decision.staying == {"cheaper": "no room elsewhere"}


# A near engine is preferred, as its transfer is shorter; a far one is better than none.
@pytest.mark.parametrize(("room", "chosen"), [(1, "near"), (0, "far")])
def test_nearest_destination_with_room(room, chosen):
    destinations = [Destination("far", 20, 2.0), Destination("near", room)]
    (move,) = decide(streams_of(9.0), 0.0, destinations).moves
    assert move.destination_id == chosen


# Long transfers queue on the engine's link: streams whose turn would come after its end
# stay, and those that would wait longer than they may pause run on meanwhile.
def test_transfers_fit_the_link():
    decision = decide(streams_of(*[9.0] * 5), 0.0, token_seconds=5e-5)
    assert len(decision.moves) == 3
    assert set(decision.staying.values()) == {"no time left"}
    assert all(move.copies_first for move in decision.moves)
    short = decide(streams_of(*[9.0] * 5, tokens=2_000), 0.0)
    flags = [move.copies_first for move in short.moves]
    assert flags == [False] * 5


# A stream that outlives its client's estimate isn't taken for one that is about to end.
@pytest.mark.parametrize(
    ("hint", "maximum", "made", "left"),
    [
        (100, 1000, 20, 80),
        (100, 1000, 400, 100),
        (100, 410, 400, 10),
        (0, 1000, 400, 600),
        (0, 0, 400, float("inf")),
        (5000, 1000, 0, 1000),
        (100, 400, 500, 0),
    ],
)
def test_remaining_tokens(hint, maximum, made, left):
    assert remaining_tokens(hint, maximum, made) == left
