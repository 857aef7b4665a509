"""Which requests are refused at once under overload, and when clients should retry."""

import attrs
import pytest

from mulberrydock import refusal
from mulberrydock.fleet_view import FleetView
from mulberrydock.placement import Plan
from mulberrydock.request import Kind, Route, RoutingConfig, Split

URGENT = Route(
    "r", "h", "/", Kind.STREAMING, (Split("llm", 1),), 9, 0.5, 0.3, 0, 2, True
)
ROUTES = (URGENT, attrs.evolve(URGENT, priority=1))


@pytest.mark.parametrize(
    ("wait", "prefill_seconds", "left", "seconds"),
    [
        # In time, or perhaps in time: waits rarely exceed twice the estimate.
        (0.3, 0.1, 10.0, None),
        (4.7, 0.1, 10.0, None),
        # Its client times out after 2.4 s: it should retry when the queue is short, but
        # no later than its deadline allows.
        (5.0, 0.1, 10.0, 3.0),
        (5.0, 0.1, 20.0, 3.8),
        # Late because of its own prefill time: a retry is no better.
        (9.0, 6.0, 10.0, None),
        # Little time left, less than the client's idle timeout.
        (1.1, 0.1, 0.5, 0.15),
    ],
)
def test_stream_is_refused_if_its_client_would_time_out(
    wait, prefill_seconds, left, seconds
):
    """Guards against streams that wait until their clients time out, for example behind
    three prompts of 50,000 tokens at the only prefill engine. Refused at once, they are
    retried when the queue is shorter."""
    plan = Plan(None, None, 0, wait, prefill_seconds)
    refused = refusal.refuse(plan, 2.4, False, left)
    assert (refused and refused.retry_after) == pytest.approx(seconds)


# Guards against more streams than the decode engines have slots: all of them slow down
# then, and the longest answers are cut at their deadline.
@pytest.mark.parametrize(
    ("decode_slots_full", "most_urgent", "refused"),
    [(False, False, False), (True, False, True), (True, True, False)],
)
def test_without_a_free_slot_all_but_the_most_urgent_streams_are_refused(
    decode_slots_full, most_urgent, refused
):
    plan = Plan(None, None, 0, 0.3, 0.1, decode_slots_full=decode_slots_full)
    found = refusal.refuse(plan, 2.4, most_urgent, 10.0)
    assert (found is not None) is refused


@pytest.mark.parametrize(
    ("found", "pause", "left", "seconds"),
    [
        (True, 0.0, 8.0, 0.5),
        (False, 0.0, 30.0, 3.0),
        (False, 0.0, 8.0, 2.4),
        (False, 0.0, 2.0, 0.6),
        (False, 0.0, -1.0, 0.0),
        (True, 2.0, 8.0, 2.0),
        (False, 2.0, 8.0, 2.0),
        (True, 0.1, 8.0, 0.5),
        (True, 3600.0, 8.0, 2.4),
        (True, 2.0, -1.0, 0.0),
    ],
)
def test_retry_time_covers_a_stage_change_or_a_pause(found, pause, left, seconds):
    """Guards against retries after half a second while another engine replaces the last
    decode engine, which takes 3 s: the client is refused again and gives up."""
    assert refusal.retry_after(found, pause, left) == pytest.approx(seconds)


@pytest.mark.parametrize(
    ("priority", "service", "expected"),
    [(0, "llm", True), (1, "llm", False), (1, "other", True)],
)
def test_most_urgent_route_of_a_service(priority, service, expected):
    """Guards against a route that is compared with the routes of other services."""
    fleet = FleetView("dc1", None, lambda: 1, lambda instance_id: None)
    assert fleet.routes.accept(RoutingConfig(1, ROUTES, {}, None))
    assert fleet.routes.is_most_urgent(priority, service) is expected


# Guards against clients that were refused in one moment and all return in one.
@pytest.mark.parametrize(
    ("found", "left", "lot", "seconds"),
    [
        (True, 8.0, 0.5, 0.625),
        (False, 30.0, 0.5, 3.75),
        (False, 8.0, 0.5, 2.4),
        (True, 0.9, 0.5, 0.27),
    ],
)
def test_refused_clients_return_spread_within_their_time(found, left, lot, seconds):
    assert refusal.retry_after(found, 0.0, left, lot) == pytest.approx(seconds)
