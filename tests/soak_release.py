"""Soak of releases that some VMs miss, with real daemons.

Each service begins with engines of one software version. Again and again, VMs are put
out of step: cut off from their peers, from the store or from both, stopped, or several
of these at once; a cut outlasts the stop. Meanwhile engines of a new version join a
service, or its engines restart at that version under their ids. Streams begin through
the other VMs, and their clients leave them after the first events and take them up at
the VMs out of step and at others. Other streams are under way at a VM that is stopped.
A client that is told to come back does so.

Run ``python tests/soak_release.py --seed 7 --seconds 15 --daemons 4``. It prints the
violated guarantees with the log lines of the streams concerned, and how the streams
went on that were taken up at VMs in touch. ``--others`` adds the soak's other faults.
"""

import collections
import concurrent.futures
import functools
import json
import pathlib
import random
import signal
import sys
import tempfile
import threading
import time

import attrs
import defopt
import soak
from cut_fleet import STORE, CutFleet
from platform_fleet import (
    RESUMABLE_PATH,
    config,
    event_ids,
    event_versions,
    route,
    whole_events,
)

from mulberrydock.standin.pair_link import CUTS

#: Services whose engines are released, each with a route of its own; a service that
#: has had one version only for a minute is known to have just that.
SERVICES = 5
#: Engines of each version of a service.
STAGES = ("prefill", "decode", "decode", "decode")
#: What puts VMs out of step.
CASES = (
    ("peers",),
    ("store",),
    ("peers", "store"),
    ("stop",),
    ("stop", "peers"),
    ("stop", "store"),
    ("stop", "peers", "store"),
    ("stop", "peers", "store"),
)
#: Ranges of the random times: for which a VM is stopped, for which its links are cut
#: beyond that, from the cut to the stop, from there until engines join, until streams
#: begin, and between two releases.
STOP_SECONDS = (0.3, 3.0)
CUT_SECONDS = (0.3, 2.5)
STOP_DELAY_SECONDS = (0.0, 0.3)
JOIN_DELAY_SECONDS = (0.0, 0.3)
BEGIN_DELAY_SECONDS = (0.1, 0.6)
REST_SECONDS = (0.5, 1.5)
#: Share of the releases in which engines restart instead, and of the runs that begin
#: before all VMs know each other.
RESTART_SHARE = 0.3
EARLY_SHARE = 0.3
#: Share of the releases in which the engines of the former versions leave, in which the
#: configuration changes, and with ``others``, in which another fault follows.
LEAVING_SHARE = 0.4
CONFIGURATION_SHARE = 0.4
OTHERS_SHARE = 0.8
#: Streams of one release, and requests with which a client goes on at most.
STREAMS = 12
MAX_TRIES = 5
#: Streams under way at the VMs that are put out of step, and seconds for which their
#: clients wait for the next event.
STREAMS_UNDER_WAY = 4
WAIT_FOR_EVENT_SECONDS = 1.0
#: Seconds between two events: a stream is under way for longer than it takes to stop
#: a VM.
EVENT_INTERVAL_SECONDS = 0.15
#: Share of the clients that take their streams up once a stopped VM wakes, of the tries
#: that go to a VM out of step, and of those that are left again.
WAITING_SHARE = 0.8
LATE_SHARE = 0.6
LEFT_SHARE = 0.2
#: The longest that a client waits before it comes back, seconds.
MAX_WAIT_SECONDS = 1.5
#: Requests on kept connections that VMs in touch may leave without an answer.
MAX_CLOSED = 3


@attrs.define
class ReleaseSoak(soak.Soak):
    """A soak of releases; see :class:`soak.Soak`.

    :param others: whether the soak's other faults are injected, too.
    :param releases: what each release was, for the run's log.
    :param next_versions: versions at which engines restart, by service.
    """

    others: bool = False
    releases: list = attrs.field(factory=list)
    next_versions: dict = attrs.field(factory=dict)

    fleet_class = CutFleet
    versions = ("v1",)
    event_interval = EVENT_INTERVAL_SECONDS

    def configuration(self):
        document = config(self.version)
        for number in range(SERVICES):
            name = f"llm{number}"
            document["services"].append(document["services"][0] | {"name": name})
            document["routes"].append(
                route(
                    f"{RESUMABLE_PATH}{name}/",
                    "streaming",
                    name,
                    resumable=True,
                    target_gap_ms=300,
                )
            )
        return document

    def first_instances(self):
        released = [(f"llm{n}", stage) for n in range(SERVICES) for stage in STAGES]
        return super().first_instances() + released

    def _clients(self, faults):
        return super()._clients(faults)[: soak.CLIENT_COUNT // 2]

    def _inject_faults(self, seconds):
        end = time.monotonic() + seconds
        self._wait_for_versions()
        if self.random.random() > EARLY_SHARE:
            self._wait_for_peers()
        while time.monotonic() < end:
            self._release(len(self.releases) + 1)
            if self.others and self.random.random() < OTHERS_SHARE:
                self._log(self.random.choice(self._other_faults())())
            time.sleep(self.random.uniform(*REST_SECONDS))

    def _other_faults(self):
        return [
            self.break_connection,
            self.break_instance,
            self.ask_for_pause,
            self.cut_links,
            self.compact_history,
            self.restart_daemon,
            self.announce_leave,
        ]

    def _log(self, what):
        print(f"{time.strftime('%H:%M:%S')} {what}", file=sys.stderr)

    def _wait_for_versions(self):
        """Wait until the versions of all services are on record."""
        names = {f"llm{number}" for number in range(SERVICES)}
        soak.wait_until(
            lambda: any(
                names <= row["versions"].keys()
                for name in self.fleet.daemons
                for row in self.fleet.log_records("versions in use", name)
            )
        )

    def _wait_for_peers(self):
        """Wait until all VMs have read each other's records."""
        names = self.fleet.daemons.keys()
        for name in names:
            rows = functools.partial(self.fleet.log_records, "peer seen", name)
            soak.wait_until(lambda: names <= {row["peer"] for row in rows()})

    def _handle_crash(self, engine, proxy):
        version = engine.version
        super()._handle_crash(engine, proxy)
        engine.version = self.next_versions.get(engine.service, version)

    def _crash_counts(self):
        # No client sends what crashes engines: they crash as they are released.
        return {}

    def _release(self, number):
        """Let engines of a new version join while VMs are out of step."""
        rng = random.Random(f"{self.seed}/release-{number}")
        service = f"llm{(number - 1) % SERVICES}"
        names = sorted(self.fleet.daemons)
        late = rng.sample(names, 2 if len(names) > 4 and rng.random() < 0.5 else 1)
        case = rng.choice(CASES)
        touch = [name for name in names if name not in late]
        woken, seconds = threading.Event(), rng.uniform(*STOP_SECONDS)
        with concurrent.futures.ThreadPoolExecutor(STREAMS + STREAMS_UNDER_WAY) as pool:
            for place in range(STREAMS_UNDER_WAY):
                request_id = f"u{number}-{place}"
                pool.submit(self._run_stream, request_id, service, late, touch)
            self._begin_out_of_step(rng, late, case, seconds, woken)
            time.sleep(rng.uniform(*JOIN_DELAY_SECONDS))
            how = self._bring_version(rng, service, f"v{number + 1}")
            if rng.random() < CONFIGURATION_SHARE:
                self._log(self.write_configuration())
            time.sleep(rng.uniform(*BEGIN_DELAY_SECONDS))
            what = f"release {number} of {service} ({how}), {late} out of step: {case}"
            self.releases.append(f"{what}, {seconds:.2f} s")
            self._log(self.releases[-1])
            for place in range(STREAMS):
                request_id = f"r{number}-{place}"
                pool.submit(self._run_stream, request_id, service, touch, late, woken)

    def _bring_version(self, rng, service, version):
        """Bring a new version of a service; return how."""
        live = [e for e in self.fleet.engines.values() if e.service == service]
        live = [engine for engine in live if engine not in self.replaced]
        self.next_versions[service] = version
        if rng.random() < RESTART_SHARE:
            for engine in rng.sample(live, len(live) // 2):
                self.fleet.call_on_loop(engine.crash)
            return "restarts"
        for stage in STAGES:
            self.add_instance(service, stage, version)
        if rng.random() > LEAVING_SHARE:
            return "joins"
        for old in live:
            self.replaced.append(old)
            self._call_later(self._drain, old)
        return "replaces"

    def _begin_out_of_step(self, rng, late, case, seconds, woken):
        """Put VMs out of step; ``woken`` is set when they run again."""
        cut_seconds = seconds + rng.uniform(*CUT_SECONDS)
        if "store" in case:
            self.fleet.cut(late, CUTS["silent"], {STORE})
            self._later(cut_seconds, self.fleet.restore, late, {STORE})
        if "peers" in case:
            self.fleet.cut_peers(late, True)
            self._later(cut_seconds, self.fleet.cut_peers, late, False)
        time.sleep(rng.uniform(*STOP_DELAY_SECONDS))
        if "stop" in case:
            for name in late:
                process = self.fleet.daemons[name]
                process.send_signal(signal.SIGSTOP)
                self._later(seconds, process.send_signal, signal.SIGCONT)
        self._later(seconds, woken.set)
        for name in late:
            self._record_disturbance(
                name, cut_seconds if case != ("stop",) else seconds
            )

    def _later(self, seconds, function, *args):
        self._call_later(function, *args, within=(seconds, seconds))

    def _run_stream(self, request_id, service, first, late, woken=None):
        """Begin a stream at one of the VMs ``first`` and go on until it is complete.

        :param late: the VMs at which the client takes the stream up more often.
        :param woken: when most clients do so, None for at once.
        """
        rng = random.Random(f"{self.seed}/{request_id}")
        tokens = rng.choice(("100,10", "9000,10"))
        outcome = soak.Outcome(
            request_id,
            RESUMABLE_PATH,
            f"prompt {request_id}".encode(),
            daemon=rng.choice(first),
            path=f"{service}/",
        )
        self._send(outcome, tokens)
        waits = woken is not None and rng.random() < WAITING_SHARE
        for number in range(MAX_TRIES):
            has_events = outcome.status == 200
            events = event_ids(whole_events(outcome.body)) if has_events else []
            last = events[-1] if events else outcome.after_event
            if last in (0, soak.STREAM_EVENT_IDS[-1]):
                return
            if outcome.retry_after is not None:
                time.sleep(min(outcome.retry_after, MAX_WAIT_SECONDS))
            if waits:
                woken.wait(STOP_SECONDS[1] + 1)
            before = outcome
            outcome = soak.Outcome(
                f"{request_id}.{number}",
                before.prefix,
                before.sent,
                daemon=rng.choice(late if rng.random() < LATE_SHARE else first),
                path=before.path,
                origin=request_id,
                after_event=last,
            )
            self._send(outcome, tokens)

    def _send(self, outcome, tokens):
        connection = self.fleet.connect(outcome.daemon)
        connection.timeout = soak.CLIENT_TIMEOUT_SECONDS
        if outcome.id.startswith("u") and not outcome.after_event:
            connection.timeout = WAIT_FOR_EVENT_SECONDS
        self._try_exchange(connection, outcome, tokens)
        connection.close()

    def _leaves(self, outcome):
        if not outcome.path:
            return super()._leaves(outcome)
        share = random.Random(f"{self.seed}/{outcome.id}").random()
        begins = not outcome.after_event and outcome.id.startswith("r")
        return outcome.status == 200 and (begins or share < LEFT_SHARE)

    def find_violations(self):
        closed = [o for o in self.outcomes if o.kept and self._is_closed(o)]
        violations = super().find_violations()
        if not self.others and len(closed) > MAX_CLOSED:
            names = [outcome.id for outcome in closed]
            violations.append(f"LOST: kept connections closed without answer: {names}")
        return violations

    def _is_closed(self, outcome):
        """Return whether a VM in touch closed a connection without an answer."""
        return (
            not outcome.status and not outcome.timed_out_at and self.in_touch(outcome)
        )

    def in_touch(self, outcome):
        """Return whether the VM was in touch when it took a request."""
        start = outcome.sent_at - soak.CONTACT_SECONDS
        end = max(outcome.sent_at, outcome.answered_at)
        return not self._is_disturbed({outcome.daemon}, start, end)

    def count_taken_up(self):
        """Return how the streams went on that were taken up.

        :returns: a counter of (what the VM was, how).
        """
        causes = {}
        for name in self.fleet.daemons:
            for event, key in (("rejected", "reason"), ("answered", "cause")):
                for row in self.fleet.log_records(event, name):
                    if row[key]:
                        causes.setdefault((name, row["request"]), row[key])
        begun = {o.id: event_versions(o.body) for o in self.outcomes}
        counts = collections.Counter()
        for outcome in self.outcomes:
            if not outcome.after_event or not outcome.path:
                continue
            cause = causes.get((outcome.daemon, outcome.id), "no reason logged")
            how = f"{outcome.status}, {cause}, Retry-After {outcome.retry_after}"
            if outcome.status == 200 and event_ids(outcome.body):
                how = "goes on"
            where = "in touch" if self.in_touch(outcome) else "out of touch"
            if outcome.id.startswith("u"):
                where += ", begun at a VM as it was put out of step"
            if not begun[outcome.origin] & self._live_versions(outcome.path[:-1]):
                where = "version gone"
            counts[where, how] += 1
        return counts

    def _live_versions(self, service):
        """Return the versions of a service whose engines stayed to the end."""
        return {
            engine.version.encode()
            for engine in self.fleet.engines.values()
            if engine.service == service
            and engine.stage == "decode"
            and engine not in self.replaced
        }

    def trace(self, origin):
        """Return the log lines of a stream's requests, in order of time."""
        ids = {o.id for o in self.outcomes if origin in (o.id, o.origin)}
        rows, keys = [], set()
        for name in sorted(self.fleet.daemons):
            for line in self.fleet.log(name).splitlines():
                row = json.loads(line) if line.startswith("{") else {}
                rows.append((row.get("at", ""), name, row))
                if row.get("request") in ids and "stream" in row:
                    keys.add(row["stream"])
        found = [
            f"{at} {name} {json.dumps(row)}"
            for at, name, row in sorted(rows, key=lambda row: row[:2])
            if row.get("request") in ids or row.get("stream") in keys
        ]
        tries = [repr(o) for o in self.outcomes if o.id in ids]
        return "\n".join([origin, *tries, *found])


def run_soak(directory, seed, seconds, daemons, others=False):
    """Run one seed; return (violations, soak)."""
    run = ReleaseSoak.from_seed(directory, seed, daemons)
    run.others = others
    try:
        violations = run.run(seconds)
        (directory / "releases.txt").write_text("\n".join(run.releases) + "\n")
        streams = {o.origin or o.id for o in run.outcomes}
        traces = [
            run.trace(origin)
            for origin in sorted(streams)
            if any(f" {origin} " in f"{v} " for v in violations)
        ]
        (directory / "traces.txt").write_text("\n\n".join(traces))
        return violations, run
    finally:
        soak.end(run)


def main(
    *, seed: int = 0, seconds: float = 15.0, daemons: int = 4, others: bool = False
):
    """Run one seed and print the violated guarantees.

    :param seed: decides the faults; 0 takes a random one.
    :param seconds: for how long releases begin.
    :param daemons: entry VMs, one process each.
    :param others: whether the soak's other faults are injected, too.
    """
    seed = seed or random.randrange(1, 10**9)
    directory = pathlib.Path(tempfile.mkdtemp(prefix=f"releases-{seed}-"))
    violations, run = run_soak(directory, seed, seconds, daemons, others)
    print(f"seed {seed}, {daemons} daemons, {len(run.outcomes)} requests")
    print(*run.releases, sep="\n", flush=True)
    for (where, how), count in sorted(run.count_taken_up().items()):
        print(f"taken up, {where}: {how}: {count}")
    print(
        "\n".join(violations) or "no guarantee violated",
        f"logs in {directory}",
        sep="\n",
    )
    sys.exit(1 if violations else 0)


if __name__ == "__main__":
    defopt.run(main)
