"""A fleet whose engines state in their responses that they leave or want a pause.

Two daemons before two instances of each stage and two of a plain service.
"""

import collections
import contextlib

from platform_fleet import (
    IDEMPOTENT_PATH,
    NON_IDEMPOTENT_PATH,
    RESUMABLE_PATH,
    STREAM_PATH,
    PlatformFleet,
    config,
    wait_until,
)

VMS = ("entry-1", "entry-2")
PATHS = (RESUMABLE_PATH, STREAM_PATH, IDEMPOTENT_PATH, NON_IDEMPOTENT_PATH)
#: Token counts of a prompt that decode engines prefill and of one that they don't.
TOKEN_COUNTS = ("100,10", "30000,10")
#: Instances of each kind.
KINDS = {"plain": ("a1", "a2"), "decode": ("d1", "d2"), "prefill": ("p1", "p2")}


@contextlib.contextmanager
def started_fleet(directory):
    """Start the fleet and stop it at the end."""
    fleet = PlatformFleet(directory)
    fleet.write("op/config", config(3))
    for kind, names in KINDS.items():
        service, stage = ("app", "") if kind == "plain" else ("llm", kind)
        for name in names:
            fleet.add_instance(name, service, stage)
    for name in VMS:
        fleet.start(name)
    try:
        for name in VMS:
            fleet.wait_ready(name)
        wait_until(lambda: all(_has_seen_all_vms(fleet, name) for name in VMS))
        yield fleet
    finally:
        fleet.stop()


def _has_seen_all_vms(fleet, name):
    return {row["peer"] for row in fleet.log_records("peer seen", name)} >= set(VMS)


def send_round(fleet, prefix, name="entry-1"):
    """Send one request of each kind and prompt length by a daemon.

    The ids begin with the daemon's name.

    :returns: the responses' statuses.
    """
    statuses = []
    for path in PATHS:
        for tokens in TOKEN_COUNTS:
            request_id = f"{name}/{prefix}{path}{tokens}"
            headers = {"X-Mulberrydock-Token-Counts": tokens}
            statuses.append(
                fleet.request(path, request_id, name=name, **headers).status
            )
    return statuses


def send_until_arrival(fleet, engine, names=VMS[:1]):
    """Send requests by the named daemons until one has reached ``engine``."""
    for number in range(100):
        for name in names:
            send_round(fleet, f"until-{number}", name)
        if engine.arrived_ids:
            return
    raise AssertionError(f"no request reached {engine.id}")


def busiest(fleet, kind):
    """Return the instance of a kind that gets the most requests of sequential clients.

    Without other load, a daemon prefers the same one each time.
    """
    counts = collections.Counter()
    for number in range(4):
        send_round(fleet, f"warm-up-{number}")
    for name in KINDS[kind]:
        counts[name] = len(fleet.engines[name].arrived_ids)
    engine = fleet.engines[counts.most_common(1)[0][0]]
    engine.arrived_ids.clear()
    engine.arrival_times.clear()
    return engine
