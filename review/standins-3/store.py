"""A small stand-in of the platform's store, after PROTOCOL.md.

It runs in the process of the test. The operator and the engines write with ``put`` and
``delete``; the daemons use the HTTP calls.
"""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, urlsplit

import http1

#: Events that are kept for watches.
HISTORY = 10_000


class Store:
    def __init__(self):
        self.items = {}
        self.leases = {}
        self.revision = 100
        self.next_lease = 7000
        self.history = []
        self.changed = asyncio.Event()
        self.serving = set()
        self.address = ""

    async def start(self, host="127.0.0.1"):
        self.server = await asyncio.start_server(self._accept, host, 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        self.sweeper = asyncio.ensure_future(self._sweep())

    async def stop(self):
        self.server.close()
        for task in (self.sweeper, *self.serving):
            task.cancel()
        await asyncio.gather(self.sweeper, *self.serving, return_exceptions=True)

    def _notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def _record(self, event):
        self.history.append(event)
        del self.history[:-HISTORY]

    def put(self, key, value, lease=0):
        """Write bytes or a document; return the revision."""
        if not isinstance(value, bytes):
            value = json.dumps(value).encode()
        self.revision += 1
        created = self.items[key]["created"] if key in self.items else self.revision
        self.items[key] = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created": created,
            "lease": lease,
        }
        self._record(dict(self.items[key]))
        self._notify()
        return self.revision

    def delete(self, key):
        if key not in self.items:
            return
        self.revision += 1
        del self.items[key]
        self._record({"key": key, "revision": self.revision, "tombstone": True})
        self._notify()

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            self.delete(key)

    async def _sweep(self):
        while True:
            now = time.monotonic()
            for lease, (_, ends) in list(self.leases.items()):
                if ends <= now:
                    self.end_lease(lease)
            await asyncio.sleep(0.05)

    def _accept(self, reader, writer):
        task = asyncio.ensure_future(self._serve(reader, writer))
        self.serving.add(task)
        task.add_done_callback(self.serving.discard)

    async def _serve(self, reader, writer):
        try:
            while True:
                request = await http1.read_request(reader)
                if request is None:
                    return
                status, document = await self._answer(request, reader)
                http1.write_response(
                    writer,
                    status,
                    {"Content-Type": "application/json"},
                    json.dumps(document).encode(),
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, request, reader):
        parts = urlsplit(request.target)
        query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        path = parts.path
        if path == "/kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {"store_revision": self.revision}
            return 200, dict(item, store_revision=self.revision)
        if path == "/kv-range":
            prefix = query.get("path_prefix", "")
            keys = sorted(k for k in self.items if k.startswith(prefix))
            keys = [k for k in keys if k > query.get("after", "")]
            rows = [self.items[k] for k in keys[:500]]
            return 200, {
                "items": rows,
                "truncated": len(keys) > 500,
                "store_revision": self.revision,
            }
        if path == "/kv-watch":
            return await self._watch(query)
        body = json.loads(request.body or b"{}")
        if path == "/kv-txn":
            return self._txn(body)
        if path == "/kv-lease":
            self.next_lease += 1
            ttl = max(1000, int(body["ttl_ms"])) / 1000
            self.leases[self.next_lease] = (ttl, time.monotonic() + ttl)
            return 200, {"lease": self.next_lease, "ttl_ms": int(ttl * 1000)}
        name, _, lease = path.rpartition("/")
        lease = int(lease) if lease.isdecimal() else 0
        if lease not in self.leases:
            return 404, {}
        if name == "/kv-keep":
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, time.monotonic() + ttl)
            return 200, {"ttl_ms": int(ttl * 1000)}
        self.end_lease(lease)
        return 200, {}

    async def _watch(self, query):
        prefix, after = query.get("path_prefix", ""), int(query["after"])
        ends = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while True:
            events = [
                e
                for e in self.history
                if e["revision"] > after and e["key"].startswith(prefix)
            ]
            left = ends - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "store_revision": self.revision}
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def _txn(self, body):
        rows = body.get("expected", [])
        current = [
            {
                "key": row["key"],
                "revision": self.items.get(row["key"], {}).get("revision", 0),
            }
            for row in rows
        ]
        if any(a["revision"] != b["revision"] for a, b in zip(rows, current)):
            return 412, {"items": current}
        puts, remove = body.get("puts", []), body.get("remove", [])
        for row in puts:
            if row.get("lease") and row["lease"] not in self.leases:
                return 404, {}
            if row["key"].startswith(("op/", "servers/")):
                return 403, {}
        for row in puts:
            self.put(row["key"], base64.b64decode(row["value"]), row.get("lease", 0))
        for key in remove:
            self.delete(key)
        return 200, {"revision": self.revision}
