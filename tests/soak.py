"""A randomized soak: real daemons under overlapping faults, promises checked.

Several ``mulberrydock serve`` processes stand before stand-ins of the store,
engines and services, each behind a loopback proxy. One seed draws what goes
wrong and when: connections that are delayed, reset, cut or silenced, daemons
that are paused, killed, stopped and restarted, a store that refuses, is silent,
loses answers and forgets, instances that misbehave, drain and are replaced, a
request that crashes whatever runs it and comes again. Clients send on open
connections until these are gone. The order of events follows the seed; what they
meet differs a little from run to run, so a seed that failed once is played several
times.

Run ``python tests/soak.py --seed 7 --seconds 60 --daemons 4``; it ends with the
broken promises, if any, and leaves the logs of that run.
"""

import collections
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
from platform_fleet import (
    IDEMPOTENT_PATH,
    NON_IDEMPOTENT_PATH,
    RESUMABLE_PATH,
    STREAM_PATH,
    PlatformFleet,
    config,
    event_ids,
    send,
    wait_until,
)

from mulberrydock.fleet import free_ports
from mulberrydock.platform import wire
from mulberrydock.standin.faultproxy import FaultProxy
from mulberrydock.standin.platform_engine import Fault

#: Kinds of request and whether one that may have run may be sent again.
REPEATABLE = {
    RESUMABLE_PATH: True,
    STREAM_PATH: False,
    IDEMPOTENT_PATH: True,
    NON_IDEMPOTENT_PATH: False,
}
#: Answers that promise that the request has not run and never will.
PROMISES = (408, 421, 429, 503)
#: Events of a whole stream of the stand-ins.
WHOLE_STREAM = [1, 2, 3, 4]
#: Seconds between two faults, drawn from this range; several overlap.
FAULT_PAUSE = (0.05, 0.4)
#: Seconds that a fault with a beginning and an end lasts.
FAULT_LENGTH = (0.3, 2.5)
#: Seconds for a client's answer; twice the requests' deadline.
CLIENT_SECONDS = 6.0
#: Seconds in which requests must be served again once all faults are over.
RECOVERY_SECONDS = 20.0
CLIENTS = 6
#: The request that crashes what runs it: its body, the seconds between two, and how
#: many calls may reach instances once three crashed and the contact time is over.
CRASHING = b"crash"
CRASH_PAUSE = (0.3, 1.2)
CRASH_LIMIT = 3
SENDS_AFTER_CRASHES = 3
#: Seconds for all VMs to know, as in the daemons' settings, and for instances to be
#: back.
CONTACT_SECONDS = 2.2


@attrs.define
class Outcome:
    """What one client saw of one request; ``status`` is 0 without an answer."""

    id: str
    prefix: str
    sent: bytes
    status: int = 0
    whole: bool = False
    body: bytes = b""
    signature: str = ""


@attrs.define
class Soak:
    """One run: ``fleet`` and its proxies, what the clients saw, the faults."""

    fleet: PlatformFleet
    seed: int
    daemons: int
    random: random.Random
    outcomes: list = attrs.field(factory=list)
    proxies: list = attrs.field(factory=list)
    faults: list = attrs.field(factory=list)
    ends: list = attrs.field(factory=list)
    version: int = 3
    instances: int = 0
    over: threading.Event = attrs.field(factory=threading.Event)

    @classmethod
    def from_seed(cls, directory, seed, daemons):
        """Build the fleet behind its proxies and start the daemons."""
        soak = cls(PlatformFleet(directory), seed, daemons, random.Random(seed))
        soak.fleet.store_address = soak._proxy(soak.fleet.store_address)
        soak.fleet.write("op/config", config(soak.version))
        for stage in ("prefill", "prefill", "decode", "decode", "decode"):
            soak.add("llm", stage)
        for _ in range(3):
            soak.add("app", "")
        for number in range(daemons):
            soak.fleet.start(f"entry-{number}")
        names = [f"{e.id}@{e.started_at_ms}" for e in soak.fleet.engines.values()]
        for number in range(daemons):
            soak.fleet.wait_ready(f"entry-{number}", names)
        return soak

    def _proxy(self, target):
        listen = f"127.0.0.1:{free_ports(1)[0]}"
        proxy = FaultProxy(listen, target)
        self.fleet.call_on_loop(proxy.open)
        self.proxies.append(proxy)
        return listen

    def add(self, service, stage):
        """Start an instance behind a proxy and register the proxy's address."""
        self.instances += 1
        started_at_ms = int(time.time() * 1000)
        engine = self.fleet.add_instance(
            f"i{self.instances}", service, stage, started_at_ms=started_at_ms
        )
        engine.address = self._proxy(engine.address)
        engine.crash_marker = CRASHING
        # Nobody listens where a process has crashed, also not its proxy.
        proxy = self.proxies[-1]
        engine.on_crash = lambda engine: proxy.set_mode("partition")
        engine.on_restart = lambda engine: self._back(engine, proxy)
        self.fleet.write(f"servers/{engine.id}", engine.store_document())
        return engine

    def _back(self, engine, proxy):
        proxy.set_mode("pass")
        key = f"servers/{engine.id}"
        if key in self.fleet.store.items and engine not in self.ends:
            self.fleet.store.write(key, engine.store_document())

    # Faults: each returns what it did, for the log of the run.

    def break_connections(self):
        proxy = self.random.choice(self.proxies)
        mode = self.random.choice(("kill", "silent", "delay", "partition"))
        self.fleet.call_on_loop(proxy.set_mode, mode, 0.05)
        self._later(self.fleet.call_on_loop, proxy.set_mode, "pass")
        return f"{mode} before {proxy.target}"

    def break_store(self):
        name, value = self.random.choice(
            (("refusing", True), ("silent", True), ("lose_write_answers", 2))
        )
        setattr(self.fleet.store, name, value)
        self._later(setattr, self.fleet.store, name, type(value)(0))
        return f"store {name}"

    def forget(self):
        self.fleet.call_on_loop(self.fleet.store.compact_history)
        return "store forgets"

    def break_instance(self):
        engine = self.random.choice(list(self.fleet.engines.values()))
        fault = self.random.choice([f for f in Fault if f is not Fault.HANG])
        engine.faults.append(fault)
        return f"{engine.id} {fault.value}"

    def replace_instance(self):
        live = [e for e in self.fleet.engines.values() if e not in self.ends]
        old = self.random.choice(live)
        self.ends.append(old)
        self.add(old.service, old.stage)
        self.fleet.write(f"servers/{old.id}", old.store_document("draining"))
        self._later(self.fleet.remove, f"servers/{old.id}")
        return f"{old.id} drains"

    def pause_daemon(self):
        name, process = self._daemon()
        process.send_signal(signal.SIGSTOP)
        self._later(process.send_signal, signal.SIGCONT)
        return f"{name} paused"

    def end_daemon(self):
        name, process = self._daemon()
        how = self.random.choice((signal.SIGKILL, signal.SIGTERM))
        process.send_signal(signal.SIGCONT)
        process.send_signal(how)
        process.wait()
        self.fleet.start(name)
        return f"{name} {how.name} and restart"

    def reload_daemon(self):
        name, process = self._daemon()
        process.send_signal(signal.SIGHUP)
        return f"{name} SIGHUP"

    def configure(self):
        self.version += self.random.choice((1, 3))
        self.fleet.write("op/config", config(self.version))
        return f"configuration {self.version}"

    def _daemon(self):
        name = f"entry-{self.random.randrange(self.daemons)}"
        return name, self.fleet.daemons[name]

    def _later(self, function, *args):
        timer = threading.Timer(self.random.uniform(*FAULT_LENGTH), function, args)
        timer.daemon = True
        timer.start()
        self.faults.append(timer)

    def run(self, seconds):
        """Play the soak; return the broken promises as sentences."""
        clients = [
            threading.Thread(target=self._client, args=(number,), daemon=True)
            for number in range(CLIENTS)
        ]
        clients.append(threading.Thread(target=self._crasher, daemon=True))
        for client in clients:
            client.start()
        self._strike(seconds)
        self._heal()
        recovered = self._recovers()
        self.over.set()
        for client in clients:
            client.join(2 * CLIENT_SECONDS)
        broken = [] if recovered else ["RECOVERY: nothing is served after the faults"]
        return broken + self._broken_quarantine() + self.broken_promises()

    def _strike(self, seconds):
        kinds = (
            [self.break_connections] * 4
            + [self.break_instance] * 4
            + [self.break_store, self.forget, self.replace_instance, self.configure]
            + [self.pause_daemon, self.end_daemon, self.reload_daemon]
        )
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            time.sleep(self.random.uniform(*FAULT_PAUSE))
            what = self.random.choice(kinds)()
            print(f"{time.strftime('%H:%M:%S')} {what}", file=sys.stderr)

    def _heal(self):
        for timer in self.faults:
            timer.join(2 * FAULT_LENGTH[1])
        for engine in self.fleet.engines.values():
            engine.faults.clear()

    def _recovers(self):
        served = len(self.outcomes)
        try:
            wait_until(lambda: self._served_since(served) >= CLIENTS, RECOVERY_SECONDS)
        except AssertionError:
            return False
        return True

    def _served_since(self, count):
        return sum(o.status == 200 and o.whole for o in self.outcomes[count:])

    def _crasher(self):
        """Send the crashing request again and again, to any daemon."""
        draw, count = random.Random(f"{self.seed}/crasher"), 0
        while not self.over.wait(draw.uniform(*CRASH_PAUSE)):
            count += 1
            self._crash(f"entry-{draw.randrange(self.daemons)}", f"crash-{count}")

    def _crash(self, name, request_id):
        outcome = Outcome(request_id, RESUMABLE_PATH, CRASHING)
        try:
            self._exchange(self.fleet.connect(name), outcome, "100,10")
        except Exception as error:  # http.client raises its own, unlisted
            outcome.body = repr(error).encode()
        self.outcomes.append(outcome)

    def _broken_quarantine(self):
        """With all faults over, no daemon sends the crashing request on."""
        if sum(e.crashes for e in self.fleet.engines.values()) < CRASH_LIMIT:
            return []
        time.sleep(CONTACT_SECONDS)
        before = self._crash_arrivals()
        for name in self.fleet.daemons:
            self._crash(name, f"crash-after-{name}")
            time.sleep(1.0)
        sends = self._crash_arrivals() - before
        if sends <= SENDS_AFTER_CRASHES:
            return []
        return [f"BUDGET: a request that crashes instances reached {sends} more"]

    def _crash_arrivals(self):
        return sum(
            request_id.startswith("crash")
            for engine in self.fleet.engines.values()
            for request_id in engine.arrived_ids
        )

    def _client(self, number):
        """Send one request after the other, on a connection while it lasts."""
        draw = random.Random(f"{self.seed}/{number}")
        connection, count = None, 0
        while not self.over.is_set():
            count += 1
            request_id = f"c{number}-{count}"
            body = f"prompt {request_id}".encode()
            outcome = Outcome(request_id, draw.choice(list(REPEATABLE)), body)
            try:
                if connection is None:
                    name = f"entry-{draw.randrange(self.daemons)}"
                    connection = self.fleet.connect(name)
                    connection.timeout = CLIENT_SECONDS
                tokens = draw.choice(("100,10", "2000,10", "9000,10"))
                closing = self._exchange(connection, outcome, tokens)
            except Exception as error:  # http.client raises its own, unlisted
                # No answer, or none that is one: what the daemon was doing is
                # judged from the instances' side.
                closing, outcome.body = True, repr(error).encode()
            self.outcomes.append(outcome)
            if closing and connection is not None:
                connection.close()
                connection = None

    def _exchange(self, connection, outcome, tokens):
        """Make one exchange; return True when the connection is over."""
        fields = {"body": outcome.sent, "X_Mulberrydock_Token_Counts": tokens}
        send(connection, outcome.prefix, outcome.id, **fields)
        response = connection.getresponse()
        outcome.status = response.status
        outcome.signature = response.headers.get(wire.SIGNATURE, "")
        outcome.body = response.read()
        outcome.whole = True
        return response.headers.get("Connection", "").lower() == "close"

    def broken_promises(self):
        """Return each promise that clients or instances saw broken."""
        runs = {}
        for engine in self.fleet.engines.values():
            for run in engine.runs:
                runs.setdefault(run.id, []).append((engine, run))
        broken = []
        for outcome in self.outcomes:
            broken += _broken_answer(outcome)
            broken += _broken_runs(outcome, runs.pop(outcome.id, []))
        broken += [f"UNASKED: {request} ran, which nobody sent" for request in runs]
        broken += self._broken_orders()
        broken += self._broken_versions()
        return broken

    def _broken_orders(self):
        for engine in self.fleet.engines.values():
            tokens = [order["fencing_token"] for order in engine.orders]
            if tokens != sorted(tokens):
                yield f"ONE: {engine.id} took orders with the tokens {tokens}"

    def _broken_versions(self):
        for name in self.fleet.daemons:
            newest = 0
            for line in self.fleet.log(name).splitlines():
                row = json.loads(line) if line.startswith("{") else {}
                if row.get("event") == "started":
                    newest = 0
                if row.get("event") == "configuration in force":
                    if row["version"] < newest:
                        yield f"CONFIG: {name} went back to {row['version']}"
                    newest = row["version"]


def _broken_answer(outcome):
    """Return what is wrong with one answer as the client saw it."""
    if outcome.status != 200 or not outcome.whole:
        return []
    if not outcome.signature:
        return [f"MIXED: {outcome.id} got a success that no instance signed"]
    if outcome.prefix in (RESUMABLE_PATH, STREAM_PATH):
        own = outcome.body.count(f"data: {outcome.id}\n".encode())
        if event_ids(outcome.body) != WHOLE_STREAM or own != len(WHOLE_STREAM):
            return [f"ORDER: {outcome.id} got {outcome.body!r} as a whole stream"]
    elif not outcome.body.endswith(f" answers {outcome.id}".encode()):
        return [f"MIXED: {outcome.id} got {outcome.body!r}"]
    return []


def _broken_runs(outcome, runs):
    """Return what is wrong with the runs of one request."""
    broken = []
    if runs and outcome.status in PROMISES:
        broken.append(f"REFUSED: {outcome.id} got {outcome.status} and has run")
    if len(runs) > 1 and not REPEATABLE[outcome.prefix]:
        where = [engine.id for engine, _ in runs]
        broken.append(f"TWICE: {outcome.id} ran at {where}")
    for _, run in runs:
        if run.body != outcome.sent or not run.target.startswith(outcome.prefix):
            broken.append(f"UNASKED: {outcome.id} ran changed, {run.target}")
    return broken


def play(directory, seed, seconds, daemons):
    """Play one seed; return (broken promises, outcomes)."""
    soak = Soak.from_seed(directory, seed, daemons)
    try:
        return soak.run(seconds), soak.outcomes
    finally:
        for process in soak.fleet.daemons.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
        soak.fleet.stop()


def main(*, seed: int = 0, seconds: float = 30.0, daemons: int = 3):
    """Play one seed and print the broken promises.

    :param seed: draws the faults; 0 takes a fresh one.
    :param seconds: how long faults strike.
    :param daemons: entry VMs, one process each.
    """
    seed = seed or random.randrange(1, 10**9)
    directory = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    broken, outcomes = play(directory, seed, seconds, daemons)
    ends = collections.Counter((o.status, o.whole) for o in outcomes)
    print(f"seed {seed}: {len(outcomes)} requests, by status and wholeness {ends}")
    print("\n".join(broken) or "no promise broken", f"logs in {directory}", sep="\n")
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    defopt.run(main)
