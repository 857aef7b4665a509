"""Test helper: a VM that is stopped, with instances whose responses take their time."""

import base64
import contextlib
import signal

from platform_fleet import (
    HOST,
    IDEMPOTENT_PATH,
    NON_IDEMPOTENT_PATH,
    RESUMABLE_PATH,
    STREAM_PATH,
    PlatformFleet,
    config,
    route,
    wait_until,
)

from mulberrydock import defaults, records
from mulberrydock.platform import wire
from mulberrydock.request import Request

VM = "entry-1"
#: A client's time limit in milliseconds, beyond the grace periods of the stops.
LONG_LIMIT = "20000"


@contextlib.contextmanager
def started_fleet(directory, grace):
    """Start a VM, a decode engine and a plain instance; stop them at the end.

    :param grace: the seconds that the VM has to stop.
    """
    fleet = PlatformFleet(directory)
    options = {"timeout_ms": 20000, "target_latency_ms": 5000}
    routes = [
        route(RESUMABLE_PATH, "streaming", "llm", resumable=True, **options),
        route(STREAM_PATH, "streaming", "llm", max_attempts=1, **options),
        route(IDEMPOTENT_PATH, "idempotent", "app", **options),
        route(NON_IDEMPOTENT_PATH, "non_idempotent", "app", **options),
    ]
    fleet.write("op/config", config(3, routes))
    fleet.add_instance("d1", "llm", "decode")
    fleet.add_instance("a1", "app")
    fleet.start(VM, grace=grace)
    try:
        fleet.wait_ready(VM)
        yield fleet
    finally:
        fleet.stop()


def begin_stop(fleet):
    """Send SIGTERM; return once the VM has seen it."""
    fleet.daemons[VM].send_signal(signal.SIGTERM)
    wait_until(lambda: fleet.log_records("draining", VM))


def request(fleet, path, request_id, connection=None, limit=LONG_LIMIT, **headers):
    """Send one request with a time limit in milliseconds; return the response."""
    headers[wire.DEADLINE] = limit
    return fleet.request(path, request_id, connection, VM, **headers)


def runs(fleet, request_id):
    """Return the runs of a request at all instances."""
    return [
        run
        for engine in fleet.engines.values()
        for run in engine.runs
        if run.id == request_id
    ]


def forwarded_request(path, request_id):
    """Return a request as a peer forwards it, 20 seconds before its deadline."""
    headers = [(wire.ATTEMPT_ID, request_id)]
    return Request(request_id, "POST", f"{path}x", HOST, headers, b"", 0.0, 20.0)


def forward_key(fleet):
    """Return the key that signs requests forwarded to the VM."""
    item = wait_until(lambda: fleet.store.items.get(f"{defaults.ENTRY_PREFIX}{VM}"))
    text = base64.b64decode(item.value).decode()
    return records.decode(records.EntryRecord, text).forwardKey
