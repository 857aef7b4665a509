"""Stand-in for the hosting platform's store, with its protocol.

It serves the platform's calls on a :class:`~mulberrydock.standin.store.StoreState` and
injects the faults that tests ask for.
"""

import asyncio
import base64
import copy
import json
import time

import attrs
import tornado.web

from ..platform.store import STORE_ERA
from .store import StoreState

#: Interval at which expired leases are removed.
EXPIRY_SWEEP_SECONDS = 0.05


@attrs.define(frozen=True)
class Snapshot:
    """The store's data at one moment."""

    items: dict
    leases: dict
    revision: int
    next_lease: int


class PlatformStoreState(StoreState):
    """The store's data and the faults that a test switches on.

    - ``refusing``: every call is answered 503.
    - ``silent``: no call is answered.
    - ``lose_write_answers``: number of writes still to take effect without a response.
    - ``era``: how many times the store was restored from an older copy of its data.
    - ``compacted_revision``: watches from before this revision are answered 410.
    """

    def __init__(self):
        super().__init__()
        self.refusing = False
        self.silent = False
        self.lose_write_answers = 0
        self.compacted_revision = 0
        self.era = 0

    def snapshot(self):
        """Return a :class:`Snapshot` of the current data."""
        return Snapshot(
            dict(self.items),
            copy.deepcopy(self.leases),
            self.revision,
            self.next_lease,
        )

    def restore(self, snapshot):
        """Restore the data of a :class:`Snapshot`; what was written since is lost."""
        self.items = dict(snapshot.items)
        self.leases = copy.deepcopy(snapshot.leases)
        self.revision = snapshot.revision
        self.next_lease = snapshot.next_lease
        self.history.clear()
        self.compacted_revision = snapshot.revision
        self.era += 1
        self.changed.set()
        self.changed = asyncio.Event()

    def write(self, key, document):
        """Write a document as JSON, as the operator or an instance does."""
        return self.write_bytes(key, json.dumps(document).encode())

    def write_bytes(self, key, raw):
        """Write arbitrary bytes, as a program outside this project may."""
        return self.put(key, _encode(raw), None, 0, time.monotonic())

    def compact_history(self):
        """Drop the whole history, as a compaction does."""
        self.history.clear()
        self.compacted_revision = self.revision

    def events_after(self, prefix, after):
        if after < self.compacted_revision or after > self.revision:
            return None
        return super().events_after(prefix, after)


def _encode(raw):
    return base64.b64encode(raw).decode("ascii")


class _Handler(tornado.web.RequestHandler):
    writes = False

    def initialize(self, state, view):
        self.state = state
        self.view = view

    def row(self, key, item):
        """Return an item as it is read."""
        return {
            "key": key,
            "value": self.view(key, item.value),
            "revision": item.version,
            "created": item.create_revision,
            "lease": item.lease,
        }

    async def prepare(self):
        self.state.calls[self.request.path] += 1
        self.set_header(STORE_ERA, str(self.state.era))
        if self.state.silent:
            await asyncio.sleep(3600)
        if self.state.refusing:
            self.set_status(503)
            self.finish()

    def body(self):
        """Return the parsed request body."""
        return json.loads(self.request.body)

    def answer(self, document, status=200):
        """Send ``document``, or drop it while responses to writes are to be lost."""
        if self.writes and self.state.lose_write_answers > 0:
            self.state.lose_write_answers -= 1
            self.request.connection.stream.close()
            return
        self.set_status(status)
        # Set anew: the era may have changed while a watch was waiting.
        self.set_header(STORE_ERA, str(self.state.era))
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(document))


class _KeyHandler(_Handler):
    def get(self):
        key = self.get_argument("key")
        item = self.state.items.get(key)
        if item is None:
            self.answer({"store_revision": self.state.revision}, 404)
            return
        self.answer(self.row(key, item) | {"store_revision": self.state.revision})


class _RangeHandler(_Handler):
    def get(self):
        prefix = self.get_argument("path_prefix", "")
        rows = [
            self.row(key, item)
            for key, item in sorted(self.state.items.items())
            if key.startswith(prefix)
        ]
        self.answer(
            {"items": rows, "truncated": False, "store_revision": self.state.revision}
        )


class _WatchHandler(_Handler):
    async def get(self):
        prefix = self.get_argument("path_prefix", "")
        after = int(self.get_argument("after"))
        end = time.monotonic() + int(self.get_argument("wait_ms")) / 1000
        while True:
            events = self.state.events_after(prefix, after)
            if events is None:
                self.answer({"store_revision": self.state.revision}, 410)
                return
            left = end - time.monotonic()
            if events or left <= 0:
                break
            changed = self.state.changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                continue
        rows = [self._event(*event) for event in events]
        self.answer({"events": rows, "store_revision": self.state.revision})

    def _event(self, revision, key, item):
        if item is None:
            return {"key": key, "revision": revision, "tombstone": True}
        return self.row(key, item) | {"revision": revision}


class _TxnHandler(_Handler):
    writes = True

    def post(self):
        body = self.body()
        state = self.state
        for row in body["expected"]:
            item = state.items.get(row["key"])
            if (item.version if item else 0) != row["revision"]:
                items = [self.row(row["key"], item)] if item else [{"key": row["key"]}]
                self.answer({"items": items}, 412)
                return
        for row in body["puts"]:
            if row["lease"] and row["lease"] not in state.leases:
                self.answer({}, 404)
                return
        now = time.monotonic()
        for row in body["puts"]:
            state.put(row["key"], row["value"], None, row["lease"], now)
        for key in body["remove"]:
            state.delete(key, None)
        self.answer({"revision": state.revision})


class _LeaseHandler(_Handler):
    writes = True

    def post(self):
        ttl_ms = self.body()["ttl_ms"]
        lease = self.state.grant(ttl_ms / 1000, time.monotonic())
        self.answer({"lease": lease, "ttl_ms": ttl_ms})


class _KeepaliveHandler(_Handler):
    def post(self, lease):
        renewed = self.state.keepalive(int(lease), time.monotonic())
        self.answer({}, 200 if renewed else 404)


class _LeaseEndHandler(_Handler):
    def delete(self, lease):
        self.state.revoke(int(lease))
        self.answer({})


async def expire_leases(state):
    """Remove expired leases of ``state`` until cancelled.

    An unavailable store doesn't expire leases.
    """
    while True:
        if not state.refusing and not state.silent:
            state.expire(time.monotonic())
        await asyncio.sleep(EXPIRY_SWEEP_SECONDS)


def make_app(state, view=lambda key, value: value):
    """Return the tornado application that serves ``state``.

    :param view: called with a key and its value; returns the value that is read.
    """
    args = {"state": state, "view": view}
    return tornado.web.Application(
        [
            (r"/kv-key", _KeyHandler, args),
            (r"/kv-range", _RangeHandler, args),
            (r"/kv-watch", _WatchHandler, args),
            (r"/kv-txn", _TxnHandler, args),
            (r"/kv-lease", _LeaseHandler, args),
            (r"/kv-keep/([0-9]+)", _KeepaliveHandler, args),
            (r"/kv-lease-end/([0-9]+)", _LeaseEndHandler, args),
        ],
        log_function=lambda handler: None,
    )
