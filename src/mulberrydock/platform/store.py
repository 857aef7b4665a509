"""The platform's key-value store, with the calls of :class:`StoreClient`.

Every call returns an :class:`expression.Result` as the product's own client
does, so that watches, leases and membership run over either.
"""

import asyncio
import base64
import json
from urllib.parse import urlencode

import tornado.httputil
from expression import Error, Ok

from ..connections import BufferedResponse, ConnectionPool
from ..exceptions import StoreError, UpstreamError, VersionConflict
from ..store import Event, Item, WatchBatch

#: Seconds of one call; the store answers in 4 ms, and the configuration must
#: be in force within 2 s, so a lost answer has to show well before.
CALL_TIMEOUT_SECONDS = 0.7
#: Connections: one a waiting watch and a few for calls.
CONNECTION_LIMIT = 16
#: Names how often the store has come back from an older copy of itself.
STORE_ERA = "Store-Era"


class PlatformStore:
    """Calls to the store at ``address`` over kept connections.

    ``on_answer`` is called after each call with True when the store answered it,
    ``on_era_change`` when an answer is the first from a store that came back from an older
    copy. ``era`` counts these copies.
    """

    def __init__(self, address, timeout=CALL_TIMEOUT_SECONDS):
        self.address = address
        self.timeout = timeout
        self.pool = ConnectionPool(address, CONNECTION_LIMIT)
        self.on_answer = lambda answered: None
        self.on_era_change = lambda: None
        self.era = None

    async def _call(self, method, path, body=None, timeout=None):
        result = await self._exchange(method, path, body, timeout)
        self.on_answer(result.is_ok())
        return result

    async def _exchange(self, method, path, body, timeout):
        answer = BufferedResponse()
        payload = b"" if body is None else json.dumps(body).encode()
        headers = tornado.httputil.HTTPHeaders({"Host": self.address})
        if body is not None:
            headers["Content-Type"] = "application/json"
            headers["Content-Length"] = str(len(payload))
        elif method == "POST":
            headers["Content-Length"] = "0"
        try:
            await asyncio.wait_for(
                self.pool.exchange(method, path, headers, payload, answer),
                timeout or self.timeout,
            )
        except (UpstreamError, asyncio.TimeoutError) as error:
            return Error(StoreError(f"{method} {path}: {error!r}"))
        if not self._note_era(answer.headers):
            return Error(StoreError(f"{method} {path}: answer of a lost copy"))
        if answer.status in (429, 500, 502, 503, 504):
            return Error(StoreError(f"{method} {path}: status {answer.status}"))
        try:
            return Ok((answer.status, json.loads(answer.body or b"{}")))
        except ValueError as error:
            return Error(StoreError(f"{method} {path}: {error}"))

    def _note_era(self, headers):
        """Learn the era of an answer; False when the store has lost it since."""
        text = headers.get(STORE_ERA, "")
        era = int(text) if text.isdecimal() else 0
        known, self.era = self.era, max(era, self.era or 0)
        if known is not None and era > known:
            self.on_era_change()
        return era == self.era

    async def get(self, key):
        """Read ``key``; ``Ok(None)`` when it is absent."""
        result = await self._call("GET", "/kv-key?" + urlencode({"key": key}))
        if result.is_error():
            return result
        status, document = result.ok
        return Ok(None if status == 404 else _item(document))

    async def range(self, prefix):
        """Read every key under ``prefix``: ``Ok((revision, [Item]))``.

        Pages are no snapshot: the revision is that of the first page, so a
        watch from there repeats a change rather than missing one.
        """
        items, revision, after = [], None, None
        while True:
            query = {"path_prefix": prefix}
            if after:
                query["after"] = after
            result = await self._call("GET", "/kv-range?" + urlencode(query))
            if result.is_error():
                return result
            status, document = result.ok
            if status != 200:
                return Error(StoreError(f"range {prefix}: status {status}"))
            items.extend(_item(row) for row in document["items"])
            revision = document["store_revision"] if revision is None else revision
            if not document.get("truncated") or not document["items"]:
                return Ok((revision, items))
            after = document["items"][-1]["key"]

    async def put(self, key, value, expect_version=None, lease=0):
        """Write ``value`` under ``key``; see :meth:`StoreClient.put`."""
        row = {"key": key, "value": _encode(value), "lease": lease}
        return await self._change(key, expect_version, puts=[row])

    async def delete(self, key, expect_version=None):
        """Delete ``key``, optionally only at ``expect_version``."""
        return await self._change(key, expect_version, remove=[key])

    async def write_all(self, values, removals):
        """Write ``values`` by key and delete ``removals``, in one call.

        :returns: ``Ok(revision)``, or ``Error(StoreError)``.
        """
        puts = [
            {"key": key, "value": _encode(value), "lease": 0}
            for key, value in values.items()
        ]
        return await self._change("several keys", None, puts, removals)

    async def _change(self, key, expect_version, puts=(), remove=()):
        expected = []
        if expect_version is not None:
            expected = [{"key": key, "revision": expect_version}]
        body = {"expected": expected, "puts": list(puts), "remove": list(remove)}
        result = await self._call("POST", "/kv-txn", body)
        if result.is_error():
            return result
        status, document = result.ok
        if status == 412:
            rows = document.get("items") or [{}]
            current = rows[0].get("revision", 0)
            return Error(VersionConflict(f"{key} is at version {current}", current))
        if status != 200:
            return Error(StoreError(f"write {key}: status {status}"))
        return Ok(document["revision"])

    async def watch(self, prefix, after, timeout):
        """Long-poll for changes under ``prefix`` newer than revision ``after``."""
        query = {
            "path_prefix": prefix,
            "after": after,
            "wait_ms": int(timeout * 1000),
        }
        result = await self._call(
            "GET", "/kv-watch?" + urlencode(query), timeout=timeout + self.timeout
        )
        if result.is_error():
            return result
        status, document = result.ok
        if status == 410:
            return Ok(WatchBatch(0, [], compacted=True))
        if status != 200:
            return Error(StoreError(f"watch {prefix}: status {status}"))
        events = [_event(row) for row in document["events"]]
        return Ok(WatchBatch(document["store_revision"], events))

    async def grant(self, ttl):
        """Create a lease of ``ttl`` seconds: ``Ok(lease_id)``."""
        result = await self._call("POST", "/kv-lease", {"ttl_ms": int(ttl * 1000)})
        if result.is_error():
            return result
        status, document = result.ok
        if status != 200:
            return Error(StoreError(f"lease: status {status}"))
        return Ok(document["lease"])

    async def keepalive(self, lease):
        """Extend ``lease``: ``Ok(True)``, or ``Ok(False)`` when it has expired."""
        result = await self._call("POST", f"/kv-keep/{lease}")
        return result.map(lambda answer: answer[0] == 200)

    async def revoke(self, lease):
        """End ``lease`` and delete its keys."""
        result = await self._call("DELETE", f"/kv-lease-end/{lease}")
        return result.map(lambda _: True)


def _encode(text):
    return base64.b64encode(text.encode()).decode("ascii")


def _decode(text):
    # Others write to the store too. Bytes that are no UTF-8 become lone
    # surrogates, which no reader of a document accepts: raised here, the error
    # would end the watch that brings everything else.
    return base64.b64decode(text).decode(errors="surrogateescape")


def _item(row):
    return Item(
        key=row["key"],
        value=_decode(row["value"]),
        version=row["revision"],
        # Named "created", yet a revision, not a time.
        create_revision=row.get("created", 0),
        lease=row.get("lease", 0),
    )


def _event(row):
    value = None if row.get("tombstone") else _decode(row["value"])
    return Event(row["revision"], row["key"], value)
