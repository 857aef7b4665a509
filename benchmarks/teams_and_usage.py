"""Processor time and bytes of teams' keys and usage counts, in this process.

Run ``python benchmarks/teams_and_usage.py``; it prints one JSON object.
"""

import base64
import json
import sys
import time
import tracemalloc

from mulberrydock import peer_messages, usage_records
from mulberrydock.peer_messages import UsageMessage
from mulberrydock.platform import read_config
from mulberrydock.route_table import RouteTable
from mulberrydock.teams import Team, TeamDirectory
from mulberrydock.usage import UsageLedger, UsageUpdate

ROUTES = 1400
TEAMS = 560
KEYS_PER_TEAM = 2
#: Teams that one VM serves within a window, and VMs that report to the leader.
TEAMS_PER_VM = 18
VMS = 68


def milliseconds(function, repeats=30):
    """Return the least processor time of a call, in milliseconds."""
    times = []
    for _ in range(repeats):
        started = time.process_time()
        function()
        times.append(time.process_time() - started)
    return min(times) * 1e3


def document(routes, teams):
    """Return a configuration document as the operator writes it."""
    rows = [
        {
            "name": f"r-{number:07}",
            "host": f"h{number % 5}.example",
            "path_prefix": f"/p{number}/",
            "kind": "streaming",
            "timeout_ms": 8000,
            "target_latency_ms": 418,
            "target_gap_ms": 400,
            "priority": 1,
            "service": "a",
            "max_attempts": 1,
            "public": False,
        }
        for number in range(routes)
    ]
    tenants = [
        {
            "name": f"team{number}",
            "priority": 1,
            "api_keys": [f"{number:010}{key:010}" for key in range(KEYS_PER_TEAM)],
        }
        for number in range(teams)
    ]
    services = [{"name": "a"}]
    return {"version": 2, "routes": rows, "services": services, "tenants": tenants}


def measure_keys():
    """Return the cost of a lookup, and the memory of a key in a directory."""
    teams = [
        Team(f"team{n}", tuple(f"{n:010}{k:010}" for k in range(KEYS_PER_TEAM)))
        for n in range(TEAMS)
    ]
    tracemalloc.start()
    directory = TeamDirectory.from_teams(teams)
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    key = (f"Bearer {teams[-1].keys[-1]}",)

    def look_up():
        for _ in range(1000):
            directory.authenticate(key, False)

    return {
        "lookup_us": milliseconds(look_up),
        "directory_bytes_per_key": held / (TEAMS * KEYS_PER_TEAM),
    }


def measure_configuration():
    """Return the cost of a change of the configuration."""
    text = json.dumps(document(ROUTES, TEAMS))
    raw = json.dumps({"value": base64.b64encode(text.encode()).decode()})
    config = read_config("op/config", text)

    def unpack():
        base64.b64decode(json.loads(raw)["value"]).decode(errors="surrogateescape")

    return {
        "bytes": len(text),
        "unpack_ms": milliseconds(unpack),
        "decode_ms": milliseconds(lambda: read_config("op/config", text)),
        "apply_ms": milliseconds(lambda: RouteTable().accept(config)),
    }


def measure_usage():
    """Return the cost of the usage counts of one VM, and of all at the leader."""
    counts = {f"team{number}": 3 for number in range(TEAMS_PER_VM)}
    update = UsageUpdate(1, 12.5, {2: counts, 3: counts})
    data = peer_messages.encode_usage(UsageMessage("front-ikeja-hall-1", update))
    ledger = UsageLedger()

    def receive_all():
        for vm in range(VMS):
            ledger.receive(f"vm-{vm}", peer_messages.decode(data, 0.0).update)

    decisions = {w: {f"team{n}": 400 for n in range(TEAMS)} for w in range(6)}
    return {
        "message_bytes": len(data),
        "make_ms": milliseconds(
            lambda: peer_messages.encode_usage(UsageMessage("vm", update))
        ),
        "read_ms": milliseconds(receive_all) / VMS,
        "total_ms": milliseconds(lambda: ledger.total(2)),
        "record_bytes": len(usage_records.encode_decisions(decisions)),
    }


def main():
    """Print the measurements."""
    measured = {
        "keys": measure_keys(),
        "configuration": measure_configuration(),
        "usage": measure_usage(),
    }
    json.dump(measured, sys.stdout, indent=1)
    print()


if __name__ == "__main__":
    main()
