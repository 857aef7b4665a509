"""What a fleet sends to an instance that declares a rate limit, in simulated time.

The load pattern is that of an overloaded instance: more is asked of it than it takes,
by 8 or by 195 VMs, each of which has another request for it at any moment.
"""

import random

import attrs
import pytest

from mulberrydock.rate_limits import CLEAR_ANSWERS, TAKEOVER_SECONDS, RateLimits

#: Seconds from the first answer with it until it must be kept, those of a window, and
#: the requests in it beyond one and a half times the limit.
CONTACT_SECONDS = 3.0
WINDOW_SECONDS = 4.0
SLACK = 5
#: Seconds after a VM's first answer with the limit from which its requests count.
TOLD_SECONDS = 0.5
#: Seconds of one play, and requests a second for the instance at all VMs together.
SECONDS = 14.0
DEMAND = 60.0
STEP_SECONDS = 0.1
SMALL = {"dc1": 3, "dc2": 3, "dc3": 2}
LARGE = {f"dc{n}": 39 for n in range(1, 6)}


@attrs.define
class LimitedInstance:
    """Declares its limit from the first request on; ``told`` is when each VM first got
    an answer of it, ``counted`` are the moments of requests from VMs told before."""

    rate: float
    told: dict = attrs.field(factory=dict)
    counted: list = attrs.field(factory=list)
    arrived: list = attrs.field(factory=list)
    first_at: float | None = None

    def answer(self, vm, now):
        """Answer one request of a VM."""
        if self.first_at is None:
            self.first_at = now
        told = now - self.told.setdefault(vm.name, now) >= TOLD_SECONDS
        if told and now - self.first_at >= CONTACT_SECONDS:
            self.counted.append(now)
        self.arrived.append(now)
        vm.link.limits.observe("e1", self.rate, now, now)

    def most(self):
        """Return the most counted requests of any window."""
        counts = (
            sum(start <= at < start + WINDOW_SECONDS for at in self.counted)
            for start in self.counted
        )
        return max(counts, default=0)


def play(fleet, instance, seconds, rng, share=1.0):
    """Let all VMs send what they may, each its part of the demand."""
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
    """Nothing happens."""


def senders_die(fleet):
    """The VMs that send lose power; their records stay for a while."""
    fleet.dead |= {name for name, vm in fleet.vms.items() if vm.link.limits.shares}


def senders_leave(fleet):
    """The VMs that send are gone, as every VM sees."""
    senders_die(fleet)
    for vm in fleet.vms.values():
        for name in fleet.dead:
            vm.membership.peers.pop(name, None)


def data_centres_are_cut(fleet):
    """No datagram goes from one data centre to another any more."""
    names = {vm.data_centre for vm in fleet.vms.values()}
    fleet.cut |= {frozenset((a, b)) for a in names for b in names if a != b}


def records_lapse(fleet):
    """The store loses the record of every VM."""
    for vm in fleet.vms.values():
        vm.membership.begin_reload()


def vms_start_again(fleet):
    """A quarter of the VMs start again: they know no limit, and at first no VM."""
    names = sorted(fleet.vms)[::4]
    for name in names:
        known = fleet.vms[name].membership.peers
        fleet.add(name, fleet.vms[name].data_centre)
        fleet.vms[name].membership.peers.update(known)


SMALL_PLAYS = [
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
LARGE_PLAYS = [
    pytest.param(LARGE, 2.3, event, id=f"195-vms-2.3-{event.__name__}")
    for event in (nothing, records_lapse, vms_start_again)
]


# Guards against a limit that is kept by each VM alone, that is shared out in parts too
# many to keep it, or that is exceeded while VMs come and go.
@pytest.mark.parametrize(("sizes", "rate", "event"), SMALL_PLAYS + LARGE_PLAYS)
def test_fleet_keeps_to_a_limit(peer_fleet, sizes, rate, event):
    fleet, rng, instance = peer_fleet(**sizes), random.Random(3), LimitedInstance(rate)
    play(fleet, instance, SECONDS / 2, rng)
    event(fleet)
    play(fleet, instance, SECONDS / 2, rng)
    assert instance.most() <= 1.5 * rate * WINDOW_SECONDS + SLACK


# Guards against a limited instance that nobody uses, as the few that may don't know.
@pytest.mark.parametrize("event", [nothing, senders_leave, vms_start_again])
def test_what_an_instance_takes_is_used(peer_fleet, event):
    fleet, rng, instance = peer_fleet(**SMALL), random.Random(4), LimitedInstance(2.3)
    play(fleet, instance, SECONDS / 2, rng)
    event(fleet)
    play(fleet, instance, SECONDS / 2, rng)
    late = [at for at in instance.arrived if at > fleet.now - WINDOW_SECONDS]
    assert len(late) >= instance.rate * WINDOW_SECONDS / 2


# Guards against a limit that is believed for ever, or that one old answer ends.
@pytest.mark.parametrize("sizes", [SMALL, LARGE], ids=["8-vms", "195-vms"])
def test_limit_ends_for_all_when_the_instance_declares_none(peer_fleet, sizes):
    fleet, rng, instance = peer_fleet(**sizes), random.Random(5), LimitedInstance(2.3)
    play(fleet, instance, SECONDS / 2, rng)
    instance.rate = None
    play(fleet, instance, SECONDS / 2, rng)
    limits = [vm.link.limits for vm in fleet.vms.values()]
    assert all(known.permits("e1", fleet.now) for known in limits)


@pytest.mark.parametrize(
    ("answers", "limited"),
    [
        # (rate declared, seconds at which the request was sent and answered)
        ([(2.0, 0.0, 1.0)], True),
        ([(2.0, 0.0, 1.0)] + [(None, 2.0, 3.0)] * (CLEAR_ANSWERS - 1), True),
        ([(2.0, 0.0, 1.0)] + [(None, 2.0, 3.0)] * CLEAR_ANSWERS, False),
        ([(2.0, 0.0, 1.0)] + [(None, 0.5, 3.0)] * CLEAR_ANSWERS, True),
        ([(None, 0.0, 1.0)], False),
    ],
)
def test_answers_that_show_a_limit_and_its_end(answers, limited):
    """Requests overlap: an answer to one that was sent before says nothing."""
    limits = RateLimits("other", lambda now: frozenset(("entry-1",)))
    for rate, sent_at, now in answers:
        limits.observe("e1", rate, sent_at, now)
    assert limits.permits("e1", 3.1) is not limited


def test_new_sender_waits_until_the_former_one_knows():
    """A VM finds itself the only one for a moment, as it reads the store anew."""
    limits = RateLimits("entry-1")
    limits.observe("e1", 2.0, 0.0, 0.0)
    assert not limits.permits("e1", 0.1)
    assert limits.permits("e1", 0.1 + TAKEOVER_SECONDS)
    limits.take("e1", 0.1 + TAKEOVER_SECONDS)
    assert not limits.permits("e1", 0.2 + TAKEOVER_SECONDS)


def test_limit_of_an_instance_that_is_gone_is_not_heard_again():
    """VMs learn of an instance's end at different moments, and tell what they know."""
    gone = set()
    limits = RateLimits("entry-1", is_known=lambda instance: instance not in gone)
    limits.observe("e1", 2.0, 0.0, 0.0)
    gone.add("e1")
    limits.forget("e1")
    limits.apply_update("e1", 2.0, 0.5, 1.0)
    assert limits.updates(1.0, True) == []


# Guards against an instance that is never used again, as its bucket went on paying for
# requests while it had no limit.
def test_requests_between_two_limits_are_not_counted():
    limits = RateLimits("entry-1")
    limits.observe("e1", 2.0, 0.0, 0.0)
    assert limits.permits("e1", TAKEOVER_SECONDS) is False
    assert limits.permits("e1", 2 * TAKEOVER_SECONDS)
    for _ in range(CLEAR_ANSWERS):
        limits.observe("e1", None, 3.0, 4.0)
    for _ in range(100):
        limits.take("e1", 5.0)
    limits.observe("e1", 2.0, 6.0, 6.0)
    limits.permits("e1", 6.0)
    assert limits.permits("e1", 6.0 + TAKEOVER_SECONDS)


# Guards against a VM that leaves and goes on sending beside the one in its place.
def test_vm_that_leaves_sends_no_more():
    members = {"entry-1"}
    limits = RateLimits("entry-1", lambda now: frozenset(members))
    limits.observe("e1", 2.0, 0.0, 0.0)
    limits.permits("e1", 0.0)
    assert limits.permits("e1", TAKEOVER_SECONDS)
    members.clear()
    assert not limits.permits("e1", 2 * TAKEOVER_SECONDS)
