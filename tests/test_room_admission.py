"""Who gets room in a pool of engines while it is short, and who returns when.

Loads: bursts of short questions beside long documents, and pools that lose engines. The
decisions run without network.
"""

import math

import attrs
import hypothesis
import hypothesis.strategies as st
import pytest

from mulberrydock.placement import Plan
from mulberrydock.request import Kind, Route, Split
from mulberrydock.room.admission import FLOOR_SHARE, Ask, decide
from mulberrydock.room.places import Places, PlaceUse

QUESTION = Route(
    "question",
    "h",
    "/q/",
    Kind.STREAMING,
    (Split("llm", 1),),
    8.0,
    0.25,
    0.15,
    0,
    2,
    True,
    2.4,
)
DOCUMENT = attrs.evolve(
    QUESTION, timeout=10.0, latency_objective=1.2, priority=2, client_idle_timeout=4.8
)
#: Requests a second by urgency, and the seconds for which each holds a place.
MIX = {0: (6.0, 1.2), 1: (4.0, 0.1), 2: (2.0, 1.8)}
STREAMS = sum(rate for rate, _ in MIX.values())
#: Seconds after the start of the load at which the decisions are made.
NOW = 3.5
#: More than any request should wait for a place while others are hurried.
LONG = 3.0


def place_use(mix=MIX):
    """Return what a VM has learnt after a while of ``mix``."""
    use = PlaceUse()
    for urgency, (rate, seconds) in mix.items():
        use.record_stream(urgency, seconds)
        for n in range(int(rate * 4)):
            use.record_arrival(urgency, n / rate)
    return use


def ask(route=QUESTION, left=None, lot=0.9):
    left = route.timeout if left is None else left
    return Ask(route, left, left, lot, QUESTION.latency_objective)


def plan(wait=0.1, prefill_seconds=0.05, **options):
    return Plan(None, None, 0, wait, prefill_seconds, **options)


# Guards against requests that are refused although a place is free within
# milliseconds, and against VMs that together give away the last places before they
# hear of each other, so that more urgent requests find none.
@pytest.mark.parametrize(
    ("urgency", "places", "streams", "low", "high"),
    [
        pytest.param(2, Places(100, 40, 0.4), 200, 0.0, 0.0, id="ample-places"),
        pytest.param(0, Places(100, 99, 0.4), 200, 0.0, 0.0, id="last-place-urgent"),
        pytest.param(2, Places(100, 80, 0.4), 60, 0.01, 1.0, id="last-places-others"),
        pytest.param(2, Places(100, 80, 0.0), 60, 0.0, 0.0, id="counts-without-delay"),
        pytest.param(0, Places(300, 320, 0.4), 60, 0.0, 0.1, id="burst-large-pool"),
        pytest.param(0, Places(24, 44, 0.4), 60, 0.5, 1.5, id="burst-small-pool"),
        pytest.param(
            2, Places(24, 24, 0.4), 60, math.inf, math.inf, id="lost-engines-others"
        ),
        pytest.param(2, Places(0, 50, 0.4), 60, 0.0, 0.0, id="no-number-of-places"),
    ],
)
def test_wait_for_a_place(urgency, places, streams, low, high):
    assert low <= place_use().wait(urgency, places, streams, NOW) <= high


def test_wait_is_unknown_before_any_stream_ended():
    """Guards against an estimate from nothing right after a VM has started."""
    assert PlaceUse().wait(0, Places(10, 20), 5.0, 0.0) is None


# Guards against a pool in which all wait and all are late: what would make the queue
# too long for the most hurried requests is refused before its first send, and returns.
@pytest.mark.parametrize(
    ("asked", "planned", "place_wait", "refused"),
    [
        pytest.param(ask(), plan(), 0.0, False, id="room"),
        pytest.param(ask(), plan(), 0.2, False, id="burst-in-time"),
        pytest.param(ask(), plan(), 0.3, True, id="burst-late"),
        pytest.param(ask(DOCUMENT), plan(), 0.3, True, id="burst-document"),
        pytest.param(ask(DOCUMENT), plan(), math.inf, True, id="full-of-urgent"),
        pytest.param(
            ask(DOCUMENT, lot=0.05), plan(), math.inf, False, id="share-of-each-kind"
        ),
        pytest.param(ask(left=5.5), plan(), math.inf, False, id="returned"),
        pytest.param(ask(left=5.5), plan(12.0), 0.0, True, id="returned-hopeless"),
        pytest.param(ask(), plan(9.0), 0.0, True, id="prefill-outlasts-client"),
        pytest.param(ask(), plan(9.0, 8.0), 0.0, False, id="late-by-own-prefill"),
    ],
)
def test_decision_while_room_is_short(asked, planned, place_wait, refused):
    assert (decide(asked, planned, place_wait, False) is not None) is refused


# Guards against a VM that has just started and fills engines without free places.
@pytest.mark.parametrize("most_urgent", [True, False])
def test_without_an_estimate_only_the_most_urgent_go_to_full_engines(most_urgent):
    planned = plan(decode_slots_full=True)
    assert (decide(ask(), planned, None, most_urgent) is None) is most_urgent


WAITS = st.floats(0, 60) | st.just(math.inf)
LOTS = st.floats(0, 1, exclude_max=True)
POOLS = st.builds(Places, st.integers(1, 40), st.integers(0, 80), st.floats(0, 1))


@hypothesis.given(
    left=st.floats(0.01, 10), wait=WAITS, place_wait=WAITS, lot=LOTS, late=st.booleans()
)
def test_refused_client_returns_when_it_still_may(left, wait, place_wait, lot, late):
    """Guards against a ``Retry-After`` beyond a third of the time left, which clients
    don't honour."""
    route = DOCUMENT if late else QUESTION
    asked = ask(route, min(left, route.timeout), lot)
    refusal = decide(asked, plan(wait), place_wait, False)
    if refusal is not None:
        assert 0 <= refusal.retry_after <= asked.left / 3


@hypothesis.given(
    urgencies=st.tuples(st.integers(0, 3), st.integers(0, 3)),
    places=POOLS,
    streams=st.floats(0.5, 100),
    lot=LOTS,
)
def test_more_urgent_is_not_refused_beside_a_less_urgent_one(
    urgencies, places, streams, lot
):
    """Guards against an urgent request that is refused while, at the same moment and
    with the same work and limits, a less urgent one is let in."""
    use, refused = place_use(), []
    for urgency in sorted(urgencies):
        wait = use.wait(urgency, places, streams, NOW)
        refused.append(decide(ask(lot=lot), plan(), wait, False) is not None)
    assert refused[0] <= refused[1]


@hypothesis.given(places=POOLS, streams=st.floats(0.5, 1000))
def test_no_kind_of_request_starves(places, streams):
    """Guards against a kind of request that isn't served at all while more urgent ones
    ask for more than the pool has."""
    wait = place_use().wait(2, places, streams, NOW)
    lots = [n / 100 for n in range(100)]
    served = [decide(ask(DOCUMENT, lot=lot), plan(), wait, False) for lot in lots]
    assert served.count(None) >= int(100 * FLOOR_SHARE)


def test_refused_requests_return_one_after_the_other():
    """Guards against refused clients that all return in one moment and are refused
    again."""
    lots = [0.4 + n / 20 for n in range(10)]
    refusals = [decide(ask(lot=lot), plan(), LONG, False) for lot in lots]
    seconds = [refusal.retry_after for refusal in refusals]
    assert seconds == sorted(set(seconds))


@pytest.mark.parametrize("limit_share", [0.8, 1.0, 1.07])
@pytest.mark.parametrize("lot", [0.4, 0.99])
def test_one_that_came_back_is_told_by_the_time_that_it_has_left(limit_share, lot):
    """Guards against a request that is refused a second time though it could be served:
    most clients come back once."""
    first = ask(left=QUESTION.timeout * limit_share, lot=lot)
    assert not first.has_returned
    pause = decide(first, plan(), LONG, False).retry_after
    returned = ask(left=first.left - pause, lot=lot)
    assert returned.has_returned
    assert decide(returned, plan(), LONG, False) is None
