"""Stand-ins for the review's scripts: store, engines, clients, and a daemon's process.

Standard library only. Everything listens on loopback addresses and free ports. The
store and the engines speak what PROTOCOL.md says, as far as the scripts need it.
"""

import asyncio
import base64
import contextlib
import itertools
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
HOST = "desk.example"
PREFIX = "X-Mulberrydock-"

SETTINGS = """
name = "{name}"
data_centre = "ikeja-hall"
region = "lagos"
ip = "{ip}"
first_start = true

[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
directory = "{ip}:{directory}"
metrics_port = {metrics}
peer_ports = [{peer}, {peer}]

[regions]
"ikeja-hall" = "lagos"
"yaba-hall" = "lagos"
"lekki-hall" = "lagos"

[store]
address = "{store}"
least_lease_seconds = 1.0

[timing]
contact_seconds = 3.0
config_apply_seconds = 2.0
drain_seconds = 2.0
grace_seconds = 8.0
answer_ttl_seconds = 5.0
lease_seconds = 3.0
retry_budget_ratio = 0.2
retry_budget_window_seconds = 10.0
retry_budget_floor = 56.0
"""


def free_ports(count, ip="127.0.0.1"):
    """Return free TCP ports."""
    sockets = [socket.socket() for _ in range(count)]
    for sock in sockets:
        sock.bind((ip, 0))
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


class Record:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.started = time.monotonic()

    def now(self):
        return time.monotonic() - self.started

    def write(self, event, **fields):
        text = " ".join(f"{k}={v}" for k, v in fields.items())
        self.file.write(f"{self.now():8.3f} {event} {text}\n")
        self.file.flush()


async def read_request(reader):
    """Return (method, target, headers, body), None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", 0))
    body = await reader.readexactly(length) if length else b""
    return method, target, headers, body


def response(status, document=None, headers=(), body=b""):
    """Return the bytes of a response with a length."""
    if document is not None:
        body = json.dumps(document).encode()
        headers = [("Content-Type", "application/json"), *headers]
    lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Server:
    """An HTTP server; subclasses implement :meth:`handle`."""

    ip = "127.0.0.1"

    async def start(self, port=0):
        self.writers = set()
        self.server = await asyncio.start_server(self._serve, self.ip, port)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"{self.ip}:{port}"

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                if await self.handle(request, reader, writer) is False:
                    break
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def close(self):
        self.server.close()
        for writer in list(self.writers):
            writer.close()

    async def crash(self, seconds):
        """End all channels and listen again at the same address later."""
        port = int(self.address.rpartition(":")[2])
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        await asyncio.sleep(seconds)
        await self.start(port)


class Store(Server):
    """The platform's store."""

    def __init__(self):
        self.revision = 1
        self.items = {}
        self.history = []
        self.leases = {}
        self.numbers = itertools.count(1000)
        self.changed = asyncio.Event()

    def put(self, key, value, lease=0):
        """Write bytes; return the revision, which is the store's acknowledgement."""
        self.revision += 1
        known = self.items.get(key)
        self.items[key] = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created": known["created"] if known else self.revision,
            "lease": lease,
        }
        self._note(dict(self.items[key]))
        return self.revision

    def write(self, key, document):
        """Write a document, as the operator or an engine does."""
        return self.put(key, json.dumps(document).encode())

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._note({"key": key, "revision": self.revision, "tombstone": True})

    def _note(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def expire(self):
        """Remove leases that have ended, and their keys."""
        while True:
            now = time.monotonic()
            for lease in [i for i, (_, end) in self.leases.items() if end < now]:
                self._end_lease(lease)
            await asyncio.sleep(0.05)

    def _end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, row in self.items.items() if row["lease"] == lease]:
            self.remove(key)

    async def handle(self, request, reader, writer):
        method, target, _, body = request
        path, _, text = target.partition("?")
        query = dict(urllib.parse.parse_qsl(text, keep_blank_values=True))
        status, document = await self._call(method, path, query, body)
        writer.write(response(status, document))
        await writer.drain()

    async def _call(self, method, path, query, body):
        if path == "/kv-key":
            row = self.items.get(query["key"])
            revision = {"store_revision": self.revision}
            return (200, row | revision) if row else (404, revision)
        if path == "/kv-range":
            prefix = query.get("path_prefix", "")
            rows = [r for k, r in sorted(self.items.items()) if k.startswith(prefix)]
            return 200, {
                "items": rows,
                "truncated": False,
                "store_revision": self.revision,
            }
        if path == "/kv-watch":
            return await self._watch(query)
        if path == "/kv-txn":
            return self._change(json.loads(body))
        if path == "/kv-lease":
            ttl_ms = json.loads(body)["ttl_ms"]
            lease = next(self.numbers)
            self.leases[lease] = (ttl_ms / 1000, time.monotonic() + ttl_ms / 1000)
            return 200, {"lease": lease, "ttl_ms": ttl_ms}
        name, _, number = path.strip("/").partition("/")
        lease = int(number)
        if name == "kv-lease-end":
            self._end_lease(lease)
            return 200, {}
        if lease not in self.leases:
            return 404, {}
        ttl, _ = self.leases[lease]
        self.leases[lease] = (ttl, time.monotonic() + ttl)
        return 200, {}

    async def _watch(self, query):
        prefix, after = query.get("path_prefix", ""), int(query["after"])
        end = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            events = [
                e
                for e in self.history
                if e["revision"] > after and e["key"].startswith(prefix)
            ]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "store_revision": self.revision}
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self.changed.wait(), left)

    def _change(self, body):
        for row in body.get("expected", ()):
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": [item or {"key": row["key"]}]}
        for row in body.get("puts", ()):
            if row.get("lease") and row["lease"] not in self.leases:
                return 404, {}
        for row in body.get("puts", ()):
            value = base64.b64decode(row["value"])
            self.put(row["key"], value, row.get("lease", 0))
        for key in body.get("remove", ()):
            self.remove(key)
        return 200, {"revision": self.revision}


def signature(request_id):
    """Return the signature of an engine's response."""
    return f"{request_id}.07.5a2"


class Daemon:
    """One entry VM: the project's program, started as the deploy file says."""

    def __init__(self, name, store_address, folder):
        self.name = name
        ports = free_ports(5)
        keys = ("front", "ready", "directory", "metrics", "peer")
        self.ports = dict(zip(keys, ports))
        self.path = pathlib.Path(folder) / f"{name}.toml"
        self.path.write_text(
            SETTINGS.format(name=name, ip="127.0.0.1", store=store_address, **self.ports)
        )
        self.log_path = pathlib.Path(folder) / f"{name}.log"
        self.process = None

    def start(self):
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        env["MULBERRYDOCK_SETTINGS"] = str(self.path)
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                ["python3", "deploy/daemon.py", "serve"],
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=log,
            )

    async def wait_ready(self, texts=(), seconds=20):
        """Wait until the daemon says that it is ready and its log has ``texts``."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if self.process.poll() is not None:
                raise RuntimeError(f"{self.name} ended: {self.log()[-2000:]}")
            log = self.log()
            if await self._ready() and all(text in log for text in texts):
                return
            await asyncio.sleep(0.1)
        raise RuntimeError(f"{self.name} isn't ready: {self.log()[-2000:]}")

    async def _ready(self):
        try:
            return (await get(self.ports["ready"], "/ready"))[0] == 200
        except OSError:
            return False

    def log(self):
        return self.log_path.read_text(errors="replace")

    def log_rows(self, event):
        """Return the log's JSON lines of one event."""
        rows = []
        for line in self.log().splitlines():
            with contextlib.suppress(ValueError):
                row = json.loads(line)
                if row.get("event") == event:
                    rows.append(row)
        return rows

    def stop(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


async def get(port, path):
    """Send one GET; return (status, body)."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write(f"GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode())
        raw = await reader.read()
    finally:
        writer.close()
    head, _, body = raw.partition(b"\r\n\r\n")
    return int(head.split()[1]), body


class Answer:
    """What a client received: ``ended`` is whole, cut or timeout."""

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b""
        self.ended = "cut"


async def send(port, method, target, headers, body=b"", limit=10.0, connection=None):
    """Send one request on a new channel, or on ``connection``; return the answer."""
    answer = Answer()
    opened = connection or await asyncio.open_connection("127.0.0.1", port)
    reader, writer = opened
    lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}"]
    writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
    try:
        await asyncio.wait_for(_read_answer(reader, answer), limit)
    except asyncio.TimeoutError:
        answer.ended = "timeout"
    except (asyncio.IncompleteReadError, ConnectionError):
        answer.ended = "cut"
    if connection is None or answer.ended != "whole":
        writer.close()
    return answer


async def _read_answer(reader, answer):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1").split("\r\n")
    answer.status = int(head[0].split()[1])
    for line in head[1:]:
        name, colon, value = line.partition(":")
        if colon:
            answer.headers[name.strip().lower()] = value.strip()
    if "content-length" in answer.headers:
        left = int(answer.headers["content-length"])
        while left:
            chunk = await reader.read(left)
            if not chunk:
                return
            answer.body += chunk
            left -= len(chunk)
    else:
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if not size:
                break
            answer.body += chunk[:-2]
    answer.ended = "whole"


def request_headers(request_id, limit_ms, **extra):
    """Return the headers that a requester sends."""
    return {
        f"{PREFIX}Attempt-Id": request_id,
        f"{PREFIX}Deadline-Ms": str(limit_ms),
        **extra,
    }


def route(prefix, kind, service, **options):
    row = {
        "name": f"r-{prefix.strip('/')}",
        "host": HOST,
        "path_prefix": prefix,
        "kind": kind,
        "timeout_ms": 10000,
        "target_latency_ms": 600,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
    }
    return row | options


LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 4194304,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}


def run_case(main, here):
    """Run ``main(lab)`` and exit with 1 if the rule was broken, 0 or 2 if not."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    with tempfile.TemporaryDirectory() as folder:
        lab = Lab(folder, Record(pathlib.Path(here) / "record.txt"), trouble)
        try:
            broken = asyncio.run(asyncio.wait_for(lab.run(main), 110))
        except Exception as error:
            lab.record.write("case couldn't run", error=repr(error))
            print("couldn't run:", repr(error))
            code = 2
        else:
            code = 1 if broken else 0
            lab.record.write("result", broken=broken, trouble=trouble)
            print("broken" if broken else "held", "- trouble", trouble)
        finally:
            lab.stop()
            if os.environ.get("KEEP_LOGS"):
                for daemon in lab.daemons:
                    target = pathlib.Path(os.environ["KEEP_LOGS"]) / f"{daemon.name}.log"
                    target.write_text(daemon.log())
    sys.exit(code)


class Lab:
    """The stand-ins and processes of one case."""

    def __init__(self, folder, record, trouble):
        self.folder, self.record, self.trouble = folder, record, trouble
        self.daemons, self.children = [], []

    async def run(self, main):
        self.store = Store()
        await self.store.start()
        expiry = asyncio.ensure_future(self.store.expire())
        try:
            return await main(self)
        finally:
            expiry.cancel()

    def daemon(self, name="front-ikeja-hall-1"):
        daemon = Daemon(name, self.store.address, self.folder)
        self.daemons.append(daemon)
        daemon.start()
        return daemon

    def stop(self):
        for daemon in self.daemons:
            daemon.stop()
        for child in self.children:
            if child.poll() is None:
                child.kill()
                child.wait()
