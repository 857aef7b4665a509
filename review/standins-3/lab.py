"""A small deployment on loopback: store and client here, daemons and engines as processes.

The daemons are started with the command of ``deploy/system.toml``; their settings are
``deploy/settings.toml`` filled in with the bounds of the site sctp-renewals.
"""

import asyncio
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib

import http1
from store import Store

ROOT = pathlib.Path(__file__).resolve().parents[2]
HERE = pathlib.Path(__file__).resolve().parent
ZONES = ("ikeja-hall", "yaba-hall", "lekki-hall")
HOST = "ficu95.example"
DRAIN_SECONDS = 2.0
GRACE_SECONDS = 8.0
SETTINGS = """
name = "{name}"
data_centre = "{zone}"
region = "lagos"
ip = "127.0.0.1"
first_start = true
[listen]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
directory = "127.0.0.1:{directory}"
metrics_port = {metrics}
peer_ports = [{peer}, {peer}]
[regions]
ikeja-hall = "lagos"
yaba-hall = "lagos"
lekki-hall = "lagos"
[store]
address = "{store}"
least_lease_seconds = 1000e-3
[timing]
contact_seconds = 3000e-3
config_apply_seconds = 2000e-3
drain_seconds = 2000e-3
grace_seconds = 8
answer_ttl_seconds = 5
lease_seconds = 3000e-3
retry_budget_ratio = 0.2
retry_budget_window_seconds = 10
retry_budget_floor = 56
"""
#: The routes and services of the site, as ``fleetbench wire`` shows them.
LETTERS, QUERIES, RECEIPTS = "/lohu930/", "/pufi791/", "/puxa403/"
CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "letters",
            "host": HOST,
            "path_prefix": LETTERS,
            "kind": "streaming",
            "timeout_ms": 10000,
            "target_latency_ms": 600,
            "target_gap_ms": 300,
            "priority": 2,
            "service": "renewal-llm",
            "max_attempts": 2,
            "sticky_sessions": True,
            "resumable": True,
        },
        {
            "name": "queries",
            "host": HOST,
            "path_prefix": QUERIES,
            "kind": "streaming",
            "timeout_ms": 8000,
            "target_latency_ms": 300,
            "target_gap_ms": 300,
            "priority": 1,
            "service": "renewal-llm",
            "max_attempts": 1,
            "sticky_sessions": True,
            "resumable": False,
        },
        {
            "name": "receipts",
            "host": HOST,
            "path_prefix": RECEIPTS,
            "kind": "non_idempotent",
            "timeout_ms": 1000,
            "target_latency_ms": 200,
            "priority": 2,
            "service": "pass-registry",
            "max_attempts": 1,
        },
    ],
    "services": [
        {
            "name": "renewal-llm",
            "health_path": "/health",
            "max_connections": 370,
            "protocol": "h1",
            "tls": False,
            "engine": {
                "slots": 64,
                "kv_tokens": 540686,
                "kv_token_bytes": 35136,
                "link_mbps": 1100000.0,
                "moves": True,
                "backups": True,
                "stride": 10,
                "most": 12,
                "kv_hold_s": 5.0,
                "role_switch_s": 3.0,
                "pin_ms": 4000.0,
                "hold_ms": 2000.0,
                "models": [{"name": "m"}],
            },
        },
        {
            "name": "pass-registry",
            "health_path": "/health",
            "max_connections": 110,
            "protocol": "h1",
            "tls": False,
        },
    ],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 4194304,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
}


#: Ports below those that the system gives to outgoing connections.
PORTS = range(12_000, 32_000)
used_ports = set()


def is_free(port):
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                return False
    return True


def free_ports(count):
    ports = []
    while len(ports) < count:
        port = random.choice(PORTS)
        if port not in used_ports and is_free(port):
            used_ports.add(port)
            ports.append(port)
    return ports


#: Events of an engine's log with which a stream ends.
STREAM_ENDS = ("done", "channel closed")


class EngineProcess:
    """One engine: its process, its entry in the store, and what it logged."""

    def __init__(self, lab, name, service, stage, zone):
        self.lab, self.name, self.service = lab, name, service
        self.stage, self.zone = stage, zone
        self.address = "127.0.0.1:%d" % free_ports(1)[0]
        self.lines = []
        self.sequence = 1

    async def start(self, **settings):
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(HERE / "engine.py"),
            self.name,
            self.address,
            self.stage,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        self.lab.processes.append(self.process)
        self.reader = asyncio.ensure_future(self._read())
        self.set(**settings)
        await self.lab.until(lambda: self.lines, f"{self.name} starts")
        self.register()

    async def _read(self):
        while line := await self.process.stdout.readline():
            row = json.loads(line)
            self.lines.append(row)
            self.lab.note("engine", engine=self.name, **row)

    def set(self, **settings):
        self.process.stdin.write((json.dumps(settings) + "\n").encode())

    def register(self, state="ready"):
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 64 if self.stage else 6,
            "state": state,
            "cold_remaining_ms": 0,
            "sequence": self.sequence,
        }
        if self.stage:
            entry["stage"] = self.stage
        self.sequence += 1
        self.lab.store.put(f"servers/{self.name}", entry)

    def in_flight(self):
        """Return the ids of the streams that it runs."""
        ended = {row["id"] for row in self.lines if row["event"] in STREAM_ENDS}
        runs = {row["id"] for row in self.lines if row["event"] == "run"}
        return runs - ended

    def events(self, event, request_id):
        return [
            row
            for row in self.lines
            if row["event"] == event and row.get("id") == request_id
        ]


class Lab:
    def __init__(self, record):
        self.record = open(record, "w", encoding="utf-8")
        self.started = time.monotonic()
        self.store = Store()
        self.engines = {}
        self.daemons = {}
        self.processes = []
        self.folder = pathlib.Path(tempfile.mkdtemp())

    def note(self, what, **fields):
        fields.pop("t", None)
        at = time.monotonic() - self.started
        words = " ".join(f"{k}={v}" for k, v in fields.items())
        self.record.write(f"{at:8.3f} {what:8} {words}\n")
        self.record.flush()

    async def until(self, check, what, seconds=20.0):
        ends = time.monotonic() + seconds
        while not check():
            if time.monotonic() > ends:
                raise CannotRun(f"not within {seconds} s: {what}")
            await asyncio.sleep(0.01)

    async def start(self, daemons=3, prefill=2, decode=3, apps=0):
        await self.store.start()
        self.store.put("op/config", CONFIG)
        kinds = ["prefill"] * prefill + ["decode"] * decode
        for index, stage in enumerate(kinds):
            zone = ZONES[index % len(ZONES)]
            await self.add_engine(f"i-{index:08x}", "renewal-llm", stage, zone)
        for index in range(apps):
            zone = ZONES[index % len(ZONES)]
            await self.add_engine(f"p-{index:08x}", "pass-registry", "", zone)
        for index in range(daemons):
            zone = ZONES[index % len(ZONES)]
            await self.add_daemon(f"front-{zone}-{index // len(ZONES) + 1}", zone)
        for name in self.daemons:
            await self.wait_ready(name)

    async def add_engine(self, name, service, stage, zone, **settings):
        engine = EngineProcess(self, name, service, stage, zone)
        self.engines[name] = engine
        await engine.start(**settings)
        return engine

    def decoders(self):
        return [e for e in self.engines.values() if e.stage == "decode"]

    async def add_daemon(self, name, zone):
        keys = ("front", "ready", "directory", "metrics", "peer")
        ports = dict(zip(keys, free_ports(len(keys))))
        path = self.folder / f"{name}.toml"
        path.write_text(
            SETTINGS.format(name=name, zone=zone, store=self.store.address, **ports)
        )
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        words = deploy["roles"]["entry"]["run"].split(" ")
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env |= {
            "MULBERRYDOCK_SETTINGS": str(path),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        log = open(self.folder / f"{name}.log", "wb")
        process = await asyncio.create_subprocess_exec(
            *words, cwd=ROOT, env=env, stdout=log, stderr=log
        )
        log.close()
        self.processes.append(process)
        self.daemons[name] = {"process": process, "zone": zone, **ports}

    def log(self, name):
        return (self.folder / f"{name}.log").read_text(errors="replace")

    def log_rows(self, name, event):
        rows = []
        for line in self.log(name).splitlines():
            try:
                row = json.loads(line)
            except ValueError:
                continue
            if row.get("event") == event:
                rows.append(row)
        return rows

    async def wait_ready(self, name):
        ends = time.monotonic() + 30
        while time.monotonic() < ends:
            try:
                answer = await self.get(self.daemons[name]["ready"], "/ready")
                known = self.log(name)
                if answer.status == 200 and all(e in known for e in self.engines):
                    return
            except OSError:
                pass
            if self.daemons[name]["process"].returncode is not None:
                raise CannotRun(f"{name} ended: {self.log(name)[-500:]}")
            await asyncio.sleep(0.05)
        raise CannotRun(f"{name} isn't ready")

    async def get(self, port, target):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            request = http1.Request("GET", target, {"Host": f"127.0.0.1:{port}"})
            return await http1.fetch(reader, writer, request)
        finally:
            writer.close()

    async def resolve(self, name, zone):
        """Return the addresses and the seconds that a daemon's directory answers."""
        target = f"/resolve?name={HOST}&region=lagos&zone={zone}"
        answer = await self.get(self.daemons[name]["directory"], target)
        document = json.loads(answer.body)
        return document["addresses"], document["ttl_s"]

    async def connect(self, name):
        return await asyncio.open_connection("127.0.0.1", self.daemons[name]["front"])

    async def send(
        self, channel, path, tokens=828, output=29, hint=29, limit_ms=8000, **more
    ):
        """Send one request on an open channel; return its id and its response."""
        request_id = more.pop("request_id", "") or f"{random.getrandbits(64):016x}"
        headers = {
            "Host": HOST,
            "X-Mulberrydock-Attempt-Id": request_id,
            "X-Mulberrydock-Deadline-Ms": limit_ms,
        }
        if tokens:
            shared = f"5c1e07{random.randrange(20):02x}"
            headers |= {
                "X-Mulberrydock-Model": "m",
                "X-Mulberrydock-Token-Counts": f"{tokens},{output}",
                "X-Mulberrydock-Prompt-Prefix": f"{shared}:200,{request_id[:8]}:628",
                "X-Mulberrydock-Length-Hint": hint,
            }
        body = random.randbytes(830) if tokens else random.randbytes(600)
        request = http1.Request("POST", path + "2f", headers, body)
        self.note("client", sent=request_id, path=path)
        response = await http1.fetch(*channel, request)
        self.note(
            "client",
            answered=request_id,
            status=response.status,
            end=response.end,
            last_event=last_event(response.body),
        )
        return request_id, response

    async def stop(self):
        for process in self.processes:
            if process.returncode is None:
                try:
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                except ProcessLookupError:
                    pass
            await process.wait()
        await self.store.stop()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)
        self.record.close()


class CannotRun(Exception):
    """The case couldn't run; says nothing about the rule."""


def last_event(body):
    ids = [int(x[4:]) for x in body.split(b"\n") if x.startswith(b"id: ")]
    return ids[-1] if ids else 0


def run(test, record):
    """Run ``test(lab, trouble)``, which returns whether the rule held; exit with 0 to 2."""

    async def main():
        lab = Lab(record)
        trouble = os.environ.get("TROUBLE", "1") != "0"
        try:
            async with asyncio.timeout(float(os.environ.get("LAB_SECONDS", "114"))):
                held = await test(lab, trouble)
            lab.note("result", trouble=trouble, rule="held" if held else "BROKEN")
            return 0 if held else 1
        except (CannotRun, TimeoutError, OSError) as error:
            lab.note("result", trouble=trouble, could_not_run=repr(error))
            print(f"could not run: {error!r}", file=sys.stderr)
            return 2
        finally:
            await lab.stop()

    sys.exit(asyncio.run(main()))
