"""Compare routing policies and role planners under a shifting request mix.

Every arm gets a new fleet of the embedded deployment and the same seeded load (steady,
long prompts, long answers, steady again). Prints a table per class and one row per arm.
Run ``python benchmarks/policies.py DEPLOYMENT [routing|roles|faults] [SECONDS]
[SEEDS]``; ``SECONDS`` is the length of each of the four phases.
"""

import json
import sys

from mulberrydock import log
from mulberrydock.experiment import FAULTS, Arm, compare
from mulberrydock.load import render_table, summarise
from mulberrydock.settings import default_settings_text, parse_settings

ARMS = {
    "routing": [
        Arm("round-robin", "round-robin", "static"),
        Arm("fewest-in-flight", "fewest-in-flight", "static"),
        Arm("least-wait", "least-wait", "static"),
        Arm("ring", "ring", "static"),
        Arm("cache-tracking", "cache-tracking", "static"),
    ],
    "roles": [
        Arm("static roles", "ring", "static"),
        Arm("planned roles", "ring", "mix"),
    ],
    "faults": [
        Arm("baseline", "round-robin", "static"),
        Arm("chosen", "ring", "static"),
        Arm("chosen, planned roles", "ring", "mix"),
    ],
}


def main(deployment="lagos", comparison="routing", seconds=12.0, seeds=1):
    """Run each arm of ``comparison`` with ``seeds`` seeds and print the figures."""
    log.configure("policies", level="WARNING")
    settings = parse_settings(default_settings_text(deployment))
    faults = FAULTS if comparison == "faults" else ()
    rows = []
    for seed in range(seeds):
        for outcome in compare(
            settings, ARMS[comparison], seconds, faults, seed, "out"
        ):
            print(f"== {deployment}, {outcome.arm.name}, seed {seed}")
            print(render_table(summarise(outcome.results)), flush=True)
            rows.append(outcome.summary() | {"seed": seed})
    for row in rows:
        print(json.dumps(row))


if __name__ == "__main__":
    args = sys.argv[1:]
    main(
        args[0] if args else "lagos",
        args[1] if len(args) > 1 else "routing",
        float(args[2]) if len(args) > 2 else 12.0,
        int(args[3]) if len(args) > 3 else 1,
    )
