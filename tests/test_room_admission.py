"""Which requests get room in a pool of engines, by their callers' time and their work.

Loads: bursts of short questions beside long documents, and pools that lose engines. The
decisions run without network.
"""

import itertools
import math

import attrs
import hypothesis
import hypothesis.strategies as st
import pytest

from mulberrydock.placement import Plan
from mulberrydock.prefill_cost import PrefillCostModel
from mulberrydock.request import Kind, Route, Split
from mulberrydock.room.admission import CallerTime, ExpectedWork, decide
from mulberrydock.room.places import HELD_EXPIRY_SECONDS, Places, PlaceUse

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
#: Requests a second by urgency, and the seconds for which each holds a place.
MIX = {0: (6.0, 1.2), 1: (4.0, 0.1), 2: (2.0, 1.8)}
ARRIVALS = sum(rate for rate, _ in MIX.values())
#: Seconds after the start of the load at which the decisions are made.
NOW = 3.5
#: Seconds for which a stream of the pool holds its place at most.
LONGEST = 8.0


def place_use(mix=MIX):
    """Return what a VM has learnt after a while of ``mix``."""
    use = PlaceUse()
    for urgency, (rate, seconds) in mix.items():
        use.record_end(urgency, seconds, NOW)
        for n in range(int(rate * 4)):
            use.record_arrival(urgency, n / rate)
    return use


def wait(use, urgency, places, now=NOW):
    return use.wait(urgency, places, LONGEST, now)


def caller(left=8.0, patience=2.4):
    return CallerTime(min(patience, left), left)


def work(queue=0.0, place_wait=0.0, own=0.1, stream=0.0, in_place=False):
    return ExpectedWork(queue, place_wait, own, stream, in_place)


# Guards against requests that are refused although a place is free within
# milliseconds, and against VMs that together give away the last places before they
# hear of each other, so that more urgent requests find none.
@pytest.mark.parametrize(
    ("urgency", "places", "low", "high"),
    [
        pytest.param(2, Places(100, 40, 0.4, 60), 0.0, 0.0, id="ample-places"),
        pytest.param(
            2, Places(100, 40, 0.4, 200), math.inf, math.inf, id="unreported-urgent"
        ),
        pytest.param(0, Places(100, 99, 0.4, 200), 0.0, 0.0, id="last-place-urgent"),
        pytest.param(2, Places(100, 80, 0.4, 60), 0.01, 1.0, id="last-places-others"),
        pytest.param(2, Places(100, 80, 0.0, 60), 0.0, 0.0, id="counts-without-delay"),
        pytest.param(0, Places(300, 320, 0.4, 60), 0.0, 0.1, id="burst-large-pool"),
        pytest.param(0, Places(24, 44, 0.4, 60), 0.5, 1.5, id="burst-small-pool"),
        pytest.param(
            2, Places(24, 24, 0.4, 60), math.inf, math.inf, id="lost-engines-others"
        ),
        pytest.param(2, Places(0, 50, 0.4, 60), 0.0, 0.0, id="no-number-of-places"),
    ],
)
def test_wait_for_a_place(urgency, places, low, high):
    assert low <= wait(place_use(), urgency, places) <= high


# Guards against a VM that has just started and fills engines without free places:
# before any stream has ended, each may last as long as its route lets it.
@pytest.mark.parametrize(("streams", "seconds"), [(9, 0.0), (10, 0.8), (20, 8.8)])
def test_wait_before_any_stream_ended(streams, seconds):
    places = Places(10, streams, 0.4, 5.0)
    assert wait(PlaceUse(), 0, places, 0.0) == pytest.approx(seconds)


def test_average_that_no_stream_confirms_expires():
    """Guards against a pool that refuses all requests because its streams once took
    long: as none begins, none could show that they no longer do."""
    use, places = place_use({0: (6.0, 60.0)}), Places(10, 10, 0.0, 6.0)
    later = NOW + HELD_EXPIRY_SECONDS + 0.1
    assert use.held_seconds(0, NOW) == 60.0
    assert use.held_seconds(0, later) == 0.0
    assert wait(use, 0, places, later) < wait(use, 0, places)


# Guards against a request that waits although its caller will have left or its time
# will be over, and against one that is refused although it would be served in time.
@pytest.mark.parametrize(
    ("time", "expected", "refused"),
    [
        pytest.param(caller(), work(), False, id="room"),
        pytest.param(caller(), work(2.2), False, id="queue-in-time"),
        pytest.param(caller(), work(2.4), True, id="queue-outlasts-caller"),
        pytest.param(caller(), work(0, 2.4), False, id="place-in-time"),
        pytest.param(caller(), work(0, 2.5), True, id="place-outlasts-caller"),
        pytest.param(
            caller(), work(0, 2.4, in_place=True), True, id="prefill-after-place"
        ),
        pytest.param(caller(), work(0, math.inf), True, id="full-of-more-urgent"),
        pytest.param(caller(), work(own=2.3), False, id="long-prefill-in-time"),
        pytest.param(caller(), work(own=2.5), True, id="own-prefill-too-long"),
        pytest.param(caller(3.0), work(0, 1.0, stream=1.9), False, id="ends-in-time"),
        pytest.param(caller(3.0), work(0, 1.0, stream=2.1), True, id="ends-too-late"),
        pytest.param(caller(1.0), work(stream=2.0), False, id="long-stream-free-place"),
        pytest.param(caller(-0.1), work(), True, id="time-is-over"),
    ],
)
def test_decision_from_time_left_and_work_left(time, expected, refused):
    assert (decide(time, expected, 0.5) is not None) is refused


@pytest.mark.parametrize(("waited", "patience"), [(0.0, 2.4), (2.0, 0.4), (3.0, -0.6)])
def test_caller_without_an_event_gives_up_counting_from_its_arrival(waited, patience):
    """Guards against an attempt after a failure that gets the patience of a new one."""
    time = CallerTime.from_route(QUESTION, 5.0, waited)
    assert (time.patience, time.left) == (pytest.approx(patience), 5.0)


def test_work_of_a_plan_tells_the_queue_from_its_own():
    """Guards against a wait for others that counts as the request's own work, or twice
    beside the wait for a place."""
    plan = Plan(None, "prefill", wait=1.0, queue_seconds=0.7)
    found = ExpectedWork.from_plan(plan, 1.2, 0.5)
    assert (found.queue, found.own) == (0.7, pytest.approx(0.3))
    assert found.room == pytest.approx(0.9)
    assert found.first_event == pytest.approx(1.2)
    assert found.end == pytest.approx(1.7)


# Guards against plain calls that wait at a full service though it is known that their
# time will be over, and against ones refused for a slow answer while a place is free.
@pytest.mark.parametrize(
    ("place_wait", "left", "refused"),
    [(0.0, 0.05, False), (0.4, 0.45, True), (0.4, 0.55, False), (1.2, 1.0, True)],
)
def test_plain_call_waits_only_if_its_time_allows(place_wait, left, refused):
    route = attrs.evolve(QUESTION, kind=Kind.IDEMPOTENT, client_idle_timeout=math.inf)
    time = CallerTime.from_route(route, left, 0.0)
    expected = ExpectedWork.from_plan(Plan("instance"), place_wait, 0.1)
    assert (decide(time, expected, 0.0) is not None) is refused


# Guards against a long prompt that is refused for a speed that nobody has measured:
# while all are refused, nothing would show that the engines are faster.
@pytest.mark.parametrize(
    ("measured_at", "refused"), [(None, False), (NOW - 31, False), (NOW - 1, True)]
)
def test_own_prefill_counts_only_at_a_measured_speed(measured_at, refused):
    model = PrefillCostModel()
    if measured_at is not None:
        model.record(10_000, 0, 1.0, measured_at)
    plan = Plan(None, "prefill", wait=3.0)
    expected = ExpectedWork.from_plan(plan, 0.0, 0.0, model.is_measured(NOW))
    assert (decide(caller(), expected, 0.0) is not None) is refused


SECONDS = st.floats(0, 60)
WAITS = SECONDS | st.just(math.inf)
LOTS = st.floats(0, 1, exclude_max=True)
POOLS = st.builds(
    Places,
    st.integers(1, 40),
    st.integers(0, 80),
    st.floats(0, 1),
    st.floats(0.5, 100),
)
WORKS = st.builds(ExpectedWork, SECONDS, WAITS, SECONDS, SECONDS, st.booleans())


@hypothesis.given(work=WORKS, lefts=st.tuples(SECONDS, SECONDS), lot=LOTS)
def test_more_time_for_the_same_work_is_never_worse(work, lefts, lot):
    """Guards against a caller that is refused while one with less time left is let in,
    as when a short limit is taken for the sign of a retry."""
    less, more = (decide(caller(left), work, lot) for left in sorted(lefts))
    assert more is None or less is not None


@hypothesis.given(work=WORKS, left=SECONDS, lot=LOTS)
def test_what_is_let_in_is_expected_in_time(work, left, lot):
    """Guards against a request that is held although it is known to be late."""
    time = caller(left)
    if decide(time, work, lot) is None:
        assert work.first_event <= time.patience


@hypothesis.given(work=WORKS, left=st.floats(-1, 60), lot=LOTS)
def test_return_is_when_room_is_expected_or_beyond_the_callers_time(work, left, lot):
    """Guards against a ``Retry-After`` that invites to a second refusal: if nothing
    else arrives, a client that honours it is let in, unless its time is over."""
    refusal = decide(caller(left), work, lot)
    if refusal is None:
        return
    assert 0 <= refusal.retry_after < math.inf
    if refusal.retry_after >= left:
        return
    passed = refusal.retry_after
    later = attrs.evolve(
        work,
        queue=max(0.0, work.queue - passed),
        place_wait=max(0.0, work.place_wait - passed),
    )
    # A client that returns has waited for nothing yet.
    hypothesis.assume(work.own <= 2.4)
    assert decide(caller(left - passed + 1e-6), later, lot) is None


@hypothesis.given(
    urgencies=st.tuples(st.integers(0, 3), st.integers(0, 3)), places=POOLS, lot=LOTS
)
def test_more_urgent_is_not_refused_beside_a_less_urgent_one(urgencies, places, lot):
    """Guards against an urgent request that is refused while, at the same moment and
    with the same work and limits, a less urgent one is let in."""
    use, refused = place_use(), []
    for urgency in sorted(urgencies):
        expected = work(0, wait(use, urgency, places))
        refused.append(decide(caller(), expected, lot) is not None)
    assert refused[0] <= refused[1]


def test_refused_requests_return_one_after_the_other():
    """Guards against refused clients that all return in one moment and are refused
    again."""
    lots = [n / 10 for n in range(10)]
    refusals = [decide(caller(30.0), work(3.0), lot) for lot in lots]
    seconds = [refusal.retry_after for refusal in refusals]
    assert seconds[0] == 3.0
    assert all(a < b for a, b in itertools.pairwise(seconds))


# Guards against refusals for work that was before a request when the VM stood still,
# and against requests that can't be served in time whatever the others do.
@pytest.mark.parametrize(
    ("own", "patience", "is_refused"),
    [
        pytest.param(0.3, 2.4, False, id="time-for-its-own-work"),
        pytest.param(2.5, 2.4, True, id="too-little-for-its-own-work"),
        pytest.param(0.3, 0.2, True, id="little-time-left"),
    ],
)
def test_request_alone_is_refused_for_its_own_work_only(own, patience, is_refused):
    work = ExpectedWork(queue=3.0, place_wait=math.inf, own=own, stream=1.0)
    assert decide(caller(patience=patience), work, 0.0) is not None
    assert (
        decide(caller(patience=patience), work.alone, 0.0) is not None
    ) is is_refused
