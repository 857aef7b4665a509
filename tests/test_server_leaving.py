"""An engine states in its responses that it leaves, while the store doesn't answer.

The daemons are real processes; the store and the engines are stand-ins.
"""

import time

import pytest
from stated_fleet import busiest, send_round, send_until_arrival, started_fleet

from mulberrydock.standin.platform_engine import Fault

#: From the response that states the leave until no request may reach the engine.
DRAIN_SECONDS = 2.0
#: Rounds of requests sent after that.
ROUNDS = 6


@pytest.fixture
def fleet(tmp_path):
    with started_fleet(tmp_path) as running:
        yield running


def arrivals_after_drain(fleet, engine, name="entry-1"):
    """Return the ids of requests that reach ``engine`` although it is leaving."""
    time.sleep(DRAIN_SECONDS)
    engine.arrived_ids.clear()
    for number in range(ROUNDS):
        send_round(fleet, f"after-{number}", name)
    return engine.arrived_ids


# Guards against new requests for an engine that has said it leaves, while its record in
# the store still says that it is ready.
@pytest.mark.parametrize(
    ("kind", "fault"),
    [
        ("plain", Fault.NONE),
        ("plain", Fault.REFUSE),
        ("plain", Fault.ERROR),
        ("plain", Fault.CUT),
        ("decode", Fault.NONE),
        ("decode", Fault.REFUSE),
        ("decode", Fault.CUT_MID_EVENT),
        ("prefill", Fault.NONE),
        ("prefill", Fault.REFUSE),
    ],
)
def test_engine_that_says_it_leaves_gets_no_new_requests(fleet, kind, fault):
    engine = busiest(fleet, kind)
    fleet.store.silent = True
    engine.leaving, engine.faults = True, [fault]
    send_until_arrival(fleet, engine)
    assert arrivals_after_drain(fleet, engine) == []


# Guards against a leave that a VM forgets when the record of the engine expires in an
# outage of the store and is written again, still as ready.
def test_leave_is_remembered_when_the_record_is_written_again(fleet):
    engine = busiest(fleet, "plain")
    engine.leaving = True
    send_until_arrival(fleet, engine)
    fleet.remove(f"servers/{engine.id}")
    time.sleep(DRAIN_SECONDS)
    fleet.write(f"servers/{engine.id}", engine.store_document())
    assert arrivals_after_drain(fleet, engine) == []


# Guards against a VM that goes on sending to an engine whose leave only another VM was
# told, as the store doesn't answer: the engine may end with those requests.
def test_other_vms_learn_of_a_leave(fleet):
    engine = busiest(fleet, "decode")
    fleet.store.silent = True
    engine.leaving = True
    send_until_arrival(fleet, engine)
    assert arrivals_after_drain(fleet, engine, "entry-2") == []
