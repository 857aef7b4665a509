"""Client of the platform's key-value store.

It has the same calls as :class:`~mulberrydock.store.StoreClient`, and like it returns
an :class:`expression.Result`, so that watches, leases and membership work with either
client.
"""

import asyncio
import base64
import json
import time
from urllib.parse import urlencode

import tornado.httputil
from expression import Error, Ok

from ..connections import (
    MAX_BODY_BYTES,
    BufferedResponse,
    ConnectionPool,
    HeldChunks,
)
from ..exceptions import StoreError, UpstreamError, VersionConflict
from ..sends import ProgressTimeouts, run_exchange
from ..store import Event, Item, WatchBatch
from ..store_calls import StoreOperation
from .documents import DECODE_ERRORS

#: Seconds without progress after which a call has failed. The store responds in 4 ms;
#: a changed configuration must be in force within 2 s, so a lost response must be
#: detected well before that. A large configuration takes longer than this on a slow
#: link, but its bytes keep arriving.
CALL_TIMEOUT_SECONDS = 0.7
#: Seconds of a whole call beyond the time for which the store may wait: about 5 MB on
#: the slowest link.
MAX_CALL_SECONDS = 10.0
#: Connections to the store: one for each pending watch and a few for other calls.
MAX_CONNECTIONS = 16
#: Header with the store's era: how many times the store was restored from an older
#: copy of its data.
STORE_ERA = "Store-Era"


class ProgressResponse(BufferedResponse):
    """A buffered response that notes when bytes last arrived.

    The store's pages are larger than what an instance responds.
    """

    def __init__(self):
        super().__init__(chunks=HeldChunks(MAX_BODY_BYTES))

    def on_headers(self, status, headers):
        super().on_headers(status, headers)
        self.last_progress_at = time.monotonic()

    def on_data(self, chunk):
        super().on_data(chunk)
        self.last_progress_at = time.monotonic()


class PlatformStore:
    """Client of one store, over persistent connections.

    Attributes that an owner may set or read:

    - ``on_call``: called before each call with its
      :class:`~mulberrydock.store_calls.StoreOperation` and its first key, empty if it
      names none.
    - ``on_response``: called after each call, with True when the store answered it.
    - ``on_era_change``: called when a response shows a higher era than the last known
      one, that is after the store was restored from an older copy.
    - ``era``: the highest era seen, None before the first response.

    :param address: ``host:port`` of the store.
    :param timeout: seconds without progress after which a call has failed.
    """

    def __init__(self, address, timeout=CALL_TIMEOUT_SECONDS):
        self.address = address
        self.timeout = timeout
        self.pool = ConnectionPool(address, MAX_CONNECTIONS)
        self.on_call = lambda operation, key: None
        self.on_response = lambda answered: None
        self.on_era_change = lambda: None
        self.era = None
        self.calls_in_progress = {}

    def pending_calls(self):
        """Return the calls in progress, polls excluded, as method and path."""
        return list(self.calls_in_progress.values())

    async def _call(self, operation, method, path, body=None, timeout=None, key=""):
        self.on_call(operation, key)
        call = object()
        if timeout is None:
            self.calls_in_progress[call] = f"{method} {path.partition('?')[0]}"
        try:
            result = await self._exchange(method, path, body, timeout)
        finally:
            self.calls_in_progress.pop(call, None)
        if result.is_error():
            # Connections that went silent with this one look sound for a while.
            self.pool.close()
        self.on_response(result.is_ok())
        return result

    async def _exchange(self, method, path, body, timeout):
        response = ProgressResponse()
        first = timeout or self.timeout
        timeouts = ProgressTimeouts(first, self.timeout, may_abandon=lambda: True)
        payload = b"" if body is None else json.dumps(body).encode()
        headers = tornado.httputil.HTTPHeaders({"Host": self.address})
        if body is not None:
            headers["Content-Type"] = "application/json"
            headers["Content-Length"] = str(len(payload))
        elif method == "POST":
            headers["Content-Length"] = "0"
        try:
            exchange = self.pool.exchange(method, path, headers, payload, response)
            await asyncio.wait_for(
                run_exchange(exchange, response, timeouts), first + MAX_CALL_SECONDS
            )
        except (UpstreamError, asyncio.TimeoutError) as error:
            return Error(StoreError(f"{method} {path}: {error!r}"))
        if not self._update_era(response.headers):
            return Error(
                StoreError(
                    f"{method} {path}: response from a store era before {self.era}"
                )
            )
        if response.status in (429, 500, 502, 503, 504):
            return Error(StoreError(f"{method} {path}: status {response.status}"))
        body = response.body or b"{}"
        return _read(f"{method} {path}", lambda: (response.status, _document(body)))

    def _update_era(self, headers):
        """Update the known era from a response's headers.

        :returns: False when the response is of an earlier era, whose data the store no
            longer has.
        """
        text = headers.get(STORE_ERA, "")
        era = int(text) if text.isdecimal() else 0
        known, self.era = self.era, max(era, self.era or 0)
        if known is not None and era > known:
            self.on_era_change()
        return era == self.era

    async def get(self, key):
        """Read ``key``; ``Ok(None)`` when it is absent."""
        path = "/kv-key?" + urlencode({"key": key})
        result = await self._call(StoreOperation.READ, "GET", path, key=key)
        if result.is_error():
            return result
        status, document = result.ok
        return _read(key, lambda: None if status == 404 else _item(document))

    async def range(self, prefix):
        """Read every key under ``prefix``: ``Ok((revision, [Item]))``.

        The store may return several pages, which aren't one snapshot. The revision is
        that of the first page: a watch from there may repeat a change but misses none.
        """
        items, revision, after, page_ends = [], None, None, set()
        while True:
            query = {"path_prefix": prefix}
            if after:
                query["after"] = after
            path = "/kv-range?" + urlencode(query)
            result = await self._call(StoreOperation.RANGE, "GET", path)
            if result.is_error():
                return result
            status, document = result.ok
            if status != 200:
                return Error(StoreError(f"range {prefix}: status {status}"))
            page = _read(prefix, lambda: _page(document))
            if page.is_error():
                return page
            page_revision, rows = page.ok
            items.extend(rows)
            revision = page_revision if revision is None else revision
            if not document.get("truncated") or not rows:
                return Ok((revision, items))
            after = rows[-1].key
            if after in page_ends:
                return Error(StoreError(f"range {prefix}: the page to {after} again"))
            page_ends.add(after)

    async def put(self, key, value, expect_version=None, lease=0):
        """Write ``value`` under ``key``; see :meth:`StoreClient.put`."""
        row = {"key": key, "value": _encode(value), "lease": lease}
        return await self._change(key, expect_version, puts=[row])

    async def delete(self, key, expect_version=None):
        """Delete ``key``, with ``expect_version`` only if it is at that version."""
        return await self._change(key, expect_version, remove=[key])

    async def write_all(self, values, removals):
        """Write ``values`` and delete the keys ``removals`` in one transaction.

        :param values: text by key.
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
        first = puts[0]["key"] if puts else remove[0]
        result = await self._call(
            StoreOperation.WRITE, "POST", "/kv-txn", body, key=first
        )
        if result.is_error():
            return result
        status, document = result.ok
        if status == 412:
            current = _read(key, lambda: _current_revision(document))
            if current.is_error():
                return current
            return Error(
                VersionConflict(f"{key} is at version {current.ok}", current.ok)
            )
        if status != 200:
            return Error(StoreError(f"write {key}: status {status}"))
        return _read(key, lambda: _number(document["revision"]))

    async def watch(self, prefix, after, timeout):
        """Long-poll for changes under ``prefix`` newer than revision ``after``.

        :param timeout: seconds that the store may wait for a change.
        :returns: ``Ok(WatchBatch)``, with ``compacted`` set when the store no longer
            has the changes since ``after``.
        """
        query = {
            "path_prefix": prefix,
            "after": after,
            "wait_ms": int(timeout * 1000),
        }
        result = await self._call(
            StoreOperation.WATCH,
            "GET",
            "/kv-watch?" + urlencode(query),
            timeout=timeout + self.timeout,
        )
        if result.is_error():
            return result
        status, document = result.ok
        if status == 410:
            return Ok(WatchBatch(0, [], compacted=True))
        if status != 200:
            return Error(StoreError(f"watch {prefix}: status {status}"))
        return _read(prefix, lambda: _batch(document))

    async def grant(self, ttl):
        """Create a lease of ``ttl`` seconds: ``Ok(lease_id)``."""
        body = {"ttl_ms": int(ttl * 1000)}
        result = await self._call(StoreOperation.LEASE_GRANT, "POST", "/kv-lease", body)
        if result.is_error():
            return result
        status, document = result.ok
        if status != 200:
            return Error(StoreError(f"lease: status {status}"))
        return _read("lease", lambda: document["lease"])

    async def keepalive(self, lease):
        """Extend ``lease``: ``Ok(True)``, or ``Ok(False)`` when it has expired."""
        result = await self._call(
            StoreOperation.LEASE_RENEWAL, "POST", f"/kv-keep/{lease}"
        )
        return result.map(lambda response: response[0] == 200)

    async def revoke(self, lease):
        """End ``lease`` and delete its keys."""
        result = await self._call(
            StoreOperation.LEASE_END, "DELETE", f"/kv-lease-end/{lease}"
        )
        return result.map(lambda _: True)


def _encode(text):
    return base64.b64encode(text.encode()).decode("ascii")


def _decode(text):
    # Other programs write to the store too. Bytes that aren't UTF-8 are decoded to lone
    # surrogates, which every decoder of a document refuses. An error raised here would
    # end the watch, and with it all other updates.
    return base64.b64decode(text).decode(errors="surrogateescape")


def _read(what, read):
    """Return ``Ok`` with what ``read()`` returns, ``Error`` if it can't be read.

    An error raised by a call would end the task that makes it, and with it the process.

    :param what: names the call, for the error.
    """
    try:
        return Ok(read())
    except (AttributeError, *DECODE_ERRORS) as error:
        return Error(StoreError(f"{what}: unreadable response: {error!r:.200}"))


def _document(body):
    document = json.loads(body)
    if not isinstance(document, dict):
        raise TypeError(f"expected an object, got {document!r:.40}")
    return document


def _number(value):
    # Not isinstance: bool is a subclass of int.
    if type(value) is not int or not 0 <= value:
        raise TypeError(f"expected a number, got {value!r:.40}")
    return value


def _key(value):
    if not isinstance(value, str):
        raise TypeError(f"expected a key, got {value!r:.40}")
    return value


def _item(row):
    return Item(
        key=_key(row["key"]),
        value=_decode(row["value"]),
        version=_number(row["revision"]),
        # ``created`` is a revision, not a time.
        create_revision=row.get("created", 0),
        lease=row.get("lease", 0),
    )


def _event(row):
    value = None if row.get("tombstone") else _decode(row["value"])
    return Event(_number(row["revision"]), _key(row["key"]), value)


def _page(document):
    items = [_item(row) for row in document["items"]]
    return _number(document["store_revision"]), items


def _batch(document):
    events = [_event(row) for row in document["events"]]
    return WatchBatch(_number(document["store_revision"]), events)


def _current_revision(document):
    rows = document.get("items") or [{}]
    return _number(rows[0].get("revision", 0))
