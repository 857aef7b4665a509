"""Which instances a request is planned to, where several software versions serve."""

import pytest

from mulberrydock.fleet_view import FleetView
from mulberrydock.instances import InstanceRecord, Stage
from mulberrydock.request import Kind, Prompt, Request, Route, Split

NOW = 10.0
ROUTE = Route(
    "r", "h", "/", Kind.STREAMING, (Split("llm", 1),), 10, 0.6, 0.3, 2, 2, True, 2.4
)
#: One whose prompt prefill engines prefill.
LONG = Request("r", "POST", "/", "h", [], b"", 0.0, 20.0, Prompt(30_000, 10))


@pytest.fixture
def fleet():
    """A view of a prefill engine and a decode engine of each of two versions."""
    view = FleetView("dc1", None, lambda: 1, lambda instance_id: None)
    for version in ("v1", "v2"):
        for stage in (Stage.PREFILL, Stage.DECODE):
            name = f"{stage.value}-{version}"
            record = InstanceRecord(
                name, "llm", f"{name}:1", "dc1", 64, False, stage, version=version
            )
            view.instances.put(record, NOW)
    return view


def stages_of(plan):
    """Return the ids of the prefill engine and the decode engine of a plan."""
    return plan.prefill.id, plan.target.id


# Guards against a KV cache that an engine of another version can't read.
@pytest.mark.parametrize("version", ["v1", "v2"])
def test_prompt_is_prefilled_and_decoded_at_one_version(fleet, version):
    plan = fleet.plan(LONG, ROUTE, "llm", set(), NOW, version)
    expected = (f"prefill-{version}", f"decode-{version}")
    assert stages_of(plan) == expected
    again = fleet.decode_plan(LONG, "llm", plan, {plan.prefill.id}, NOW)
    assert stages_of(again) == expected


# Guards against a prefill in vain: the only decode engine of its version is avoided,
# and others are not, but none of these can use the KV cache.
def test_only_decode_engine_of_a_version_is_used_though_it_is_suspected(fleet):
    fleet.suspicion.record_failure("decode-v1", NOW, unreachable=True)
    plan = fleet.plan(LONG, ROUTE, "llm", set(), NOW, "v1")
    again = fleet.decode_plan(LONG, "llm", plan, {plan.prefill.id}, NOW)
    assert again is not None and again.target.id == "decode-v1"


# Guards against a request that may begin anywhere and goes to a suspected engine.
def test_new_request_goes_to_a_version_in_good_order(fleet):
    fleet.suspicion.record_failure("decode-v1", NOW, unreachable=True)
    plan = fleet.plan(LONG, ROUTE, "llm", set(), NOW)
    assert stages_of(plan) == ("prefill-v2", "decode-v2")
