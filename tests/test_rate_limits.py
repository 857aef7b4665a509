"""What a fleet sends to an instance that declares a rate limit, in simulated time.

The instance is overloaded: 8 or 195 VMs, each of which always has another request for
it, ask for more than it accepts.
"""

import random

import attrs
import pytest

from mulberrydock.fleet_view import FleetView
from mulberrydock.instances import InstanceRecord
from mulberrydock.rate_limits import CLEAR_RESPONSES, TAKEOVER_SECONDS, RateLimits
from mulberrydock.request import ResponseMetadata

#: Seconds from the first response with the limit until the fleet must keep to it,
#: seconds of a window, and requests that it may contain beyond one and a half times the
#: limit.
CONTACT_SECONDS = 3.0
WINDOW_SECONDS = 4.0
SLACK = 5
#: Seconds after a VM's first response with the limit from which its requests count.
NOTICE_SECONDS = 0.5
#: Seconds of one run, and requests a second for the instance at all VMs together.
SECONDS = 14.0
DEMAND = 60.0
STEP_SECONDS = 0.1
SMALL = {"dc1": 3, "dc2": 3, "dc3": 2}
LIMITED = InstanceRecord("e1", "llm", "10.0.0.1:80", "dc1", 64, False)
LARGE = {f"dc{n}": 39 for n in range(1, 6)}


@attrs.define
class LimitedInstance:
    """Declares its limit from the first request on.

    ``noticed_at`` is when each VM first got a response with the limit, ``arrived`` are
    the times of all requests, ``counted`` of those from VMs that know the limit.
    """

    rate: float
    noticed_at: dict = attrs.field(factory=dict)
    counted: list = attrs.field(factory=list)
    arrived: list = attrs.field(factory=list)
    first_at: float | None = None

    def answer(self, vm, now):
        """Answer one request of a VM."""
        if self.first_at is None:
            self.first_at = now
        noticed = now - self.noticed_at.setdefault(vm.name, now) >= NOTICE_SECONDS
        if noticed and now - self.first_at >= CONTACT_SECONDS:
            self.counted.append(now)
        self.arrived.append(now)
        vm.link.limits.observe("e1", self.rate, now, now)

    def max_in_window(self):
        """Return the maximum number of counted requests in any window."""
        counts = (
            sum(start <= at < start + WINDOW_SECONDS for at in self.counted)
            for start in self.counted
        )
        return max(counts, default=0)


def simulate(fleet, instance, seconds, rng, share=1.0):
    """Simulate all VMs, each of which sends its part of the demand as permitted."""
    end = fleet.now + seconds
    while fleet.now < end:
        fleet.run(STEP_SECONDS)
        for vm in fleet.vms.values():
            if vm.name in fleet.dead:
                continue
            asked = DEMAND * share * STEP_SECONDS / len(fleet.vms)
            if rng.random() < asked and vm.link.limits.permits("e1", fleet.now):
                vm.link.limits.take("e1", fleet.now)
                instance.answer(vm, fleet.now)


def nothing(fleet):
    """Change nothing."""


def senders_die(fleet):
    """Stop the VMs that send; their records stay for a while."""
    fleet.dead |= {name for name, vm in fleet.vms.items() if vm.link.limits.shares}


def senders_leave(fleet):
    """Stop the VMs that send and remove their records."""
    senders_die(fleet)
    for vm in fleet.vms.values():
        for name in fleet.dead:
            vm.membership.peers.pop(name, None)


def data_centres_are_cut(fleet):
    """Drop all datagrams between data centres."""
    names = {vm.data_centre for vm in fleet.vms.values()}
    fleet.cut |= {frozenset((a, b)) for a in names for b in names if a != b}


def records_lapse(fleet):
    """Remove the records of all VMs, as if the store lost them."""
    for vm in fleet.vms.values():
        vm.membership.begin_reload()


def vms_start_again(fleet):
    """Restart a quarter of the VMs: they know no limit and at first no other VM."""
    names = sorted(fleet.vms)[::4]
    for name in names:
        known = fleet.vms[name].membership.peers
        fleet.add(name, fleet.vms[name].data_centre)
        fleet.vms[name].membership.peers.update(known)


SMALL_CASES = [
    pytest.param(SMALL, rate, event, id=f"8-vms-{rate}-{event.__name__}")
    for rate in (2.3, 0.0, 12.0)
    for event in (
        nothing,
        senders_die,
        senders_leave,
        data_centres_are_cut,
        records_lapse,
        vms_start_again,
    )
]
LARGE_CASES = [
    pytest.param(LARGE, 2.3, event, id=f"195-vms-2.3-{event.__name__}")
    for event in (nothing, records_lapse, vms_start_again)
]


# Guards against a limit that each VM respects for itself alone, that is divided into
# too many shares to be respected, or that is exceeded while VMs start and leave.
@pytest.mark.parametrize(("sizes", "rate", "event"), SMALL_CASES + LARGE_CASES)
def test_fleet_keeps_to_a_limit(peer_fleet, sizes, rate, event):
    fleet, rng, instance = peer_fleet(**sizes), random.Random(3), LimitedInstance(rate)
    simulate(fleet, instance, SECONDS / 2, rng)
    event(fleet)
    simulate(fleet, instance, SECONDS / 2, rng)
    assert instance.max_in_window() <= 1.5 * rate * WINDOW_SECONDS + SLACK


# Guards against a limited instance that gets no requests, as the few senders don't know
# that they are senders.
@pytest.mark.parametrize("event", [nothing, senders_leave, vms_start_again])
def test_fleet_uses_what_a_limited_instance_accepts(peer_fleet, event):
    fleet, rng, instance = peer_fleet(**SMALL), random.Random(4), LimitedInstance(2.3)
    simulate(fleet, instance, SECONDS / 2, rng)
    event(fleet)
    simulate(fleet, instance, SECONDS / 2, rng)
    late = [at for at in instance.arrived if at > fleet.now - WINDOW_SECONDS]
    assert len(late) >= instance.rate * WINDOW_SECONDS / 2


# Guards against a limit that never ends at some VM, or that one old response ends.
@pytest.mark.parametrize("sizes", [SMALL, LARGE], ids=["8-vms", "195-vms"])
def test_limit_ends_at_all_vms_when_the_instance_declares_none(peer_fleet, sizes):
    fleet, rng, instance = peer_fleet(**sizes), random.Random(5), LimitedInstance(2.3)
    simulate(fleet, instance, SECONDS / 2, rng)
    instance.rate = None
    simulate(fleet, instance, SECONDS / 2, rng)
    limits = [vm.link.limits for vm in fleet.vms.values()]
    assert all(limit.permits("e1", fleet.now) for limit in limits)


@pytest.mark.parametrize(
    ("answers", "limited"),
    [
        # (rate declared, seconds at which the request was sent and answered)
        ([(2.0, 0.0, 1.0)], True),
        ([(2.0, 0.0, 1.0)] + [(None, 2.0, 3.0)] * (CLEAR_RESPONSES - 1), True),
        ([(2.0, 0.0, 1.0)] + [(None, 2.0, 3.0)] * CLEAR_RESPONSES, False),
        ([(2.0, 0.0, 1.0)] + [(None, 0.5, 3.0)] * CLEAR_RESPONSES, True),
        ([(None, 0.0, 1.0)], False),
    ],
)
def test_responses_that_declare_a_limit_and_its_end(answers, limited):
    """Guards against a limit that is ended by the response to a request that was sent
    before the limit was declared, as requests overlap."""
    limits = RateLimits("other", lambda now: frozenset(("entry-1",)))
    for rate, sent_at, now in answers:
        limits.observe("e1", rate, sent_at, now)
    assert limits.permits("e1", 3.1) is not limited


def test_new_sender_waits_until_the_former_one_stops():
    """Guards against two senders for one share: a VM that reads the store anew seems to
    be the only one for a moment."""
    limits = RateLimits("entry-1")
    limits.observe("e1", 2.0, 0.0, 0.0)
    assert not limits.permits("e1", 0.1)
    assert limits.permits("e1", 0.1 + TAKEOVER_SECONDS)
    limits.take("e1", 0.1 + TAKEOVER_SECONDS)
    assert not limits.permits("e1", 0.2 + TAKEOVER_SECONDS)


def test_limit_of_a_terminated_instance_is_not_restored_by_peers():
    """Guards against VMs that send each other the limit of a terminated instance for
    ever, as they learn of its end at different times."""
    terminated = set()
    limits = RateLimits("entry-1", is_known=lambda instance: instance not in terminated)
    limits.observe("e1", 2.0, 0.0, 0.0)
    terminated.add("e1")
    limits.forget("e1")
    limits.apply_update("e1", 2.0, 0.5, 1.0)
    assert limits.updates(1.0, True) == []


# Guards against an instance that is never used again because its token bucket was
# charged for requests while it had no limit.
def test_requests_between_two_limits_are_not_counted():
    limits = RateLimits("entry-1")
    limits.observe("e1", 2.0, 0.0, 0.0)
    assert limits.permits("e1", TAKEOVER_SECONDS) is False
    assert limits.permits("e1", 2 * TAKEOVER_SECONDS)
    for _ in range(CLEAR_RESPONSES):
        limits.observe("e1", None, 3.0, 4.0)
    for _ in range(100):
        limits.take("e1", 5.0)
    limits.observe("e1", 2.0, 6.0, 6.0)
    limits.permits("e1", 6.0)
    assert limits.permits("e1", 6.0 + TAKEOVER_SECONDS)


# Guards against a leaving VM that goes on sending while another one takes over.
def test_leaving_vm_stops_sending():
    members = {"entry-1"}
    limits = RateLimits("entry-1", lambda now: frozenset(members))
    limits.observe("e1", 2.0, 0.0, 0.0)
    limits.permits("e1", 0.0)
    assert limits.permits("e1", TAKEOVER_SECONDS)
    members.clear()
    assert not limits.permits("e1", 2 * TAKEOVER_SECONDS)


# Guards against a limit that is stated only in a refusal, or in the response to a call
# of this system, and so isn't learned.
@pytest.mark.parametrize("status", [200, 202, 409, 421, 500, 503])
def test_limit_is_learned_from_every_response(status):
    fleet = FleetView("dc1", None, lambda: 1, lambda instance_id: None)
    fleet.instances.put(LIMITED, 0.0)
    (instance,) = fleet.instances.serving("llm")
    metadata = ResponseMetadata("", "", False, status != 200, None, False, 2.0)
    fleet.record_response(instance, status, metadata, 1.0)
    assert fleet.limits.limits[instance.id].rate == 2.0
