"""Randomized soak test: real daemons under overlapping faults.

Several ``mulberrydock serve`` processes run against stand-ins of the store, engines and
services, each behind a loopback proxy. The seed decides which faults happen and when:
connections are delayed, reset, cut or silenced; daemons lose their links to instances;
daemons are paused, killed, stopped and
restarted; the store refuses, stops answering, loses responses and compacts its history;
instances misbehave, drain, announce their leave before the store shows it, ask for
pauses and are replaced, by one of any software version; one request crashes whatever
runs it and is sent repeatedly, and so do two parts of prompts, in requests of which no
two are alike; a crashed instance restarts under its id at any software version, and the
store shows it late. Clients reuse open connections until these are closed,
and take streams up that were cut or that they left; another one sends bursts of
streams. The faults follow the seed, but the timing of what they hit differs a little
from run to run: a seed that failed once is to be run several times.

Run ``python tests/soak.py --seed 7 --seconds 60 --daemons 4``. It prints the violated
guarantees, if any, and keeps the logs of that run. With ``--no-faults`` there are none
of the faults above.
"""

import collections
import concurrent.futures
import functools
import http.client
import itertools
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
import soak_streams
from link_fleet import LinkFleet
from platform_fleet import (
    IDEMPOTENT_PATH,
    NON_IDEMPOTENT_PATH,
    RESUMABLE_PATH,
    STREAM_PATH,
    config,
    event_ids,
    send,
    wait_until,
    whole_events,
)

from mulberrydock.fleet import free_ports
from mulberrydock.platform import wire
from mulberrydock.standin.faultproxy import FaultProxy
from mulberrydock.standin.pair_link import CUTS
from mulberrydock.standin.platform_engine import Fault

#: By route, whether a request that may have run may be sent again.
REPEATABLE = {
    RESUMABLE_PATH: True,
    STREAM_PATH: False,
    IDEMPOTENT_PATH: True,
    NON_IDEMPOTENT_PATH: False,
}
#: Statuses which guarantee that the request has not run and never will.
NOT_RUN_STATUSES = (408, 421, 429, 503)
#: Event ids of a complete stream of the stand-ins.
STREAM_EVENT_IDS = [1, 2, 3, 4]
#: Range of the random interval between two faults; it is shorter than they last, so
#: that several overlap.
FAULT_INTERVAL_SECONDS = (0.05, 0.4)
#: Range of the random duration of a fault that ends by itself.
FAULT_DURATION_SECONDS = (0.3, 2.5)
#: Range of the random duration of a cut of links; longer than the contact time, so that
#: requests are forwarded for a while.
LINK_CUT_SECONDS = (1.0, 6.0)
#: Timeout of a client's connection; twice the requests' deadline.
CLIENT_TIMEOUT_SECONDS = 6.0
#: Time in which requests must be served again once all faults are over.
RECOVERY_TIMEOUT_SECONDS = 20.0
CLIENT_COUNT = 6
#: Most bytes that a client reads at a time.
READ_BYTES = 4096
#: Streams that one client begins at once, each on a connection of its own, and the
#: range of the random interval between two such bursts.
BURST_STREAMS = 24
BURST_INTERVAL_SECONDS = (0.5, 1.5)
#: Exit statuses of the daemons that the soak stops or kills.
STOPPED_STATUSES = (0, -signal.SIGKILL, -signal.SIGTERM)
#: Software versions of the engines, and seconds between two events of their streams.
VERSIONS = ("v1", "v1.1", "v2")
EVENT_INTERVAL_SECONDS = 0.05
#: Range of the random time from a crashed engine's restart until its record shows it.
RECORD_DELAY_SECONDS = (0.0, 3.0)
#: Share of the streams that their clients leave after the first event, and how often a
#: client takes a stream up.
LEFT_SHARE = 0.1
MAX_RESUMES = 2
#: The body of the request that crashes what runs it, and the range of the random
#: interval between two of them.
CRASHING_BODY = b"crash"
CRASH_INTERVAL_SECONDS = (0.3, 1.2)
#: Prompts with a part that crashes what runs it, by that part; clients' own prompts
#: share all their other parts but the last.
DEADLY_PROMPTS = {"d1": "aa:50,d1:50", "d2": "d2:50,aa:50"}
#: Crashes under such a part after which it must be stopped.
PART_CRASH_LIMIT = 5
#: Crashes after which the request must be quarantined, and how many sends of it may
#: still reach instances once the contact time has passed.
CRASH_LIMIT = 3
MAX_SENDS_AFTER_CRASHES = 3
#: The contact time, as in the daemons' settings: after it all VMs know of the crashes,
#: and crashed instances have restarted.
CONTACT_SECONDS = 2.2
#: From the response in which an instance announces its leave until no new request may
#: reach it through the daemon that passed the response on.
DRAIN_SECONDS = 2.0
#: Range of the random time from that announcement until the store shows the leave.
ANNOUNCED_SECONDS = (3.0, 8.0)
#: Range of the random pause that an instance asks for, and how many calls it refuses.
PAUSE_SECONDS = (1.0, 4.0)
MAX_REFUSALS = 40
#: From a refusal until its pause is in force, and requests of one daemon that may reach
#: the instance in the rest of the pause. Only time in which the stand-ins run counts:
#: otherwise they pass on neither refusals nor requests.
NOTICE_SECONDS = 0.5
MAX_SENDS_IN_A_PAUSE = 2
#: Interval at which the stand-ins' event loop notes that it runs, and the longest time
#: between two such notes that isn't a stand-still.
TURN_SECONDS = 0.02
MAX_TURN_SECONDS = 0.1


@attrs.define
class Outcome:
    """One request as its client saw it.

    :param status: the response's status, 0 without a response.
    :param complete: whether the response was read to its end.
    :param daemon: the daemon it was sent to, at ``sent_at`` in monotonic seconds.
    :param leaving: whether the response states that its instance leaves; it ended at
        ``answered_at``.
    :param origin: id of the request that began the stream, ``after_event`` the last
        event that its client had when it sent this request.
    :param parts: the parts of its prompt, empty for those of all requests.
    :param timed_out_at: when the client gave up, as nothing came any more, monotonic
        seconds, 0 if it didn't.
    :param path: what follows ``prefix`` in its path.
    :param kept: whether its connection had carried a request before.
    :param retry_after: the seconds that the response asks the client to wait.
    """

    id: str
    prefix: str
    sent: bytes
    status: int = 0
    complete: bool = False
    body: bytes = b""
    signature: str = ""
    daemon: str = ""
    sent_at: float = 0.0
    answered_at: float = 0.0
    leaving: bool = False
    origin: str = ""
    after_event: int = 0
    parts: str = ""
    timed_out_at: float = 0.0
    path: str = ""
    kept: bool = False
    retry_after: float | None = None


@attrs.define
class Soak:
    """One run: the fleet behind its proxies, what the clients saw, and the faults.

    :param version: the version of the configuration last written.
    :param instance_count: how many instances were started so far.
    :param replaced: instances that were drained and replaced.
    :param fault_timers: timers that end the faults with a duration.
    :param disturbances: (name, start, end) of each daemon that was paused or restarted,
        of each address whose connections were disturbed and of each link that was cut,
        monotonic seconds.
    :param standstills: (start, end) of the times in which the stand-ins' event loop
        stood still, monotonic seconds, in order.
    :param ended: (name, exit status) of each daemon that ended by itself.
    :param finished: set when the clients are to stop.
    """

    fleet: LinkFleet
    seed: int
    daemons: int
    random: random.Random
    crash_random: random.Random
    outcomes: list = attrs.field(factory=list)
    proxies: list = attrs.field(factory=list)
    fault_timers: list = attrs.field(factory=list)
    replaced: list = attrs.field(factory=list)
    disturbances: list = attrs.field(factory=list)
    standstills: list = attrs.field(factory=list)
    ended: list = attrs.field(factory=list)
    version: int = 3
    instance_count: int = 0
    finished: threading.Event = attrs.field(factory=threading.Event)

    fleet_class = LinkFleet
    versions = VERSIONS
    event_interval = EVENT_INTERVAL_SECONDS

    @classmethod
    def from_seed(cls, directory, seed, daemons):
        """Start the fleet, with a proxy before each stand-in, and the daemons."""
        # Crashes are drawn on the stand-ins' thread.
        rngs = random.Random(seed), random.Random(f"{seed}/restarts")
        soak = cls(cls.fleet_class(directory), seed, daemons, *rngs)
        soak.fleet.add_proxy = soak._add_proxy
        soak.fleet.call_on_loop(soak._note_turn, time.monotonic())
        soak.fleet.write("op/config", soak.configuration())
        for service, stage in soak.first_instances():
            soak.add_instance(service, stage)
        for number in range(daemons):
            soak.fleet.start(f"entry-{number}")
        names = [f"{e.id}@{e.started_at_ms}" for e in soak.fleet.engines.values()]
        for number in range(daemons):
            soak.fleet.wait_ready(f"entry-{number}", names)
        return soak

    def configuration(self):
        """Return the configuration's document."""
        return config(self.version)

    def first_instances(self):
        """Return (service, stage) of each instance at the start."""
        stages = ("prefill", "prefill", "decode", "decode", "decode")
        return [("llm", stage) for stage in stages] + [("app", "")] * 3

    def _note_turn(self, last):
        """Note that the stand-ins run, and if they stood still since ``last``."""
        now = time.monotonic()
        if now - last > MAX_TURN_SECONDS:
            self.standstills.append((last, now))
        self.fleet.loop.call_later(TURN_SECONDS, self._note_turn, now)

    def _after_running(self, start, seconds):
        """Return when the stand-ins have run for ``seconds`` since ``start``."""
        moment = start + seconds
        for begin, end in self.standstills:
            if end > start and begin < moment:
                moment += end - max(begin, start)
        return moment

    def _add_proxy(self, target):
        listen = f"127.0.0.1:{free_ports(1)[0]}"
        proxy = FaultProxy(listen, target)
        self.fleet.call_on_loop(proxy.open)
        self.proxies.append(proxy)
        return listen

    def add_instance(self, service, stage, version=None):
        """Start an instance behind a proxy and register the proxy's address.

        :param version: the version of its software, by default a random one.
        """
        self.instance_count += 1
        started_at_ms = int(time.time() * 1000)
        engine = self.fleet.add_instance(
            f"i{self.instance_count}",
            service,
            stage,
            started_at_ms=started_at_ms,
            version=version or self.random.choice(self.versions),
            event_interval_seconds=self.event_interval,
            crash_parts=frozenset(DEADLY_PROMPTS),
        )
        engine.address = self._add_proxy(engine.address)
        engine.crash_marker = CRASHING_BODY
        # A crashed process refuses connections, so its proxy must do so too.
        proxy = self.proxies[-1]
        engine.on_crash = lambda engine: self._handle_crash(engine, proxy)
        engine.on_restart = lambda engine: self._handle_restart(engine, proxy)
        self.fleet.write(f"servers/{engine.id}", engine.store_document())
        return engine

    def _handle_crash(self, engine, proxy):
        engine.version = self.crash_random.choice(self.versions)
        proxy.set_mode("partition")
        for link in self.fleet.links_of(targets={engine.id}):
            link.set_target_down(True)
        # The next incarnation hasn't asked for a pause, nor announced its leave.
        engine.refusals.clear()
        engine.leaving = False

    def _handle_restart(self, engine, proxy):
        proxy.set_mode("pass")
        for link in self.fleet.links_of(targets={engine.id}):
            link.set_target_down(False)
        delay = self.crash_random.uniform(*RECORD_DELAY_SECONDS)
        self.fleet.loop.call_later(delay, self._write_restart, engine)

    def _write_restart(self, engine):
        key = f"servers/{engine.id}"
        if key in self.fleet.store.items and engine not in self.replaced:
            self.fleet.store.write(key, engine.store_document())

    # Faults: each method injects one and returns its description for the run's log.

    def break_connection(self):
        proxy = self.random.choice(self.proxies)
        mode = self.random.choice(("kill", "silent", "delay", "partition"))
        self.fleet.call_on_loop(proxy.set_mode, mode, 0.05)
        seconds = self._call_later(self.fleet.call_on_loop, proxy.set_mode, "pass")
        self._record_disturbance(proxy.target, seconds)
        return f"{mode} before {proxy.target}"

    def cut_links(self):
        names = self.random.sample(
            sorted(self.fleet.daemons), self.random.randint(1, self.daemons)
        )
        cut = self.random.choice(list(CUTS))
        services = self.random.choice((("llm",), ("app",), ("llm", "app")))
        targets = {
            engine.id
            for engine in self.fleet.engines.values()
            if engine.service in services
        }
        self.fleet.cut(names, CUTS[cut], targets)
        seconds = self._call_later(
            self.fleet.restore, names, targets, within=LINK_CUT_SECONDS
        )
        # What a cut held up arrives after it, and its sender may not wait for it.
        for name, target in itertools.product(names, targets):
            self._record_disturbance(f"{name} to {target}", seconds + CONTACT_SECONDS)
        return f"links of {names} to {services} cut: {cut}"

    def break_store(self):
        name, value = self.random.choice(
            (("refusing", True), ("silent", True), ("lose_write_answers", 2))
        )
        setattr(self.fleet.store, name, value)
        self._call_later(setattr, self.fleet.store, name, type(value)(0))
        return f"store {name}"

    def compact_history(self):
        self.fleet.call_on_loop(self.fleet.store.compact_history)
        return "store compacts its history"

    def break_instance(self):
        engine = self.random.choice(list(self.fleet.engines.values()))
        fault = self.random.choice([f for f in Fault if f is not Fault.HANG])
        engine.faults.append(fault)
        return f"{engine.id} {fault.value}"

    def ask_for_pause(self):
        engine = self.random.choice(list(self.fleet.engines.values()))
        engine.retry_after = self.random.uniform(*PAUSE_SECONDS)
        engine.faults.extend([Fault.REFUSE] * self.random.randint(1, MAX_REFUSALS))
        return f"{engine.id} asks for pauses of {engine.retry_after:.1f} s"

    def replace_instance(self):
        old = self._start_successor()
        self._drain(old)
        return f"{old.id} drained and replaced"

    def announce_leave(self):
        old = self._start_successor()
        old.leaving = True
        self._call_later(self._drain, old, within=ANNOUNCED_SECONDS)
        return f"{old.id} announces its leave"

    def _start_successor(self):
        """Start the successor of a random instance; return the one it replaces."""
        live = [e for e in self.fleet.engines.values() if e not in self.replaced]
        old = self.random.choice(live)
        self.replaced.append(old)
        self.add_instance(old.service, old.stage)
        return old

    def _drain(self, old):
        self.fleet.write(f"servers/{old.id}", old.store_document("draining"))
        self._call_later(self.fleet.remove, f"servers/{old.id}")

    def pause_daemon(self):
        name, process = self._choose_daemon()
        process.send_signal(signal.SIGSTOP)
        seconds = self._call_later(process.send_signal, signal.SIGCONT)
        self._record_disturbance(name, seconds)
        return f"{name} paused"

    def restart_daemon(self):
        name, process = self._choose_daemon()
        how = self.random.choice((signal.SIGKILL, signal.SIGTERM))
        process.send_signal(signal.SIGCONT)
        process.send_signal(how)
        if process.wait() not in STOPPED_STATUSES:
            self.ended.append((name, process.returncode))
        self.fleet.start(name)
        self._record_disturbance(name, 0.0)
        return f"{name} {how.name} and restart"

    def reload_daemon(self):
        name, process = self._choose_daemon()
        process.send_signal(signal.SIGHUP)
        return f"{name} SIGHUP"

    def write_configuration(self):
        self.version += self.random.choice((1, 3))
        self.fleet.write("op/config", self.configuration())
        return f"configuration {self.version}"

    def _choose_daemon(self):
        name = f"entry-{self.random.randrange(self.daemons)}"
        return name, self.fleet.daemons[name]

    def _call_later(self, function, *args, within=FAULT_DURATION_SECONDS):
        """Call ``function`` after a random time; return that time in seconds."""
        seconds = self.random.uniform(*within)
        timer = threading.Timer(seconds, function, args)
        timer.daemon = True
        timer.start()
        self.fault_timers.append(timer)
        return seconds

    def _record_disturbance(self, name, seconds):
        now = time.monotonic()
        self.disturbances.append((name, now, now + seconds))

    def _is_disturbed(self, names, start, end):
        return any(
            name in names and begin <= end and start <= until
            for name, begin, until in self.disturbances
        )

    def run(self, seconds, faults=True):
        """Inject faults for ``seconds``, then check the guarantees.

        Waits until the faults are over and requests are served again.

        :param faults: False for a run of the same length without faults.
        :returns: the violated guarantees, one line each.
        """
        clients = self._clients(faults)
        for client in clients:
            client.start()
        if faults:
            self._inject_faults(seconds)
            self._end_faults()
        else:
            time.sleep(seconds)
        recovered = self._wait_for_recovery()
        self.finished.set()
        for client in clients:
            client.join(2 * CLIENT_TIMEOUT_SECONDS)
        violations = (
            [] if recovered else ["RECOVERY: requests are not served after the faults"]
        )
        return violations + self._quarantine_violations() + self.find_violations()

    def _clients(self, faults):
        """Return the clients' threads."""
        functions = [
            functools.partial(self._run_client, number)
            for number in range(CLIENT_COUNT)
        ]
        functions.append(self._run_bursts)
        if faults:
            functions.append(self._run_crasher)
        return [threading.Thread(target=f, daemon=True) for f in functions]

    def _inject_faults(self, seconds):
        kinds = (
            [self.break_connection] * 4
            + [self.break_instance] * 4
            + [self.announce_leave, self.ask_for_pause, self.cut_links] * 2
            + [
                self.break_store,
                self.compact_history,
                self.replace_instance,
                self.write_configuration,
            ]
            + [self.pause_daemon, self.restart_daemon, self.reload_daemon]
        )
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            time.sleep(self.random.uniform(*FAULT_INTERVAL_SECONDS))
            what = self.random.choice(kinds)()
            print(f"{time.strftime('%H:%M:%S')} {what}", file=sys.stderr)

    def _end_faults(self):
        for timer in self.fault_timers:
            timer.join(2 * ANNOUNCED_SECONDS[1])
        for engine in self.fleet.engines.values():
            engine.faults.clear()

    def _wait_for_recovery(self):
        served = len(self.outcomes)
        try:
            wait_until(
                lambda: self._count_served_since(served) >= CLIENT_COUNT,
                RECOVERY_TIMEOUT_SECONDS,
            )
        except AssertionError:
            return False
        return True

    def _count_served_since(self, count):
        return sum(o.status == 200 and o.complete for o in self.outcomes[count:])

    def _run_crasher(self):
        """Send the crashing request repeatedly, to any daemon."""
        rng, count = random.Random(f"{self.seed}/crasher"), 0
        while not self.finished.wait(rng.uniform(*CRASH_INTERVAL_SECONDS)):
            count += 1
            cause = rng.choice(("crash", *DEADLY_PROMPTS))
            name = f"entry-{rng.randrange(self.daemons)}"
            self._send_crashing(name, cause, count)

    def _send_crashing(self, name, cause, number):
        """Send a request that crashes its instance, by its body or by a part."""
        request_id = f"{cause}-{number}"
        body, parts = CRASHING_BODY, ""
        if cause in DEADLY_PROMPTS:
            body = f"prompt {request_id}".encode()
            parts = f"{DEADLY_PROMPTS[cause]},{request_id}:50"
        outcome = Outcome(request_id, RESUMABLE_PATH, body, daemon=name, parts=parts)
        self._try_exchange(self.fleet.connect(name), outcome, "100,10")

    def _crash_counts(self):
        """Return how many instances crashed under each cause that must be stopped."""
        engines = self.fleet.engines.values()
        parts = collections.Counter(p for e in engines for p in e.crashed_parts)
        counts = {p: n for p, n in parts.items() if n >= PART_CRASH_LIMIT}
        by_body = sum(e.crashes for e in engines) - parts.total()
        return counts | ({"crash": by_body} if by_body >= CRASH_LIMIT else {})

    def _quarantine_violations(self):
        """Return the violations if daemons still send what crashes instances.

        Waits for :data:`CONTACT_SECONDS` first.
        """
        causes = list(self._crash_counts())
        if causes:
            time.sleep(CONTACT_SECONDS)
        return [v for cause in causes for v in self._send_after_crashes(cause)]

    def _send_after_crashes(self, cause):
        before = self._count_arrivals(cause)
        for name in self.fleet.daemons:
            self._send_crashing(name, cause, f"after-{name}")
            time.sleep(1.0)
        sends = self._count_arrivals(cause) - before
        if sends > MAX_SENDS_AFTER_CRASHES:
            yield f"BUDGET: {sends} more sends with {cause} reached instances"

    def _count_arrivals(self, cause):
        return sum(
            request_id.startswith(f"{cause}-")
            for engine in self.fleet.engines.values()
            for request_id in engine.arrived_ids
        )

    def _run_bursts(self):
        """Send bursts of streams, each burst to any daemon."""
        rng, number = random.Random(f"{self.seed}/bursts"), 0
        while not self.finished.wait(rng.uniform(*BURST_INTERVAL_SECONDS)):
            number += 1
            name = f"entry-{rng.randrange(self.daemons)}"
            ids = [f"b{number}-{place}" for place in range(BURST_STREAMS)]
            self._send_burst(name, ids)

    def _send_burst(self, name, ids):
        """Send one stream for each id at once; return when all have ended."""
        outcomes = [
            Outcome(i, RESUMABLE_PATH, f"prompt {i}".encode(), daemon=name) for i in ids
        ]
        with concurrent.futures.ThreadPoolExecutor(len(ids)) as pool:
            for outcome in outcomes:
                connection = self.fleet.connect(name)
                connection.timeout = CLIENT_TIMEOUT_SECONDS
                pool.submit(self._try_exchange, connection, outcome, "100,10")

    def _run_client(self, number):
        """Send requests one after the other, reusing the connection while open."""
        rng = random.Random(f"{self.seed}/{number}")
        connection, name, count = None, "", 0
        while not self.finished.is_set():
            count += 1
            request_id = f"c{number}-{count}"
            body = f"prompt {request_id}".encode()
            outcome = Outcome(request_id, rng.choice(list(REPEATABLE)), body)
            outcome.kept = connection is not None
            if connection is None:
                name = f"entry-{rng.randrange(self.daemons)}"
                connection = self.fleet.connect(name)
                connection.timeout = CLIENT_TIMEOUT_SECONDS
            outcome.daemon = name
            tokens = rng.choice(("100,10", "2000,10", "9000,10"))
            if self._try_exchange(connection, outcome, tokens):
                connection.close()
                connection = None
            self._take_up(outcome, rng)

    def _take_up(self, outcome, rng):
        """Go on with a stream that has ended early, as its client does."""
        for number in range(MAX_RESUMES):
            events = event_ids(whole_events(outcome.body))
            last = events[-1] if events else outcome.after_event
            if outcome.prefix != RESUMABLE_PATH or last in (0, STREAM_EVENT_IDS[-1]):
                return
            before, name = outcome, f"entry-{rng.randrange(self.daemons)}"
            outcome = Outcome(
                f"{before.id}-{number}", before.prefix, before.sent, daemon=name
            )
            outcome.origin, outcome.after_event = before.origin or before.id, last
            self._try_exchange(self.fleet.connect(name), outcome, "100,10")

    def _try_exchange(self, connection, outcome, tokens):
        """Make one exchange, which may fail, and record its outcome.

        Without a valid response, what the daemon did is checked by the instances' runs.

        :returns: True when the connection is to be closed.
        """
        try:
            return self._exchange(connection, outcome, tokens)
        except Exception as error:  # http.client raises undocumented exceptions
            outcome.body = outcome.body or repr(error).encode()
            if isinstance(error, TimeoutError):
                outcome.timed_out_at = time.monotonic()
            return True
        finally:
            self.outcomes.append(outcome)

    def _exchange(self, connection, outcome, tokens):
        """Make one exchange; return True when the connection is to be closed."""
        fields = {"body": outcome.sent, "X_Mulberrydock_Token_Counts": tokens}
        if outcome.parts:
            fields["X_Mulberrydock_Prompt_Prefix"] = outcome.parts
        if outcome.after_event:
            fields["Last_Event_Id"] = str(outcome.after_event)
            fields["Resumes"] = outcome.origin
        outcome.sent_at = time.monotonic()
        send(connection, outcome.prefix + outcome.path, outcome.id, **fields)
        response = connection.getresponse()
        outcome.status = response.status
        outcome.signature = response.headers.get(wire.SIGNATURE, "")
        outcome.leaving = wire.SERVER_LEAVING in response.headers
        if wire.RETRY_AFTER in response.headers:
            outcome.retry_after = float(response.headers[wire.RETRY_AFTER])
        # Holds if the response is cut, too.
        outcome.answered_at = time.monotonic()
        if self._leaves(outcome):
            outcome.body = response.read1(READ_BYTES)
            raise http.client.IncompleteRead(outcome.body)
        while chunk := response.read1(READ_BYTES):
            outcome.body += chunk
        # Raises if the body ends early, which ``read1`` may not tell.
        response.read()
        outcome.answered_at = time.monotonic()
        outcome.complete = True
        return response.headers.get("Connection", "").lower() == "close"

    def _leaves(self, outcome):
        """Return whether the client leaves the response in the middle."""
        share = random.Random(f"{self.seed}/{outcome.id}").random()
        return outcome.prefix == RESUMABLE_PATH and share < LEFT_SHARE

    def find_violations(self):
        """Return each guarantee that clients or instances saw violated."""
        runs = {}
        for engine in self.fleet.engines.values():
            for run in engine.runs:
                runs.setdefault(run.id, []).append((engine, run))
        violations = []
        for outcome in self.outcomes:
            violations += _response_violations(outcome)
            violations += _run_violations(outcome, runs.pop(outcome.id, []))
        violations += [
            f"UNASKED: {request} ran, but no client sent it: {run.method} "
            f"{run.target} at {engine.id} with {dict(run.headers)} and {run.body!r}"
            for request, found in runs.items()
            for engine, run in found
        ]
        violations += self._lost_violations()
        violations += self._drain_violations()
        violations += self._pause_violations()
        violations += self._order_violations()
        violations += self._version_violations()
        violations += soak_streams.find_violations(self.outcomes)
        return violations

    def _arrivals(self):
        """Return (instance, outcome, time) of each arrival of a client's request."""
        outcomes = {outcome.id: outcome for outcome in self.outcomes}
        return [
            (engine, outcomes[request_id], at)
            for engine in self.fleet.engines.values()
            for request_id, at in zip(engine.arrived_ids, engine.arrival_times)
            if request_id in outcomes
        ]

    def _lost_violations(self):
        """Yield the requests that a daemon left without an answer or an end.

        Each states a deadline, and its client waits for at least twice that time.
        """
        for outcome in self.outcomes:
            at = outcome.timed_out_at
            if at and not self._is_disturbed({outcome.daemon}, outcome.sent_at, at):
                what = "end" if outcome.status else "answer"
                yield f"LOST: {outcome.id} got no {what} from {outcome.daemon}"
        for name, process in self.fleet.daemons.items():
            if process.poll() is not None:
                self.ended.append((name, process.returncode))
        for name, status in self.ended:
            yield f"LOST: {name} ended by itself with exit status {status}"
        if not self._count_served_since(0):
            yield "LOST: no request was served"

    def _drain_violations(self):
        told_at = {}
        for outcome in self.outcomes:
            if outcome.leaving:
                key = outcome.daemon, outcome.signature
                told_at.setdefault(key, outcome.answered_at)
        for engine, outcome, at in self._arrivals():
            told = told_at.get((outcome.daemon, f"signature-of-{engine.id}"), at)
            if outcome.sent_at <= told + DRAIN_SECONDS:
                continue
            if any(told < crashed_at < at for crashed_at in engine.crash_times):
                # Its next incarnation hasn't announced anything.
                continue
            if not self._is_disturbed({outcome.daemon}, told, at):
                yield f"DRAIN: {outcome.id} reached {engine.id}, which leaves"

    def _pause_violations(self):
        times = collections.defaultdict(list)
        senders = self._senders()
        for engine, outcome, at in self._arrivals():
            for name in senders[outcome.id, engine.id]:
                times[engine.id, name].append(at)
        for engine in self.fleet.engines.values():
            for request_id, at, pause in engine.refusals:
                for name in senders[request_id, engine.id]:
                    end = at + pause
                    in_force = self._after_running(at, NOTICE_SECONDS)
                    sends = sum(
                        in_force < moment < end for moment in times[engine.id, name]
                    )
                    names = {
                        name,
                        engine.listen_address,
                        f"{name} to {engine.id}",
                    }
                    if sends > MAX_SENDS_IN_A_PAUSE and not self._is_disturbed(
                        names, at, end
                    ):
                        yield f"BUDGET: {sends} of {name} in a pause of {engine.id}"

    def _senders(self):
        """Return the daemons that sent each request to each instance, by their logs.

        A daemon may have forwarded its client's request to another one.
        """
        senders = collections.defaultdict(set)
        for name in self.fleet.daemons:
            for event in ("send", "prefill"):
                for row in self.fleet.log_records(event, name):
                    instance = row["instance"].partition("@")[0]
                    senders[row["request"], instance].add(name)
        return senders

    def _order_violations(self):
        holders = collections.defaultdict(set)
        for engine in self.fleet.engines.values():
            tokens = [order["fencing_token"] for order in engine.orders]
            if tokens != sorted(tokens):
                yield f"ONE: {engine.id} took orders with decreasing tokens {tokens}"
            for order in engine.orders:
                holders[order["fencing_token"]].add(order["holder"])
        for token, names in holders.items():
            if len(names) > 1:
                yield f"ONE: {sorted(names)} gave orders with the token {token}"

    def _version_violations(self):
        for name in self.fleet.daemons:
            newest = 0
            for line in self.fleet.log(name).splitlines():
                row = json.loads(line) if line.startswith("{") else {}
                if row.get("event") == "started":
                    newest = 0
                if row.get("event") == "configuration in force":
                    if row["version"] < newest:
                        yield f"CONFIG: {name} went back to version {row['version']}"
                    newest = row["version"]


def _response_violations(outcome):
    """Return what is wrong with one response as its client saw it."""
    if outcome.status != 200 or not outcome.complete:
        return []
    if not outcome.signature:
        return [f"MIXED: {outcome.id} got status 200 without an instance's signature"]
    if outcome.prefix in (RESUMABLE_PATH, STREAM_PATH):
        own = outcome.body.count(f"data: {outcome.id}\n".encode())
        expected = STREAM_EVENT_IDS[outcome.after_event :]
        if event_ids(outcome.body) != expected or own != len(expected):
            return [f"ORDER: {outcome.id} got {outcome.body!r} as a complete stream"]
    elif not outcome.body.endswith(f" answers {outcome.id}".encode()):
        return [f"MIXED: {outcome.id} got another response: {outcome.body!r}"]
    return []


def _run_violations(outcome, runs):
    """Return what is wrong with the runs of one request."""
    violations = []
    if runs and outcome.status in NOT_RUN_STATUSES:
        violations.append(f"REFUSED: {outcome.id} got {outcome.status} although it ran")
    if len(runs) > 1 and not REPEATABLE[outcome.prefix]:
        where = [engine.id for engine, _ in runs]
        violations.append(
            f"TWICE: {outcome.id}, which may run once only, ran on {where}"
        )
    for _, run in runs:
        if run.body != outcome.sent or not run.target.startswith(outcome.prefix):
            violations.append(
                f"UNASKED: {outcome.id} ran with a changed body or target {run.target}"
            )
    return violations


def run_soak(directory, seed, seconds, daemons, faults=True):
    """Run one seed; return (violations, outcomes)."""
    soak = Soak.from_seed(directory, seed, daemons)
    try:
        return soak.run(seconds, faults), soak.outcomes
    finally:
        end(soak)


def end(soak):
    """Stop the fleet of a run."""
    for process in soak.fleet.daemons.values():
        if process.poll() is None:
            process.send_signal(signal.SIGCONT)
    for proxy in soak.proxies:
        soak.fleet.call_on_loop(proxy.release)
    soak.fleet.stop()


def main(
    *, seed: int = 0, seconds: float = 30.0, daemons: int = 3, faults: bool = True
):
    """Run one seed and print the violated guarantees.

    :param seed: decides the faults; 0 takes a random one.
    :param seconds: for how long faults are injected.
    :param daemons: entry VMs, one process each.
    :param faults: whether there are faults.
    """
    seed = seed or random.randrange(1, 10**9)
    directory = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    violations, outcomes = run_soak(directory, seed, seconds, daemons, faults)
    counts = collections.Counter((o.status, o.complete) for o in outcomes)
    resumed = collections.Counter(
        (o.status, o.complete) for o in outcomes if o.after_event
    )
    print(f"seed {seed}: {len(outcomes)} requests, by (status, complete): {counts}")
    print(f"streams taken up, likewise: {resumed}")
    print(
        "\n".join(violations) or "no guarantee violated",
        f"logs in {directory}",
        sep="\n",
    )
    sys.exit(1 if violations else 0)


if __name__ == "__main__":
    defopt.run(main)
