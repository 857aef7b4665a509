"""Measure on this machine the slopes behind docs/CAPACITY.md and print them as JSON.

Runs small local fleets of real processes (stand-ins and daemons on loopback) at two
sizes each and fits a line through the two points: control cost per entry daemon while
idle, controller cost per engine, entry cost per request and per non-idempotent call,
and cost per configuration change. Run ``python benchmarks/capacity.py``.
"""

import asyncio
import json
import os
import tempfile
import time
import urllib.request

from mulberrydock.configuration import patch_config
from mulberrydock.fleet import LocalFleet
from mulberrydock.store import StoreClient

#: How long each idle fleet is measured.
IDLE_SECONDS = 8.0
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")


def cpu_seconds(pid):
    """Return user plus system CPU seconds of process ``pid``."""
    with open(f"/proc/{pid}/stat") as handle:
        fields = handle.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS


def rss_megabytes(pid):
    """Return the resident memory of ``pid`` in MB."""
    with open(f"/proc/{pid}/status") as handle:
        for line in handle:
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
    return 0.0


def store_calls(fleet):
    """Return the store stand-in's counters of calls by kind, and of bytes."""
    url = f"http://{fleet.settings.store.address}/v1/faults"
    with urllib.request.urlopen(url, timeout=2) as response:
        return json.loads(response.read())["calls"]


def snapshot(fleet, prefix):
    """Return (CPU seconds, RSS in MB) by process name, of those with ``prefix``."""
    rows = {}
    for name, process in fleet.fleet.processes.items():
        if name.startswith(prefix):
            rows[name] = (cpu_seconds(process.pid), rss_megabytes(process.pid))
    return rows


def measure_idle(engines, entries):
    """Return the costs of entries and controller in a fleet without requests."""
    with tempfile.TemporaryDirectory() as tmp:
        fleet = LocalFleet(tmp, engines=engines, entries=entries).start()
        try:
            time.sleep(2.0)
            before, calls_before = snapshot(fleet, ""), store_calls(fleet)
            time.sleep(IDLE_SECONDS)
            after, calls_after = snapshot(fleet, ""), store_calls(fleet)
        finally:
            fleet.stop()

    def rate(prefix):
        names = [n for n in after if n.startswith(prefix)]
        spent = sum(after[n][0] - before[n][0] for n in names)
        return spent / IDLE_SECONDS, max(after[n][1] for n in names)

    entry_cpu, entry_rss = rate("entry")
    control_cpu, control_rss = rate("control")
    delta = {
        k: (calls_after.get(k, 0) - calls_before.get(k, 0)) / IDLE_SECONDS
        for k in calls_after
    }
    return {
        "engines": engines,
        "entries": entries,
        "entry_cpu_per_second_all": entry_cpu,
        "entry_rss_mb_max": entry_rss,
        "control_cpu_per_second": control_cpu,
        "control_rss_mb": control_rss,
        "store_calls_per_second": delta,
    }


async def _send_traffic(fleet, completions, renewals, changes):
    from tornado.httpclient import AsyncHTTPClient

    http = AsyncHTTPClient(max_clients=50)
    entry = fleet.settings.entries[0].address
    body = json.dumps({"model": "pass-letters-7b", "prompt": "x y", "max_tokens": 4})
    snapshots = {"start": (snapshot(fleet, "entry-1"), store_calls(fleet))}
    await asyncio.gather(
        *[
            http.fetch(f"http://{entry}/v1/completions", method="POST", body=body)
            for _ in range(completions)
        ]
    )
    snapshots["completions"] = (snapshot(fleet, "entry-1"), store_calls(fleet))
    await asyncio.gather(
        *[
            http.fetch(
                f"http://{entry}/v1/services/pass-registry/renewals",
                method="POST",
                body="{}",
                headers={"Idempotency-Key": f"k{i}"},
            )
            for i in range(renewals)
        ]
    )
    snapshots["renewals"] = (snapshot(fleet, "entry"), store_calls(fleet))
    store = StoreClient(fleet.settings.store.address)
    delays = []
    for index in range(changes):
        version = (await store.get("config")).ok.version
        name = "engine-2" if index % 2 == 0 else "entry-2"
        written = await patch_config(
            store, fleet.settings, f'leaving = ["{name}"]\n', version
        )
        started = time.monotonic()
        while True:
            seen = []
            for row in fleet.settings.entries:
                response = await http.fetch(f"http://{row.address}/v1/health")
                seen.append(json.loads(response.body)["config_version"])
            if min(seen) >= written.ok:
                break
            await asyncio.sleep(0.01)
        delays.append(time.monotonic() - started)
    snapshots["changes"] = (snapshot(fleet, "entry"), store_calls(fleet))
    return snapshots, delays


def measure_traffic(completions=300, renewals=100, changes=20):
    """Return an entry's costs per request, renewal and configuration change."""
    with tempfile.TemporaryDirectory() as tmp:
        fleet = LocalFleet(tmp, engines=2, entries=2).start()
        try:
            snapshots, delays = asyncio.run(
                _send_traffic(fleet, completions, renewals, changes)
            )
        finally:
            fleet.stop()

    def cpu(since, until, name):
        return snapshots[until][0][name][0] - snapshots[since][0][name][0]

    def calls(since, until, kind):
        return snapshots[until][1].get(kind, 0) - snapshots[since][1].get(kind, 0)

    return {
        "entry_cpu_seconds_per_completion": cpu("start", "completions", "entry-1")
        / completions,
        "entry_cpu_seconds_per_renewal": cpu("completions", "renewals", "entry-1")
        / renewals,
        "store_reads_per_renewal": calls("completions", "renewals", "read") / renewals,
        "store_writes_per_renewal": calls("completions", "renewals", "write")
        / renewals,
        "entry_cpu_seconds_per_config_change": (
            cpu("renewals", "changes", "entry-1")
            + cpu("renewals", "changes", "entry-2")
        )
        / (2 * changes),
        "config_change_to_all_entries_seconds_max": max(delays),
        "config_change_to_all_entries_seconds_median": sorted(delays)[len(delays) // 2],
    }


def measure_config_parse(sizes=(200, 2000)):
    """Return CPU seconds and memory for parsing a declaration of N engines."""
    import tracemalloc

    import attrs

    from mulberrydock.settings import (
        Declared,
        Engine,
        declared_to_toml,
        default_settings_text,
    )
    from mulberrydock.settings import model as generated
    from mulberrydock.settings import parse_declared, parse_settings

    base = parse_settings(default_settings_text("lagos"))
    rows = {}
    for size in sizes:
        engines = [
            Engine(name=f"engine-{i}", address=f"127.0.0.1:{i}", data_centre="ikeja")
            for i in range(size)
        ]
        settings = attrs.evolve(base, engines=engines)
        declared = Declared(
            engines=[
                generated.EngineOrder(engine=e.name, model="pass-letters-7b")
                for e in engines
            ]
        )
        text = declared_to_toml(declared)
        started = time.process_time()
        for _ in range(5):
            parse_declared(text, settings)
        seconds = (time.process_time() - started) / 5
        tracemalloc.start()
        parsed = parse_declared(text, settings)
        memory = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        del parsed
        rows[size] = {"seconds": seconds, "bytes_kept": memory, "text_bytes": len(text)}
    small, large = sizes
    per = large - small
    return {
        "sizes": rows,
        "cpu_seconds_per_engine": (rows[large]["seconds"] - rows[small]["seconds"])
        / per,
        "memory_bytes_per_engine": (
            rows[large]["bytes_kept"] - rows[small]["bytes_kept"]
        )
        / per,
        "text_bytes_per_engine": (rows[large]["text_bytes"] - rows[small]["text_bytes"])
        / per,
    }


async def _send_streams(fleet, streams, tokens):
    from tornado.httpclient import AsyncHTTPClient

    http = AsyncHTTPClient(max_clients=50)
    entry = fleet.settings.entries[0].address
    body = json.dumps(
        {
            "model": "pass-letters-7b",
            "prompt": "x",
            "max_tokens": tokens,
            "stream": True,
        }
    )
    before = snapshot(fleet, "entry-1")["entry-1"][0]
    await asyncio.gather(
        *[
            http.fetch(
                f"http://{entry}/v1/completions",
                method="POST",
                body=body,
                request_timeout=60,
            )
            for _ in range(streams)
        ]
    )
    return snapshot(fleet, "entry-1")["entry-1"][0] - before


def measure_stream_tokens(streams=(10, 40), tokens=200):
    """Return entry CPU seconds per streamed token, from two stream counts."""
    with tempfile.TemporaryDirectory() as tmp:
        fleet = LocalFleet(tmp, engines=2, entries=1).start()
        try:
            spent = [asyncio.run(_send_streams(fleet, n, tokens)) for n in streams]
        finally:
            fleet.stop()
    return {
        "cpu_seconds": dict(zip(streams, spent)),
        "cpu_seconds_per_token": (spent[1] - spent[0])
        / ((streams[1] - streams[0]) * tokens),
    }


def slope(small, large, key, per):
    """Return the change of ``key`` between two runs per unit of ``per``."""
    return (large[key] - small[key]) / (large[per] - small[per])


#: The target size of the fleet, and the assumptions that docs/CAPACITY.md lists.
TARGET = {
    "daemons": 570,
    "controllers": 20,  # assumption: one active controller per data centre
    "engines": 3700,
    "requests_per_second": 24000,
    "tokens_per_second": 5.4e6,
    "config_changes_per_second": 5400 / 86400,
    "non_idempotent_share": 0.10,  # assumption: Lagos mix 1/10, Montevideo 1/8
    "vm_changes_per_second": (1500 + 78) / 86400,
    "entry_lease_ttl_seconds": 6.0,  # the default; the tests use 2 s
    "watch_timeout_seconds": 5.0,
    "sweep_seconds": 60.0,  # proposed: engine state read once a minute
}


def project(measured, target=TARGET):
    """Extrapolate the measured slopes to the target size.

    The ``entry_`` and ``control_`` figures are per daemon, the ``store_`` figures
    totals.
    """
    entries = target["daemons"] - target["controllers"]
    parse = measured["config_parse"]
    per_poll = measured["control_cpu_per_second_per_engine"] / 5  # one pass each 0.2 s
    renewals = target["requests_per_second"] * target["non_idempotent_share"]
    keepalive_rate = 3 / target["entry_lease_ttl_seconds"]
    return {
        "entry_config_cpu_share": parse["cpu_seconds_per_engine"]
        * target["engines"]
        * target["config_changes_per_second"],
        "entry_config_bytes_per_second": parse["text_bytes_per_engine"]
        * target["engines"]
        * target["config_changes_per_second"],
        "entry_config_memory_mb": parse["memory_bytes_per_engine"]
        * target["engines"]
        / 2**20,
        "entry_keepalive_bytes_per_second": keepalive_rate * 2 * 180,
        "entry_load_poll_cpu_share_one_data_centre": measured[
            "entry_cpu_per_second_per_engine"
        ]
        * target["engines"]
        / target["controllers"],
        "entry_request_cpu_share": measured["traffic"][
            "entry_cpu_seconds_per_completion"
        ]
        * target["requests_per_second"]
        / entries,
        "entry_token_cpu_share": measured["stream_tokens"]["cpu_seconds_per_token"]
        * target["tokens_per_second"]
        / entries,
        "store_lease_calls_per_second": target["daemons"] * keepalive_rate,
        "store_watch_calls_per_second": target["daemons"]
        * 3  # config, entries and the plan of the active controller
        * (
            1 / target["watch_timeout_seconds"]
            + target["config_changes_per_second"]
            + target["vm_changes_per_second"] * 3
        ),
        "store_idempotency_writes_per_second": renewals * 2,
        "store_idempotency_reads_per_second": renewals
        * measured["traffic"]["store_reads_per_renewal"],
        "control_cpu_share_one_controller_polling": per_poll * target["engines"] * 2,
        "control_cpu_share_sharded_sweep": per_poll
        * target["engines"]
        / target["controllers"]
        / target["sweep_seconds"],
    }


def main():
    """Run every measurement; print the slopes and their extrapolation as JSON."""
    two_entries, six_entries = measure_idle(2, 2), measure_idle(2, 6)
    small_pool, large_pool = measure_idle(2, 2), measure_idle(6, 2)
    report = {
        "idle_2_entries": two_entries,
        "idle_6_entries": six_entries,
        "idle_6_engines": large_pool,
        "entry_cpu_per_entry_idle": six_entries["entry_cpu_per_second_all"] / 6,
        "store_calls_per_second_per_entry": {
            kind: (six_entries["store_calls_per_second"].get(kind, 0) - value) / 4
            for kind, value in two_entries["store_calls_per_second"].items()
        },
        "control_cpu_per_second_per_engine": (
            large_pool["control_cpu_per_second"] - small_pool["control_cpu_per_second"]
        )
        / 4,
        "entry_cpu_per_second_per_engine": (
            large_pool["entry_cpu_per_second_all"]
            - small_pool["entry_cpu_per_second_all"]
        )
        / 2
        / 4,
        "traffic": measure_traffic(),
        "config_parse": measure_config_parse(),
        "stream_tokens": measure_stream_tokens(),
    }
    report["at_size"] = project(report)
    print(json.dumps(report, indent=2))


if __name__ == "__main__":
    main()
