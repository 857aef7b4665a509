"""Stand-in for the platform's metadata store, as PROTOCOL.md describes it."""

import asyncio
import base64
import json
import time
import urllib.parse

from . import http1

ANSWER_SECONDS = 0.004
JSON = {"Content-Type": "application/json"}


class Store:
    """The store at ``address``; one revision counter, leases, a full history."""

    def __init__(self, address):
        self.address = address
        self.items = {}
        self.history = []
        self.revision = 100
        self.leases = {}
        self.next_lease = 7000
        self.changed = asyncio.Event()
        self.server = http1.Server(address, self.handle)
        self.expiry = None

    async def start(self):
        await self.server.start()
        self.expiry = asyncio.ensure_future(self._expire())

    def stop(self):
        self.expiry.cancel()
        self.server.stop()

    async def _expire(self):
        while True:
            now = time.monotonic()
            for lease in [n for n, (_, ends) in self.leases.items() if ends <= now]:
                self._end_lease(lease)
            await asyncio.sleep(0.02)

    def _end_lease(self, lease):
        if self.leases.pop(lease, None) is None:
            return
        keys = [k for k, item in self.items.items() if item["lease"] == lease]
        if keys:
            self.change({}, keys)

    def write(self, key, document):
        """Write a JSON document, as the operator or an engine does."""
        value = base64.b64encode(json.dumps(document).encode()).decode()
        self.change({key: (value, 0)}, [])
        return self.revision

    def change(self, puts, removals):
        self.revision += 1
        for key, (value, lease) in puts.items():
            old = self.items.get(key)
            row = {"key": key, "value": value, "revision": self.revision}
            row["created"] = old["created"] if old else self.revision
            row["lease"] = lease
            self.items[key] = row
            self.history.append(row)
        for key in removals:
            if self.items.pop(key, None) is not None:
                row = {"key": key, "revision": self.revision, "tombstone": True}
                self.history.append(row)
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, request):
        await asyncio.sleep(ANSWER_SECONDS)
        query = dict(urllib.parse.parse_qsl(request.query))
        path = request.path
        if path == "/kv-watch":
            status, document = await self._watch(query)
        elif path == "/kv-key":
            item = self.items.get(query["key"])
            document = (item or {}) | {"store_revision": self.revision}
            status = 200 if item else 404
        elif path == "/kv-range":
            status, document = self._range(query)
        elif path == "/kv-txn":
            status, document = self._transaction(json.loads(request.body))
        elif path == "/kv-lease":
            status, document = self._grant(json.loads(request.body))
        elif path.startswith("/kv-keep/"):
            status, document = self._keep(int(path.rsplit("/", 1)[1]))
        elif path.startswith("/kv-lease-end/"):
            self._end_lease(int(path.rsplit("/", 1)[1]))
            status, document = 200, {}
        else:
            status, document = 404, {}
        request.respond(status, JSON, json.dumps(document).encode())

    def _range(self, query):
        prefix, after = query.get("path_prefix", ""), query.get("after", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        rows = [self.items[key] for key in keys[:500]]
        truncated = len(keys) > 500
        return 200, {
            "items": rows,
            "truncated": truncated,
            "store_revision": self.revision,
        }

    async def _watch(self, query):
        prefix, after = query.get("path_prefix", ""), int(query["after"])
        ends = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            rows = [
                row
                for row in self.history
                if row["revision"] > after and row["key"].startswith(prefix)
            ]
            left = ends - time.monotonic()
            if rows or left <= 0:
                return 200, {"events": rows, "store_revision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                continue

    def _transaction(self, body):
        for row in body.get("expected", []):
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                rows = [item or {"key": row["key"], "revision": 0}]
                return 412, {"items": rows}
        puts = {
            row["key"]: (row["value"], row.get("lease", 0))
            for row in body.get("puts", [])
        }
        if any(lease and lease not in self.leases for _, lease in puts.values()):
            return 404, {}
        self.change(puts, body.get("remove", []))
        return 200, {"revision": self.revision}

    def _grant(self, body):
        self.next_lease += 1
        ttl = body["ttl_ms"] / 1000
        self.leases[self.next_lease] = (ttl, time.monotonic() + ttl)
        return 200, {"lease": self.next_lease, "ttl_ms": body["ttl_ms"]}

    def _keep(self, lease):
        if lease not in self.leases:
            return 404, {}
        ttl, _ = self.leases[lease]
        self.leases[lease] = (ttl, time.monotonic() + ttl)
        return 200, {"ttl_ms": int(ttl * 1000)}
