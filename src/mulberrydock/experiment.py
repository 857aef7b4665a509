"""Experiments: a local fleet under a shifting request mix and a fault schedule.

Each run starts a new fleet, sends a seeded load and injects the scheduled faults at
their times. Afterwards it reads from the engines and services what they ran: calls that
were lost or ran twice are counted there, not from the clients' responses.
"""

import asyncio
import contextlib
import json
import os
import signal
import urllib.request

import attrs
from loguru import logger

from . import ctl, fleet
from .load import on_target_share, run_phases, shift_phases, summarise

#: Result code of a response which states that the call did not run.
NOT_RUN_CODE = 300


@attrs.define(frozen=True)
class Fault:
    """One entry of a fault schedule: ``action`` on ``target`` after ``at`` seconds.

    Actions: ``kill`` and ``start`` a process, ``drain`` a VM by declaration,
    ``store-down`` and ``store-up``, ``terminate`` a process gracefully.
    """

    at: float
    action: str
    target: str = ""


#: An engine is killed in the middle of streams, another is drained, the store is
#: unavailable for 5 s, and an entry VM is terminated; for four phases of 12 s each.
FAULTS = (
    Fault(8.0, "kill", "engine-2"),
    Fault(13.0, "start", "engine-2"),
    Fault(18.0, "drain", "engine-3"),
    Fault(26.0, "store-down"),
    Fault(31.0, "store-up"),
    Fault(36.0, "terminate", "entry-4"),
)


@attrs.define
class Arm:
    """One arm of a comparison; an empty policy or planner means the settings' own."""

    name: str
    policy: str = ""
    planner: str = ""


@attrs.define
class Outcome:
    """The result of one run.

    :param results: the :class:`~mulberrydock.load.Result` of every request.
    :param role_changes: how often engines changed their role.
    :param engine_runs: how many requests the engines started.
    :param cached_share: the share of prompt tokens that were in an engine's cache.
    :param doubled: non-idempotent calls that ran more than once.
    :param lost: non-idempotent calls that were answered with success but did not run.
    :param not_run_but_ran: non-idempotent calls that were answered as not run but ran.
    """

    arm: Arm
    results: list
    role_changes: int
    engine_runs: int
    cached_share: float
    doubled: int
    lost: int
    not_run_but_ran: int

    @property
    def good(self):
        """How many requests were answered once, completely and in time."""
        return sum(r.good for r in self.results)

    def summary(self):
        """Return the run as one flat table row."""
        first, gap = on_target_share(self.results)
        return {
            "arm": self.arm.name,
            "sent": len(self.results),
            "good": self.good,
            "goodput": round(self.good / max(1, len(self.results)), 4),
            "first token on target": round(first, 3),
            "gaps on target": round(gap, 3),
            "cached share": round(self.cached_share, 3),
            "engine runs": self.engine_runs,
            "role changes": self.role_changes,
            "doubled": self.doubled,
            "lost": self.lost,
            "not run but ran": self.not_run_but_ran,
        }


def _get_json(address, path):
    with urllib.request.urlopen(f"http://{address}{path}", timeout=5) as response:
        return json.loads(response.read())


def _set_store_faults(settings, **faults):
    request = urllib.request.Request(
        f"http://{settings.store.address}/v1/faults", data=json.dumps(faults).encode()
    )
    with urllib.request.urlopen(request, timeout=5) as response:
        response.read()


def inject(running, settings, fault):
    """Inject one :class:`Fault` into the fleet ``running``; may block."""
    logger.info("fault", action=fault.action, target=fault.target)
    if fault.action == "kill":
        running.processes[fault.target].send_signal(signal.SIGKILL)
        running.processes[fault.target].wait()
    elif fault.action == "start":
        running.restart(fault.target)
    elif fault.action == "drain":
        ctl.drain(settings, fault.target)
    elif fault.action == "terminate":
        running.processes[fault.target].terminate()
    else:
        _set_store_faults(settings, outage=fault.action == "store-down")


async def _inject_all(running, settings, faults):
    started = asyncio.get_running_loop().time()
    for fault in faults:
        now = asyncio.get_running_loop().time()
        await asyncio.sleep(max(0.0, started + fault.at - now))
        await asyncio.to_thread(inject, running, settings, fault)


async def _send_load(running, settings, phases, faults, seed):
    entry_addresses = [e.address for e in settings.entries]
    name = settings.deployment.name
    injection = asyncio.ensure_future(_inject_all(running, settings, faults))
    results = await run_phases(
        entry_addresses, name, ctl.deadlines(settings), phases, seed
    )
    await injection
    return results


def _executions(settings):
    totals = {}
    for service in settings.services:
        counts = _get_json(service.address, "/v1/executions")["executions"]
        for key, count in counts.items():
            totals[key] = totals.get(key, 0) + count
    return totals


def _engine_counts(settings):
    totals = {}
    for engine in settings.engines:
        with contextlib.suppress(OSError):
            for name, count in _get_json(engine.address, "/v1/state")["counts"].items():
                totals[name] = totals.get(name, 0) + count
    return totals


def run_arm(settings, arm, seconds=12.0, faults=(), seed=0):
    """Run one arm on a new fleet; return its :class:`Outcome`."""
    name = settings.deployment.name
    phases = shift_phases(name, seconds)
    running = fleet.start_fleet(settings, name, policy=arm.policy, planner=arm.planner)
    try:
        fleet.wait_ready(settings)
        results = asyncio.run(_send_load(running, settings, phases, faults, seed))
        executions = _executions(settings)
        counts = _engine_counts(settings)
    finally:
        running.stop_all()
    records = {r.key: r for r in results if r.klass in ("renewal", "ticket")}
    return Outcome(
        arm=arm,
        results=results,
        role_changes=counts.get("role_changes", 0),
        engine_runs=counts.get("started", 0),
        cached_share=counts.get("cached_tokens", 0)
        / max(1, counts.get("prompt_tokens", 0)),
        doubled=sum(executions.get(k, 0) > 1 for k in records),
        lost=sum(r.ok and not executions.get(k, 0) for k, r in records.items()),
        not_run_but_ran=sum(
            r.code == NOT_RUN_CODE and executions.get(k, 0) > 0
            for k, r in records.items()
        ),
    )


def compare(settings, arms, seconds=12.0, faults=(), seed=0, out_dir=""):
    """Run every arm with the same load; return the :class:`Outcome` list.

    :param out_dir: if given, each arm's rows per class and per tenant are written there
        as JSON.
    """
    outcomes = []
    for arm in arms:
        outcome = run_arm(settings, arm, seconds, faults, seed)
        outcomes.append(outcome)
        if out_dir:
            _write_outcome(out_dir, settings.deployment.name, outcome)
    return outcomes


def _write_outcome(out_dir, deployment, outcome):
    os.makedirs(out_dir, exist_ok=True)
    document = {
        "summary": outcome.summary(),
        "classes": summarise(outcome.results),
        "tenants": summarise(outcome.results, lambda r: f"{r.tenant} {r.klass}"),
    }
    path = os.path.join(out_dir, f"{deployment}-{outcome.arm.name}.json")
    with open(path, "w", encoding="utf-8") as handle:
        json.dump(document, handle, indent=2)
