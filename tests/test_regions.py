"""Where work goes when the data centres lie in several regions."""

import collections

import pytest
from test_placement import ROUTE, D, P, engines, pool

from mulberrydock.fleet_view import FleetView
from mulberrydock.instances import Instance, InstanceRecord
from mulberrydock.metrics import ServeMetrics
from mulberrydock.peer_loads import Load
from mulberrydock.placement import Placement
from mulberrydock.regions import Distances
from mulberrydock.regions.distances import (
    MAX_SAMPLES,
    REGION_HOP_SECONDS,
    REMOTE_HOP_SECONDS,
    SAMPLE_SECONDS,
)
from mulberrydock.relay import Relay
from mulberrydock.request import Prompt, PromptPart
from mulberrydock.serve_settings import parse_serve_settings

REGIONS = {"near1": "north", "near2": "north", "far1": "south"}
SHORT = Prompt(800, 20, (PromptPart("rules", 100), PromptPart("own", 700)))


def distances(regions=None):
    """Return the distances of a VM in ``near1``."""
    return Distances("near1", REGIONS if regions is None else regions)


@pytest.mark.parametrize(
    ("data_centre", "samples", "seconds"),
    [
        ("near1", [], 0.0),
        ("near2", [0.5], REMOTE_HOP_SECONDS),
        ("far1", [], REGION_HOP_SECONDS),
        # The shortest of the latest connections: others waited for something else.
        ("far1", [0.04, 0.031, 0.2], 0.031),
        ("far1", [0.01] + [0.05] * MAX_SAMPLES, 0.05),
        # A data centre that the settings don't name: what is observed counts.
        ("new", [0.5], 0.5),
        ("new", [], REGION_HOP_SECONDS),
    ],
)
def test_distance_is_that_of_the_fastest_recent_connection(
    data_centre, samples, seconds
):
    known = distances()
    for sample in samples:
        known.record(data_centre, sample, 10.0)
    assert known.hop_seconds(data_centre) == seconds


def test_slow_connections_of_the_past_keep_no_region_away():
    """Guards against a region that stays out of use after its link was slow, as no
    request goes there whose connection would show that it is over."""
    known = distances()
    for now in range(MAX_SAMPLES):
        known.record("far1", 0.4, float(now))
    known.expire(MAX_SAMPLES + SAMPLE_SECONDS / 2)
    assert known.hop_seconds("far1") == 0.4
    known.expire(MAX_SAMPLES + SAMPLE_SECONDS)
    assert known.hop_seconds("far1") == REGION_HOP_SECONDS


@pytest.mark.parametrize(
    ("connected", "seconds"), [(True, 0.03), (False, REGION_HOP_SECONDS)]
)
def test_connections_of_the_relay_show_the_distance(connected, seconds):
    """Guards against an instance that refuses at once and so seems to be near."""
    fleet = FleetView("near1", None, lambda: 1, lambda instance: None, regions=REGIONS)
    relay = Relay(fleet, None, ServeMetrics())
    far = Instance(InstanceRecord("far", "llm", "h:1", "far1", 64, False, P))
    relay._record_connect(far, connected, 0.03)
    assert fleet.distances.hop_seconds("far1") == seconds


@pytest.mark.parametrize(
    ("regions", "source", "target", "factor"),
    [
        (REGIONS, "near1", "near1", 1.0),
        (REGIONS, "near1", "near2", 2.0),
        (REGIONS, "near2", "far1", 10.0),
        (REGIONS, "near1", "new", 10.0),
        (REGIONS, "new", "new", 1.0),
        ({}, "near1", "far1", 2.0),
        ({"near1": "north"}, "near1", "far1", 2.0),
    ],
)
def test_kv_cache_is_transferred_at_the_speed_of_the_distance(
    regions, source, target, factor
):
    assert distances(regions).transfer_factor(source, target) == factor


def short_plan(near_backlog, far_backlog, regions=REGIONS):
    """Return the plan of a short prompt at a VM in ``near1``.

    Four engines of each region have so many tokens to prefill.
    """
    near = engines(P, 2, "near1") + engines(D, 2, "near2")
    far = [
        Instance(
            InstanceRecord(
                f"far-{stage.value}{n}", "llm", "h:1", "far1", 64, False, stage
            )
        )
        for stage in (P, D)
        for n in range(2)
    ]
    loads = {e.id: Load(1, (near_backlog,)) for e in near}
    loads |= {e.id: Load(1, (far_backlog,)) for e in far}
    prefills = [e for e in near + far if e.record.stage is P]
    decoders = [e for e in near + far if e.record.stage is D]
    placement = Placement("near1", distances(regions))
    return placement.plan(SHORT, ROUTE, pool(prefills, decoders, loads))


@pytest.mark.parametrize(
    ("near_backlog", "far_backlog", "near"),
    [
        (0, 0, True),
        # A wait that is shorter than the way to another region and back.
        (1_500, 0, True),
        # Peak of this region while another one is idle, and the reverse.
        (40_000, 0, False),
        (0, 40_000, True),
        # Peak of both.
        (40_000, 40_000, True),
    ],
)
def test_regions_out_of_phase_serve_near_and_send_only_the_surplus_away(
    near_backlog, far_backlog, near
):
    plan = short_plan(near_backlog, far_backlog)
    assert (plan.target.record.data_centre != "far1") is near


def test_prompt_is_decoded_in_the_region_that_has_prefilled_it():
    """Guards against a KV cache that crosses to another region, ten times as slow as
    within one."""
    near, far = engines(D, 1, "near1"), engines(P, 1, "far1")
    far_decoder = Instance(
        InstanceRecord("far-decode", "llm", "h:9", "far1", 64, False, D)
    )
    known = pool(far, [*near, far_decoder], transfer_seconds_per_token=1e-6)
    placement = Placement("near1", distances())
    target = placement.choose_decoder(known, 12_000, far[0])
    assert target is far_decoder
    assert Placement("near1").choose_decoder(known, 100, far[0]) is near[0]


def plain(running):
    """Return plain-service instances with loads: ``running`` requests by name."""
    rows = [
        Instance(InstanceRecord(name, "app", "h:1", name.rstrip("ab"), 6, False))
        for name in running
    ]
    return rows, {name: Load(count) for name, count in running.items()}


@pytest.mark.parametrize(
    ("running", "chosen"),
    [
        ({"near1a": 5, "near2a": 4, "far1a": 0}, "near2a"),
        ({"near1a": 6, "near2a": 6, "far1a": 0}, "far1a"),
        ({"near1a": 7, "near2a": 7, "far1a": 7}, "near1a"),
    ],
)
def test_plain_requests_stay_near_while_a_slot_is_free(running, chosen):
    instances, loads = plain(running)
    placement = Placement("near1", distances())
    assert placement.least_loaded(instances, loads).id == chosen


def test_one_region_is_served_as_without_regions():
    regions = dict.fromkeys(REGIONS, "north")
    counts = collections.Counter()
    for backlog in range(0, 40_000, 4_000):
        plans = [short_plan(backlog, 0, regions), short_plan(backlog, 0, {})]
        counts[plans[0].target.id == plans[1].target.id] += 1
    assert set(counts) == {True}


def test_settings_name_the_region_of_each_data_centre():
    text = """
        name = "vm-1"
        data_centre = "near1"
        region = "north"
        ip = "127.0.0.1"
        [regions]
        "near1" = "north"
        "far1" = "south"
        [listen]
        front = "127.0.0.1:1"
        ready = "127.0.0.1:2"
        directory = "127.0.0.1:3"
        peer_ports = [4, 5]
        [store]
        address = "127.0.0.1:6"
        [timing]
        contact_seconds = 4
        config_apply_seconds = 4
        drain_seconds = 4
        grace_seconds = 8
        answer_ttl_seconds = 5
        lease_seconds = 3
        retry_budget_ratio = 0.2
        retry_budget_window_seconds = 10
        retry_budget_floor = 208
    """
    settings = parse_serve_settings(text)
    fleet = FleetView(
        settings.data_centre,
        settings.timing,
        lambda: 1,
        lambda instance: None,
        regions=settings.regions,
    )
    assert not fleet.distances.is_near("far1")
    assert fleet.distances.several_regions
    assert fleet.placement.distances is fleet.distances
