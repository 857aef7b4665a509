"""Seeded plays: streams of real daemons under pauses, moves, cuts and restarts.

Each client records every event of all its tries with the run and the instance that made
it, and whether a response ended as complete. ``python tests/stream_plays.py --seed 7``
prints what is wrong and keeps the logs of that play.
"""

import collections
import itertools
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import tempfile
import threading
import time

import attrs
import defopt
from link_fleet import LinkFleet, wait_for_vm
from platform_fleet import (
    HOST,
    NON_IDEMPOTENT_PATH,
    RESUMABLE_PATH,
    STREAM_PATH,
    config,
)

from mulberrydock.platform import wire
from mulberrydock.standin.pair_link import CUTS
from mulberrydock.standin.platform_engine import Fault, PlatformEngine
from mulberrydock.standin.platform_moves import MoveFault, MoveLedger

EVENTS = 16
EVENT_INTERVAL_SECONDS = 0.05
STREAM_EVENT_IDS = list(range(1, EVENTS + 1))
#: Ranges of random times, in seconds.
PAUSE_SECONDS = (0.3, 3.0)
FAULT_INTERVAL_SECONDS = (0.1, 0.6)
CUT_SECONDS = (0.3, 2.5)
#: Seconds without a byte after which a client gives a response up.
PATIENCE_SECONDS = (0.4, 2.0)
MAX_TRIES = 5
#: Statuses which guarantee that the request has not run and never will.
NOT_RUN_STATUSES = (408, 421, 429, 503)
#: Share of the streams that their clients leave in the middle, and of those that are
#: then taken up at two VMs at once.
LEFT_SHARE = 0.25
DOUBLE_SHARE = 0.3
ENGINE_FAULTS = [f for f in Fault if f is not Fault.HANG]
MOVE_FAULTS = [f for f in MoveFault if f not in (MoveFault.CRASH, MoveFault.GONE)]


class DrawnFaults(list):
    """The next faults of an engine; without one, its streams may be unframed."""

    def __init__(self, rng, unframed):
        super().__init__()
        self.rng, self.unframed = rng, unframed

    def __bool__(self):
        return True

    def pop(self, index):
        if len(self):
            return super().pop(index)
        return Fault.UNFRAMED if self.rng.random() < self.unframed else Fault.NONE


def marked_event(engine, run, number):
    """Return one event of a run, which names the engine and the run."""
    mark = next(index for index, row in enumerate(engine.runs) if row is run)
    maker = f"{engine.id}@{engine.started_at_ms}/{mark}"
    head = f"id: {number}\nversion: {engine.version}\nmaker: {maker}\n"
    return f"{head}data: {run.id}\n\n".encode()


@attrs.define
class Try:
    """One response as its client read it."""

    id: str
    vm: str
    after: int
    sent_at: float
    status: int = 0
    headers: dict = attrs.field(factory=dict)
    body: bytes = b""
    complete: bool = False
    error: str = ""
    ended_at: float = 0.0

    def events(self):
        """Return the whole events as (id, version, maker, request)."""
        whole = self.body[: self.body.rfind(b"\n\n") + 2].decode()
        rows = []
        for text in whole.split("\n\n")[:-1]:
            fields = dict(line.split(": ", 1) for line in text.split("\n"))
            row = (int(fields["id"]), fields["version"], fields["maker"])
            rows.append((*row, fields["data"]))
        return rows


class RawResponse:
    """Reads one response; its end counts as complete only by its framing."""

    def __init__(self, sock, response):
        self.sock, self.response, self.data = sock, response, b""

    def fill(self):
        chunk = self.sock.recv(65536)
        if not chunk:
            raise EOFError
        self.data += chunk

    def until(self, mark):
        while mark not in self.data:
            self.fill()
        part, _, self.data = self.data.partition(mark)
        return part

    def exactly(self, count):
        while len(self.data) < count:
            self.fill()
        part, self.data = self.data[:count], self.data[count:]
        return part

    def read(self, stop):
        lines = self.until(b"\r\n\r\n").decode("latin1").split("\r\n")
        rows = (line.split(":", 1) for line in lines[1:])
        headers = {name.lower(): value.strip() for name, value in rows}
        self.response.status = int(lines[0].split()[1])
        self.response.headers = headers
        if "content-length" in headers:
            self.response.body = self.exactly(int(headers["content-length"]))
        else:
            while size := int(self.until(b"\r\n"), 16):
                self.response.body += self.exactly(size)
                self.exactly(2)
                if stop(self.response):
                    return
            self.exactly(2)
        self.response.complete = True


def exchange(port, prefix, attempt, patience, stop, fields):
    """Send one request on a connection of its own and read the response."""
    head = {
        "Host": HOST,
        wire.ATTEMPT_ID: attempt.id,
        wire.DEADLINE: "6000",
        wire.TOKEN_COUNTS: "100,10",
        wire.PROMPT_PREFIX: f"aa:50,{attempt.id}:50",
        "Content-Length": "6",
    } | fields
    lines = [f"POST {prefix}x?q=1 HTTP/1.1"] + [f"{k}: {v}" for k, v in head.items()]
    try:
        with socket.create_connection(("127.0.0.1", port), 1.0) as sock:
            sock.settimeout(patience)
            sock.sendall(("\r\n".join(lines) + "\r\n\r\n").encode() + b"prompt")
            RawResponse(sock, attempt).read(stop)
    except (EOFError, OSError) as error:
        attempt.error = repr(error)
    attempt.ended_at = time.monotonic()


@attrs.define
class Play:
    """One play: the fleet, the faults and what the clients saw.

    ``unframed`` is the share of the streams that have no length and end with their
    connection; ``chains`` lists (path, tries) of each stream; one that was taken up
    twice is two.
    """

    fleet: LinkFleet
    seed: int
    names: list
    versions: tuple
    faults: list
    random: random.Random
    ledger: MoveLedger
    unframed: float = 0.0
    chains: list = attrs.field(factory=list)
    timers: list = attrs.field(factory=list)
    notes: list = attrs.field(factory=list)
    gone: set = attrs.field(factory=set)
    stopping: set = attrs.field(factory=set)
    paused: dict = attrs.field(factory=dict)
    count: int = 0
    config_version: int = 3
    finished: threading.Event = attrs.field(factory=threading.Event)

    def add_engine(self, stage, address="", version=None):
        self.count += 1
        engine = self.fleet.add_instance(
            f"e{self.count}",
            "llm",
            stage,
            address,
            events=EVENTS,
            event_interval_seconds=EVENT_INTERVAL_SECONDS,
            version=version or self.versions[self.count % len(self.versions)],
            started_at_ms=int(time.time() * 1000) if "born" in self.faults else None,
            moves=self.ledger,
            faults=DrawnFaults(random.Random(self.random.random()), self.unframed),
        )
        engine.on_restart = self._write_restart
        self.ledger.engines[engine.address] = engine
        return engine

    def _write_restart(self, engine):
        if engine.id not in self.gone:
            self.fleet.store.write(f"servers/{engine.id}", engine.store_document())

    def live(self, stage="decode"):
        return [
            e
            for e in list(self.fleet.engines.values())
            if e.id not in self.gone and e.stage == stage and e.service == "llm"
        ]

    def later(self, function, *args, within=CUT_SECONDS):
        seconds = self.random.uniform(*within)
        timer = threading.Timer(seconds, function, args)
        timer.daemon = True
        timer.start()
        self.timers.append(timer)
        return seconds

    # Faults: each method injects one and returns its description.

    def pause(self, name=None):
        name = name or self.random.choice(self.names)
        process = self.fleet.daemons[name]
        process.send_signal(signal.SIGSTOP)
        seconds = self.later(process.send_signal, signal.SIGCONT, within=PAUSE_SECONDS)
        now = time.monotonic()
        self.paused.setdefault(name, []).append((now, now + seconds))
        return f"{name} paused {seconds:.2f}"

    def pause_two(self):
        pair = self.random.sample(self.names, 2)
        return "; ".join(self.pause(name) for name in pair)

    def kill(self):
        running = [name for name in self.names if name not in self.stopping]
        if not running:
            return "no daemon to kill"
        name = self.random.choice(running)
        process = self.fleet.daemons[name]
        process.send_signal(signal.SIGKILL)
        process.wait()
        self.fleet.start(name)
        return f"{name} killed"

    def stutter(self):
        """Let a daemon run in short turns, as on a busy host."""
        name = self.random.choice(self.names)
        process, seconds = self.fleet.daemons[name], self.random.uniform(*CUT_SECONDS)
        stopped = self.random.uniform(0.02, 0.2)
        self._run_thread(self._stutter, process, stopped, seconds)
        return f"{name} stutters by {stopped:.2f} for {seconds:.2f}"

    def _stutter(self, process, stopped, seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end and process.poll() is None:
            process.send_signal(signal.SIGSTOP)
            time.sleep(stopped)
            process.send_signal(signal.SIGCONT)
            time.sleep(0.03)

    def term(self):
        """Stop a daemon as planned, and start it again."""
        running = [name for name in self.names if name not in self.stopping]
        if not running:
            return "no daemon to stop"
        name = self.random.choice(running)
        process = self.fleet.daemons[name]
        self.stopping.add(name)
        process.send_signal(signal.SIGCONT)
        process.send_signal(signal.SIGTERM)
        self._run_thread(self._start_again, name, process)
        return f"{name} stopped as planned"

    def _start_again(self, name, process):
        try:
            process.wait(8)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
        self.fleet.start(name)
        self.stopping.discard(name)

    def _run_thread(self, function, *args):
        thread = threading.Thread(target=function, args=args, daemon=True)
        thread.start()
        self.timers.append(thread)

    def cut(self):
        names = self.random.sample(self.names, self.random.randint(1, 2))
        cut = self.random.choice(list(CUTS))
        targets = None
        if self.random.random() < 0.5:
            targets = {self.random.choice(self.live()).id}
        self.fleet.cut(names, CUTS[cut], targets)
        seconds = self.later(self.fleet.restore, names, targets)
        return f"links of {names} to {targets or 'all'}: {cut}, {seconds:.2f}"

    def engine_fault(self):
        engine = self.random.choice(self.live())
        fault = self.random.choice(ENGINE_FAULTS)
        engine.faults.append(fault)
        return f"{engine.id} {fault.value}"

    def crash(self):
        engine = self.random.choice(self.live())
        if engine.server_running:
            self.fleet.call_on_loop(engine.crash)
        return f"{engine.id} crashes"

    def crash_and_pause(self):
        return f"{self.pause()}; {self.crash()}"

    def replace(self):
        """Let a new engine take the address of one that ends without a notice."""
        running = [engine for engine in self.live() if engine.server_running]
        if not running:
            return "no engine to replace"
        old = self.random.choice(running)
        self.gone.add(old.id)
        self.fleet.remove(f"servers/{old.id}")
        self.fleet.call_on_loop(old.terminate)
        new = self.add_engine("decode", old.address, old.version)
        return f"{old.id} replaced by {new.id} at its address"

    def replace_and_pause(self):
        return f"{self.pause()}; {self.replace()}"

    def leave(self):
        """Let an engine announce its leave, so that its streams move."""
        old = self.random.choice(self.live())
        self.gone.add(old.id)
        new = self.add_engine("decode", version=old.version)
        if self.random.random() < 0.5:
            self.ledger.faults.append(self.random.choice(MOVE_FAULTS))
        self.ledger.transfer_seconds = self.random.uniform(0.0, 0.3)
        seconds = self.random.uniform(0.2, 0.8)
        self.fleet.call_on_loop(old.leave, seconds)
        self.fleet.write(f"servers/{old.id}", old.store_document("draining"))
        self.later(self.fleet.remove, f"servers/{old.id}")
        return f"{old.id} leaves within {seconds:.2f}, {new.id} joins"

    def leave_and_disturb(self):
        text = self.leave()
        time.sleep(self.random.uniform(0.0, 0.4))
        other = self.random.choice((self.pause, self.cut, self.crash, self.kill))
        return f"{text}; {other()}"

    def configure(self):
        self.config_version += self.random.choice((1, 3))
        self.fleet.write("op/config", play_config(self.config_version))
        return f"configuration {self.config_version}"

    def store_back(self):
        """Restore the store from a copy that is some seconds old."""
        snapshot = self.fleet.call_on_loop(self.fleet.store.snapshot)
        self.later(
            self.fleet.call_on_loop, self.fleet.store.restore, snapshot, within=(0.5, 2)
        )
        return "store will be restored"

    def store_silent(self):
        self.fleet.store.silent = True
        self.later(setattr, self.fleet.store, "silent", False)
        return "store silent"

    def run(self, seconds):
        """Run the clients and the faults for some seconds."""
        threads = [
            threading.Thread(target=self._run_client, args=(number,), daemon=True)
            for number in range(6)
        ]
        for thread in threads:
            thread.start()
        end, started = time.monotonic() + seconds, time.monotonic()
        kinds = [getattr(self, name) for name in self.faults if name != "born"]
        while time.monotonic() < end:
            time.sleep(self.random.uniform(*FAULT_INTERVAL_SECONDS))
            if kinds:
                text = self.random.choice(kinds)()
                self.notes.append(f"{time.monotonic() - started:.2f} {text}")
        for timer in self.timers:
            timer.join()
        for process in self.fleet.daemons.values():
            process.send_signal(signal.SIGCONT)
        self.finished.set()
        for thread in threads:
            thread.join(30)

    def _run_client(self, number):
        rng = random.Random(f"{self.seed}/{number}")
        for count in itertools.count():
            if self.finished.is_set():
                return
            name = f"c{number}-{count}"
            path = rng.choice((RESUMABLE_PATH, RESUMABLE_PATH, STREAM_PATH))
            if count % 6 == 5:
                path = NON_IDEMPOTENT_PATH
            self._play_stream(rng, name, path)

    def _play_stream(self, rng, name, path):
        stop = rng.randint(1, EVENTS - 1) if rng.random() < LEFT_SHARE else 0
        tries = [self._try(rng, name, path, [], stop)]
        if path != RESUMABLE_PATH:
            self.chains.append((path, tries))
            return
        if stop and rng.random() < DOUBLE_SHARE:
            other = threading.Thread(
                target=self._finish,
                args=(random.Random(rng.random()), f"{name}b", path, list(tries)),
            )
            other.start()
            self._finish(rng, f"{name}a", path, tries)
            other.join()
            return
        self._finish(rng, name, path, tries)

    def _finish(self, rng, name, path, tries):
        """Take a stream up until it is complete or its client gives up."""
        while len(tries) < MAX_TRIES and not self.finished.is_set():
            last = tries[-1]
            if last.complete and last.status == 200:
                break
            if last.status in NOT_RUN_STATUSES:
                time.sleep(min(0.4, float(last.headers.get("retry-after", 0.1))))
            tries.append(self._try(rng, name, path, tries, 0))
        self.chains.append((path, tries))

    def _try(self, rng, name, path, tries, stop):
        events = [event for attempt in tries for event in attempt.events()]
        after = events[-1][0] if events else 0
        fields = {}
        if after:
            begun = next(attempt for attempt in tries if attempt.events())
            fields = {"Last-Event-Id": str(after), "Resumes": begun.id}
        vm = rng.choice(self.names)
        attempt = Try(f"{name}/{len(tries)}", vm, after, time.monotonic())

        def stops(response):
            rows = response.events() if stop else ()
            return bool(rows) and rows[-1][0] >= stop

        port = self.fleet.settings[vm]["front"]
        exchange(port, path, attempt, rng.uniform(*PATIENCE_SECONDS), stops, fields)
        return attempt

    def violations(self):
        """Yield what is wrong in the streams and runs."""
        runs = collections.defaultdict(list)
        for engine in self.fleet.engines.values():
            for run in engine.runs:
                runs[run.id].append((engine, run))
        for path, tries in self.chains:
            for attempt in tries:
                yield from _try_violations(path, attempt, runs[attempt.id])
            if path != NON_IDEMPOTENT_PATH:
                yield from _chain_violations(tries)


def _try_violations(path, attempt, runs):
    if attempt.status in NOT_RUN_STATUSES and path != RESUMABLE_PATH and runs:
        yield f"REFUSED {attempt.id}: {attempt.status} and ran"
    # One that goes on from a run's memory is the same run.
    begun = [run for _, run in runs if wire.KV_SOURCE not in run.headers]
    if path != RESUMABLE_PATH and len(begun) > 1:
        yield f"TWICE {attempt.id}: {[engine.id for engine, _ in runs]}"
    if path == NON_IDEMPOTENT_PATH or attempt.status != 200:
        return
    ids = [event[0] for event in attempt.events()]
    if ids != list(range(attempt.after + 1, attempt.after + 1 + len(ids))):
        yield f"ORDER {attempt.id}: after {attempt.after} {ids}"
    if attempt.complete and (ids or [attempt.after])[-1] != EVENTS:
        yield f"ORDER {attempt.id}: ended as complete after {ids[-1:]}"
    if attempt.complete and not attempt.body.endswith(b"\n\n") and attempt.body:
        yield f"ORDER {attempt.id}: ended as complete inside an event"
    strange = {event[3] for event in attempt.events()} - {attempt.id}
    if strange:
        yield f"MIXED {attempt.id}: events of {strange}"
    makers = list(dict.fromkeys(event[2] for event in attempt.events()))
    if path == STREAM_PATH and len(makers) > 1:
        allowed = {e.id for e, run in runs if wire.KV_SOURCE in run.headers}
        if any(maker.partition("@")[0] not in allowed for maker in makers[1:]):
            yield f"ORDER {attempt.id}: joined from {makers}"


def _chain_violations(tries):
    events = [event for attempt in tries for event in attempt.events()]
    ids = [event[0] for event in events]
    if ids != list(range(1, len(ids) + 1)):
        yield f"ORDER {tries[-1].id}: over all tries {ids}"
    versions = {event[1] for event in events}
    if len(versions) > 1:
        yield f"ORDER {tries[-1].id}: versions {sorted(versions)}"


def play_config(version):
    """Return a configuration whose engines move streams."""
    document = config(version)
    document["services"][0]["engine"] |= {
        "slots": 16,
        "link_mbps": 1000,
        "kv_token_bytes": 100_000,
        "moves": True,
    }
    for row in document["routes"]:
        row["timeout_ms"] = 8000
    return document


FAULTS = (
    "pause pause_two stutter kill term cut engine_fault crash crash_and_pause replace "
    "replace_and_pause leave leave_and_disturb configure store_back store_silent"
)


def main(
    *,
    seed: int = 1,
    plays: int = 1,
    seconds: float = 12.0,
    vms: int = 4,
    versions: str = "v1",
    faults: str = FAULTS,
    unframed: float = 0.0,
    logs: str = "",
):
    """Play streams under faults and print what is wrong.

    :param seed: the first seed.
    :param plays: number of plays, with successive seeds.
    :param seconds: length of a play.
    :param vms: number of daemons.
    :param versions: the software versions of the engines, separated by spaces.
    :param faults: names of the faults, separated by spaces; ``born`` lets engines state
        their start.
    :param unframed: share of the streams that end with their connection.
    :param logs: where the logs are kept, by default in a temporary directory.
    """
    PlatformEngine._event = marked_event
    wrong = 0
    for number in range(seed, seed + plays):
        directory = pathlib.Path(tempfile.mkdtemp(prefix=f"play-{number}-"))
        if logs:
            directory = pathlib.Path(logs) / f"play-{number}-{os.getpid()}"
            directory.mkdir(parents=True)
        wrong += _play(directory, number, seconds, vms, versions, faults, unframed)
    raise SystemExit(1 if wrong else 0)


def _play(directory, seed, seconds, vms, versions, faults, unframed):
    names = [f"entry-{number}" for number in range(vms)]
    play = Play(
        LinkFleet(directory),
        seed,
        names,
        tuple(versions.split()),
        faults.split(),
        random.Random(seed),
        MoveLedger(),
        unframed,
    )
    fleet = play.fleet
    try:
        fleet.write("op/config", play_config(3))
        for version in play.versions:
            for stage in ("prefill", "decode", "decode", "decode"):
                play.add_engine(stage, version=version)
        for instance in ("a1", "a2"):
            fleet.add_instance(instance, "app")
        for name in names:
            fleet.start(name)
        for name in names:
            wait_for_vm(fleet, name, names)
        play.run(seconds)
        found = list(play.violations())
    finally:
        fleet.stop()
    tries = [attempt for _, chain in play.chains for attempt in chain]
    counts = collections.Counter(attempt.status for attempt in tries)
    whole = sum(attempt.complete and attempt.status == 200 for attempt in tries)
    taken_up = sum(bool(attempt.after) for attempt in tries)
    resumed = sum(bool(a.after) and a.status == 200 for a in tries)
    texts = [(directory / f"{name}.log").read_text() for name in names]
    events = collections.Counter(
        event
        for text in texts
        for event in ("stream moved", "takeover", "forward", "stream taken up")
        for _ in range(text.count(f'"event":"{event}"'))
    )
    traces = sum(text.count("Traceback") for text in texts)
    print(
        f"seed {seed}: {len(play.chains)} streams, {len(tries)} tries, {whole} whole, "
        f"{taken_up} taken up ({resumed} went on), {dict(counts)}, {dict(events)}, "
        f"{traces} tracebacks, {len(found)} wrong",
        flush=True,
    )
    rows = [attrs.asdict(attempt) for attempt in tries]
    (directory / "tries.json").write_text(json.dumps(rows, default=repr, indent=1))
    (directory / "faults.txt").write_text("\n".join(play.notes))
    for text in found:
        print(f"  {text}", flush=True)
    if found or traces:
        print(f"  logs: {directory}", flush=True)
    return len(found)


if __name__ == "__main__":
    defopt.run(main)
