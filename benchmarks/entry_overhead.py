"""Measure the latency that an entry adds to requests.

Starts a small local fleet, then sends the same unstreamed completions in turn directly
to the engine's proxy and through an entry. Prints the medians, the 99th percentiles and
their ratios as JSON. Run ``python benchmarks/entry_overhead.py [REQUESTS]``.
"""

import json
import statistics
import sys
import tempfile
import time
import urllib.request

from mulberrydock.fleet import LocalFleet

BODY = json.dumps(
    {"model": "pass-letters-7b", "prompt": "a slip " * 40, "max_tokens": 1}
).encode()


def time_request(url):
    """Return the seconds of one POST of :data:`BODY` to ``url``."""
    request = urllib.request.Request(
        url, data=BODY, headers={"Content-Type": "application/json"}
    )
    started = time.perf_counter()
    with urllib.request.urlopen(request, timeout=10) as response:
        response.read()
    return time.perf_counter() - started


def percentile(values, fraction):
    """Return the ``fraction`` quantile of ``values`` by rank."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def main(requests=300):
    """Measure and print the figures for ``requests`` requests on each path."""
    with tempfile.TemporaryDirectory() as tmp:
        fleet = LocalFleet(tmp, engines=1, entries=1).start()
        try:
            direct_url = f"http://{fleet.settings.engines[0].address}/v1/completions"
            entry_url = f"http://{fleet.settings.entries[0].address}/v1/completions"
            direct, through_entry = [], []
            for _ in range(requests):
                direct.append(time_request(direct_url))
                through_entry.append(time_request(entry_url))
        finally:
            fleet.stop()
    figures = {
        "requests": requests,
        "direct_median_ms": statistics.median(direct) * 1000,
        "entry_median_ms": statistics.median(through_entry) * 1000,
        "direct_p99_ms": percentile(direct, 0.99) * 1000,
        "entry_p99_ms": percentile(through_entry, 0.99) * 1000,
    }
    figures["median_ratio"] = figures["entry_median_ms"] / figures["direct_median_ms"]
    figures["p99_ratio"] = figures["entry_p99_ms"] / figures["direct_p99_ms"]
    print(json.dumps({k: round(v, 3) for k, v in figures.items()}, indent=2))


if __name__ == "__main__":
    main(int(sys.argv[1]) if len(sys.argv) > 1 else 300)
