"""Duties on the platform's protocol: the calls, and the daemons that make them."""

import asyncio
import json

import pytest
import tornado.httpserver
from platform_fleet import (
    IDEMPOTENT_PATH,
    NON_IDEMPOTENT_PATH,
    STREAM_PATH,
    PlatformFleet,
    config,
    wait_until,
)

from mulberrydock.fleet import free_ports
from mulberrydock.platform import DutyOutcome, PlatformDuties
from mulberrydock.scaling import EngineOrder
from mulberrydock.standin import platform_duties
from mulberrydock.standin.platform_engine import Fault

WINDOW_SECONDS = 1
DUTIES = """
[duties]
address = "{address}"
names = ["usage_report", "autoscaler"]
usage_window_seconds = {window}
usage_due_seconds = 6.0
"""


def start_standin():
    """Start the stand-in on the running loop; return its state and address."""
    state = platform_duties.PlatformDutiesState()
    (port,) = free_ports(1)
    server = tornado.httpserver.HTTPServer(platform_duties.make_app(state))
    server.listen(port, address="127.0.0.1")
    return state, f"127.0.0.1:{port}"


@pytest.mark.parametrize(
    ("fault", "outcome"),
    [
        ({}, DutyOutcome.ACCEPTED),
        ({"busy": 1}, DutyOutcome.BUSY),
        ({"lost": 1}, DutyOutcome.UNKNOWN),
        ({"unavailable": True}, DutyOutcome.REFUSED),
    ],
)
def test_platform_answers_are_told_apart(fault, outcome):
    async def go():
        state, address = start_standin()
        for name, value in fault.items():
            setattr(state, name, value)
        order = EngineOrder("llm", "dc1", True, 4)
        found = await PlatformDuties(address).order_engines("entry-1", 7, order)
        return state, found

    state, found = asyncio.run(go())
    assert found is outcome
    assert state.calls == [("/scale", "entry-1", 7)]
    accepted = {("llm", "dc1", True): 4} if outcome is DutyOutcome.ACCEPTED else {}
    assert state.orders == accepted


def test_late_call_of_a_former_holder_changes_nothing():
    """Guards against an order that got no answer and is carried out after a newer one
    of the next holder."""

    async def go():
        state, address = start_standin()
        duties, old = PlatformDuties(address), EngineOrder("llm", "dc1", False, 9)
        state.lost = 1
        await duties.order_engines("entry-1", 7, old)
        new = EngineOrder("llm", "dc1", False, 2)
        await duties.order_engines("entry-2", 8, new)
        return state, state.apply_late()

    state, statuses = asyncio.run(go())
    assert statuses == [409]
    assert state.orders == {("llm", "dc1", False): 2}


def test_unreachable_platform_gives_an_unknown_outcome():
    (port,) = free_ports(1)
    duties = PlatformDuties(f"127.0.0.1:{port}")
    outcome = asyncio.run(duties.report_usage("entry-1", 7, 3, {"a": 1}))
    assert outcome is DutyOutcome.UNKNOWN


@pytest.fixture
def fleet(tmp_path):
    """Two daemons with duties before engines that may be ordered; two teams."""
    running = PlatformFleet(tmp_path)
    running.duties, address = running.call_on_loop(start_standin)
    running.extra_settings = DUTIES.format(address=address, window=WINDOW_SECONDS)
    document = config(3)
    document["services"][0]["autoscale"] = {
        "min": 1,
        "max": 8,
        "boot_timeout_s": 1.0,
        "spot_price": 0.2,
        "zone_prices": {"dc1": 1.0, "dc2": 0.8},
    }
    document["tenants"] = [
        {"name": "clerks", "api_keys": ["key-a"]},
        {"name": "kiosks", "api_keys": ["key-b"]},
    ]
    running.write("op/config", document)
    for name in ("d1", "d2"):
        running.add_instance(name, "llm", "decode")
    for name in ("a1", "a2"):
        running.add_instance(name, "app")
    try:
        for name in ("entry-1", "entry-2"):
            running.start(name)
        for name in ("entry-1", "entry-2"):
            running.wait_ready(name)
        yield running
    finally:
        running.stop()


def total(fleet):
    """Return the reported requests of each team over all windows."""
    counts = {}
    for report in list(fleet.duties.reports.values()):
        for team, count in report.items():
            counts[team] = counts.get(team, 0) + count
    return counts


def send(fleet, path, request_id, key, name):
    return fleet.request(
        path, request_id, name=name, Authorization=f"Bearer {key}"
    ).status


def test_requests_that_began_are_reported_once_for_each_team(fleet):
    """Guards against requests that are counted twice or not at all: those that were
    retried, failed at the engine, or were rejected by it or here."""
    for number, path in enumerate((STREAM_PATH, IDEMPOTENT_PATH, NON_IDEMPOTENT_PATH)):
        for name in ("entry-1", "entry-2"):
            assert send(fleet, path, f"c{number}{name}", "key-a", name) == 200
    fleet.fail_next("app", Fault.ERROR)
    assert send(fleet, IDEMPOTENT_PATH, "k1", "key-b", "entry-1") == 200
    fleet.fail_next("app", Fault.REFUSE)
    assert send(fleet, NON_IDEMPOTENT_PATH, "k2", "key-b", "entry-2") == 200
    fleet.fail_next("app", Fault.REFUSE, Fault.REFUSE)
    assert send(fleet, NON_IDEMPOTENT_PATH, "k3", "key-b", "entry-1") == 503
    assert send(fleet, IDEMPOTENT_PATH, "k4", "key-x", "entry-1") == 401
    wait_until(lambda: total(fleet) == {"clerks": 6, "kiosks": 2})
    logs = fleet.log("entry-1") + fleet.log("entry-2")
    assert "key-a" not in logs and "key-b" not in logs


def test_only_one_vm_calls_the_platform_and_another_takes_over(fleet):
    """Guards against duties that end with their holder, and two holders at once."""
    wait_until(lambda: fleet.duties.reports and len(fleet.duties.orders) == 2)
    assert set(fleet.duties.orders.values()) == {2}
    (first,) = {holder for _, holder, _ in fleet.duties.calls}
    fleet.daemons[first].kill()
    wait_until(lambda: len({holder for _, holder, _ in fleet.duties.calls}) == 2)
    (second,) = {"entry-1", "entry-2"} - {first}
    last = max(fleet.duties.reports)
    wait_until(lambda: max(fleet.duties.reports) > last)
    tokens = [token for _, _, token in fleet.duties.calls]
    assert tokens == sorted(tokens)
    assert {h for _, h, t in fleet.duties.calls if t == tokens[-1]} == {second}


def test_keys_are_in_no_metric(fleet):
    assert send(fleet, IDEMPOTENT_PATH, "c1", "key-a", "entry-1") == 200
    body = fleet.get(fleet.settings["entry-1"]["metrics"], "/metrics")[1].decode()
    assert "mulberrydock_rejected_total" in body and "key-a" not in body
    assert json.dumps("key-a") not in fleet.log("entry-1")
