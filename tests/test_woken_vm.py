"""What a VM decides once it runs again after its process stood still for a second.

Whatever arrived meanwhile is read late, one piece after the other. The daemons are real
processes that are stopped by a signal; the store and the instances are stand-ins.
"""

import asyncio
import signal
import threading
import time

import pytest
from link_fleet import started_fleet
from platform_fleet import IDEMPOTENT_PATH, wait_until
from version_fleet import Stream

from mulberrydock.pauses import CATCH_UP_SECONDS
from mulberrydock.standin.platform_engine import Fault

VMS = tuple(f"entry-{number}" for number in range(1, 7))
#: The VM that stands still.
PAUSED_VM = "entry-6"
#: Seconds between two of the four events of a stream.
EVENT_INTERVAL_SECONDS = 0.25
#: Instances; together they have places for eight streams.
INSTANCES = [
    (name, "llm", stage, {"event_interval_seconds": EVENT_INTERVAL_SECONDS})
    for name, stage in (("p1", "prefill"), ("d1", "decode"), ("d2", "decode"))
] + [("a1", "app", ""), ("a2", "app", "")]
#: Token counts of a prompt that decode engines prefill and of one that they don't.
TOKEN_COUNTS = {"in place": "100,10", "handoff": "10000,10"}
#: Seconds for which the VM stands still: longer than an instance may be silent, and
#: than peers' counts are used.
PAUSE_SECONDS = 1.7


@pytest.fixture
def fleet(tmp_path):
    with started_fleet(tmp_path, VMS, INSTANCES) as running:
        yield running


class Paused:
    """The VM stands still, for :data:`PAUSE_SECONDS` at least."""

    def __init__(self, fleet):
        self.process = fleet.daemons[PAUSED_VM]

    def __enter__(self):
        self.since = time.monotonic()
        self.process.send_signal(signal.SIGSTOP)

    def __exit__(self, *exc_info):
        time.sleep(max(0.0, self.since + PAUSE_SECONDS - time.monotonic()))
        self.process.send_signal(signal.SIGCONT)


def start_threads(function, items):
    threads = [threading.Thread(target=function, args=(item,)) for item in items]
    for thread in threads:
        thread.start()
    return threads


def join(threads):
    for thread in threads:
        thread.join(20)


def streams(fleet, count, prefix):
    tokens = list(TOKEN_COUNTS.values())
    return [
        Stream(fleet, f"{prefix}{n}", tokens[n % len(tokens)]) for n in range(count)
    ]


# Guards against refusals for places that were in use before a VM stood still.
@pytest.mark.parametrize("vm", [PAUSED_VM, "entry-1"], ids=["own", "peers"])
def test_woken_vm_serves_what_there_is_room_for(fleet, vm):
    ended = streams(fleet, 24, "ended")
    if vm == PAUSED_VM:
        begun = start_threads(lambda stream: stream.request(vm, until=1), ended)
        join(begun)
    with Paused(fleet):
        if vm != PAUSED_VM:
            join(start_threads(lambda stream: stream.request(vm), ended))
        # These lie unread when the VM wakes, as do the counts of its peers.
        late = streams(fleet, 8, "late")
        threads = start_threads(lambda stream: stream.request(PAUSED_VM), late)
    join(threads)
    assert [(s.status, s.complete) for s in late] == [(200, True)] * len(late)


def streams_in_progress(fleet, tokens, count=6):
    """Let streams go on at their engines while the VM stands still."""
    begun = [Stream(fleet, f"s{n}", TOKEN_COUNTS[tokens]) for n in range(count)]
    join(start_threads(lambda stream: stream.request(PAUSED_VM, until=1), begun))
    with Paused(fleet):
        pass
    join(start_threads(Stream.read_on, begun))
    return [s.complete for s in begun]


def decoded_in_place(fleet):
    return streams_in_progress(fleet, "in place")


def decoded_after_a_handoff(fleet):
    return streams_in_progress(fleet, "handoff")


def prompt_in_progress(fleet):
    """Let a prompt be prefilled while the VM stands still."""
    engine = fleet.engines["p1"]
    engine.prefill_gate = fleet.call_on_loop(asyncio.Event)
    stream = Stream(fleet, "s", TOKEN_COUNTS["handoff"])
    threads = start_threads(lambda vm: stream.request(vm), [PAUSED_VM])
    wait_until(lambda: engine.prefills)
    with Paused(fleet):
        fleet.call_on_loop(engine.prefill_gate.set)
    join(threads)
    return [stream.complete]


def plain_request_in_progress(fleet):
    """Let an instance answer while the VM stands still, later than usual."""
    fleet.request(IDEMPOTENT_PATH, "usual", name=PAUSED_VM)
    fleet.fail_next("app", Fault.PAUSE)
    responses = []
    threads = start_threads(
        lambda name: responses.append(fleet.request(IDEMPOTENT_PATH, "r", name=name)),
        [PAUSED_VM],
    )
    wait_until(lambda: any(run.id == "r" for run in runs(fleet)))
    with Paused(fleet):
        pass
    join(threads)
    return [r.status == 200 and r.complete for r in responses]


def runs(fleet):
    return [run for engine in fleet.engines.values() for run in engine.runs]


# Guards against instances given up as silent by a VM that had not read their answers.
@pytest.mark.parametrize(
    "play",
    [
        decoded_in_place,
        decoded_after_a_handoff,
        prompt_in_progress,
        plain_request_in_progress,
    ],
)
def test_woken_vm_awaits_what_lies_unread(fleet, play):
    served = play(fleet)
    assert served == [True] * len(served)
    run_ids = [run.id for run in runs(fleet)]
    assert sorted(run_ids) == sorted(set(run_ids))
    for event in ("attempt failed", "prefill failed", "takeover"):
        assert not fleet.log_records(event, PAUSED_VM)


def one_after_the_other(streams):
    """Send them so that each finds the places of those before it taken."""
    for stream in streams:
        stream.request(PAUSED_VM, until=1)


def all_at_once(streams):
    join(start_threads(lambda stream: stream.request(PAUSED_VM), streams))


def streams_across_the_pause(fleet):
    for name in ("d1", "d2"):
        fleet.engines[name].event_interval_seconds = 0.15
    usual = Stream(fleet, "usual", TOKEN_COUNTS["in place"])
    usual.request(PAUSED_VM)
    streams_in_progress(fleet, "in place", 24)
    return "in place", 24


def prompt_across_the_pause(fleet):
    prompt_in_progress(fleet)
    return "handoff", 8


# Guards against engines that count as slow, and requests that are refused for it, as
# their answers were read late.
@pytest.mark.parametrize(
    ("play", "send"),
    [
        (streams_across_the_pause, one_after_the_other),
        (prompt_across_the_pause, all_at_once),
    ],
)
def test_woken_vm_measures_no_engine_by_its_own_pause(fleet, play, send):
    tokens, count = play(fleet)
    # Until all is read, nobody is refused.
    time.sleep(CATCH_UP_SECONDS)
    sent = [Stream(fleet, f"after{n}", TOKEN_COUNTS[tokens]) for n in range(count)]
    send(sent)
    assert [s.status for s in sent] == [200] * count
    assert not fleet.log_records("room unknown", PAUSED_VM)
