"""Stand-in for the key-value store, served over HTTP with JSON bodies.

It implements versioned keys, compare-and-swap, leases with a time to live and prefix
watches. On request it injects failures: outages, delays, and writes that take effect
while their response is lost. ``docs/protocols.md`` describes the protocol.
"""

import asyncio
import collections
import json
import time

import attrs
import tornado.web
from expression import Error, Ok

from .. import store
from .._http import JsonHandler
from ..exceptions import StoreError, VersionConflict

#: Events stored for watches; a watch from before them gets 410 and its client must
#: read the prefix again.
MAX_HISTORY_EVENTS = 10000
#: Estimated HTTP overhead that is counted for each request and each response.
FRAMING_BYTES = 150
#: Interval at which expired leases are removed.
EXPIRY_SWEEP_SECONDS = 0.05


@attrs.define
class Item:
    """Value of one key.

    ``version`` is the revision of its last change, ``create_revision`` that of its
    creation, ``lease`` the id of the lease it is attached to, 0 for none.
    """

    value: str
    version: int
    create_revision: int
    lease: int = 0


@attrs.define
class Lease:
    """A lease; the keys attached to it are deleted when it expires.

    ``ttl`` is in seconds, ``expires_at`` on the clock of the ``now`` arguments.
    """

    ttl: float
    expires_at: float
    keys: set = attrs.field(factory=set)


@attrs.define
class Faults:
    """Failures to inject.

    ``outage`` answers every call 503; ``delay_seconds`` delays every call;
    ``lose_answers`` is the number of writes whose responses are still to be dropped.
    """

    outage: bool = False
    delay_seconds: float = 0.0
    lose_answers: int = 0


class StoreState:
    """The store's data. ``now`` is the current time in seconds, on any one clock."""

    def __init__(self):
        self.items = {}
        self.leases = {}
        self.revision = 0
        self.next_lease = 1
        self.history = collections.deque(maxlen=MAX_HISTORY_EVENTS)
        self.changed = asyncio.Event()
        self.faults = Faults()
        self.calls = collections.Counter()

    def _append_history(self, key, item):
        self.history.append((self.revision, key, item))
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value, expect_version, lease, now):
        """Write ``key``, if ``expect_version`` is None or the key's version.

        :param expect_version: 0 when the key must be absent.
        :param lease: id of the lease to attach the key to, or 0.
        :returns: ``(True, version)``, or ``(False, current_version)`` when the version
            differs or the lease doesn't exist.
        """
        current = self.items.get(key)
        current_version = current.version if current else 0
        if expect_version is not None and expect_version != current_version:
            return False, current_version
        if lease and lease not in self.leases:
            return False, current_version
        self.revision += 1
        created = current.create_revision if current else self.revision
        if current and current.lease and current.lease in self.leases:
            self.leases[current.lease].keys.discard(key)
        item = Item(value, self.revision, created, lease or 0)
        self.items[key] = item
        if lease:
            self.leases[lease].keys.add(key)
        self._append_history(key, item)
        return True, self.revision

    def delete(self, key, expect_version):
        """Delete ``key``, if ``expect_version`` is None or the key's version.

        :returns: ``(True, revision)``, or ``(False, current_version)``.
        """
        current = self.items.get(key)
        current_version = current.version if current else 0
        if expect_version is not None and expect_version != current_version:
            return False, current_version
        if current is None:
            return True, self.revision
        del self.items[key]
        if current.lease in self.leases:
            self.leases[current.lease].keys.discard(key)
        self.revision += 1
        self._append_history(key, None)
        return True, self.revision

    def grant(self, ttl, now):
        """Create a lease of ``ttl`` seconds and return its id."""
        lease = self.next_lease
        self.next_lease += 1
        self.leases[lease] = Lease(ttl, now + ttl)
        return lease

    def keepalive(self, lease, now):
        """Renew ``lease`` for its ttl.

        :returns: False when the lease doesn't exist, or no longer.
        """
        found = self.leases.get(lease)
        if found is None:
            return False
        found.expires_at = now + found.ttl
        return True

    def revoke(self, lease):
        """End ``lease`` and delete its keys."""
        found = self.leases.pop(lease, None)
        for key in sorted(found.keys if found else ()):
            self.delete(key, None)

    def expire(self, now):
        """Revoke every lease whose time to live has passed."""
        for lease in [k for k, v in self.leases.items() if v.expires_at <= now]:
            self.revoke(lease)

    def events_after(self, prefix, after):
        """Return the events under ``prefix`` newer than revision ``after``.

        :returns: a list of (revision, key, item), or None when some of them are no
            longer in the history.
        """
        if self.history and after < self.history[0][0] - 1:
            return None
        return [
            (revision, key, item)
            for revision, key, item in self.history
            if revision > after and key.startswith(prefix)
        ]


class DirectStore:
    """Store client that calls a :class:`StoreState` in the same process.

    For tests that need a clock of their own, or failures of particular calls. The next
    ``lost_writes`` puts take effect but return an error, the next ``failing_reads``
    gets fail.

    :param clock: returns the current time in seconds.
    """

    #: The store era: always 0, as this store is never restored from an older copy.
    era = 0

    def __init__(self, state, clock=time.monotonic):
        self.state = state
        self.clock = clock
        self.failing_reads = 0
        self.lost_writes = 0

    async def grant(self, ttl):
        """Create a lease: ``Ok(lease_id)``."""
        return Ok(self.state.grant(ttl, self.clock()))

    async def keepalive(self, lease):
        """Renew a lease: ``Ok(True)``, or ``Ok(False)`` when it has ended."""
        return Ok(self.state.keepalive(lease, self.clock()))

    async def revoke(self, lease):
        """End a lease and delete its keys."""
        return Ok(self.state.revoke(lease))

    async def put(self, key, value, expect_version=None, lease=0):
        """Write ``key``, see :meth:`StoreState.put`.

        :returns: ``Ok(version)``, ``Error(VersionConflict)``, or an error although the
            write took effect, while :attr:`lost_writes` is above 0.
        """
        done, version = self.state.put(key, value, expect_version, lease, self.clock())
        if self.lost_writes:
            self.lost_writes -= 1
            return Error(StoreError(f"injected fault: response to put {key} lost"))
        return Ok(version) if done else Error(VersionConflict(key, version))

    async def get(self, key):
        """Read ``key``; fails while :attr:`failing_reads` is above 0.

        :returns: ``Ok(Item)``, ``Ok(None)`` when the key is absent, or an error.
        """
        if self.failing_reads:
            self.failing_reads -= 1
            return Error(StoreError(f"injected fault: get {key} failed"))
        item = self.state.items.get(key)
        if item is None:
            return Ok(None)
        return Ok(
            store.Item(key, item.value, item.version, item.create_revision, item.lease)
        )


def _item_json(key, item):
    return {
        "key": key,
        "value": item.value,
        "version": item.version,
        "create_revision": item.create_revision,
        "lease": item.lease,
    }


class _StoreHandler(JsonHandler):
    kind = "read"

    def initialize(self, state):
        self.state = state

    async def prepare(self):
        self.state.calls[self.kind] += 1
        self.state.calls["bytes"] += (
            FRAMING_BYTES + len(self.request.uri) + len(self.request.body or b"")
        )
        faults = self.state.faults
        if self.kind == "faults":
            return
        if faults.delay_seconds:
            await asyncio.sleep(faults.delay_seconds)
        if faults.outage:
            self.send_json({"error": "outage"}, status=503)

    def answer_write(self, document, status=200):
        """Send the response to a write, or drop it while responses are to be lost."""
        if self.state.faults.lose_answers > 0:
            # The write has taken effect, but the client only sees a closed connection.
            self.state.faults.lose_answers -= 1
            self.request.connection.stream.close()
            return
        self.send_json(document, status=status)

    def send_json(self, document, status=200, code=None):
        """Send as :class:`JsonHandler` does, and count the bytes of the response."""
        text = json.dumps(document)
        self.state.calls["bytes"] += FRAMING_BYTES + len(text)
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(text)


class KeyHandler(_StoreHandler):
    """``GET /v1/kv/<key>``: one key, or 404; either with the store's revision."""

    def get(self, key):
        item = self.state.items.get(key)
        if item is None:
            self.send_json({"revision": self.state.revision}, status=404)
        else:
            self.send_json(_item_json(key, item) | {"revision": self.state.revision})


class RangeHandler(_StoreHandler):
    """``GET /v1/range?prefix=P``: all keys under a prefix."""

    def get(self):
        prefix = self.get_argument("prefix", "")
        items = [
            _item_json(key, item)
            for key, item in sorted(self.state.items.items())
            if key.startswith(prefix)
        ]
        self.send_json({"revision": self.state.revision, "items": items})


class PutHandler(_StoreHandler):
    """``POST /v1/put``: compare-and-swap write; 409 on a version mismatch."""

    kind = "write"

    def post(self):
        body = self.json_body()
        done, version = self.state.put(
            body["key"],
            body["value"],
            body.get("expect_version"),
            body.get("lease"),
            time.monotonic(),
        )
        if done:
            self.answer_write({"version": version, "revision": self.state.revision})
        else:
            self.answer_write({"current_version": version}, status=409)


class DeleteHandler(_StoreHandler):
    """``POST /v1/delete``: compare-and-delete; 409 on a version mismatch."""

    kind = "write"

    def post(self):
        body = self.json_body()
        done, version = self.state.delete(body["key"], body.get("expect_version"))
        if done:
            self.answer_write({"revision": version})
        else:
            self.answer_write({"current_version": version}, status=409)


class WatchHandler(_StoreHandler):
    """``GET /v1/watch?prefix=P&after=R&timeout=S``: long poll for changes.

    Answers 410 when the changes since revision R are no longer in the history.
    """

    kind = "watch"

    async def get(self):
        prefix = self.get_argument("prefix", "")
        after = int(self.get_argument("after", "0"))
        timeout = float(self.get_argument("timeout", "5"))
        deadline = time.monotonic() + timeout
        while True:
            events = self.state.events_after(prefix, after)
            if events is None:
                self.send_json({"revision": self.state.revision}, status=410)
                return
            remaining = deadline - time.monotonic()
            if events or remaining <= 0:
                break
            try:
                await asyncio.wait_for(self.state.changed.wait(), remaining)
            except asyncio.TimeoutError:
                pass
        rows = [
            {"revision": r, "key": k, "value": i.value if i else None}
            for r, k, i in events
        ]
        self.send_json({"revision": self.state.revision, "events": rows})


class LeaseHandler(_StoreHandler):
    """``POST /v1/lease/(grant|keepalive|revoke)``."""

    kind = "lease"

    def post(self, action):
        body = self.json_body()
        now = time.monotonic()
        if action == "grant":
            lease = self.state.grant(float(body["ttl"]), now)
            self.answer_write({"lease": lease, "ttl": body["ttl"]})
        elif action == "keepalive":
            if self.state.keepalive(int(body["lease"]), now):
                self.send_json({"lease": body["lease"]})
            else:
                self.send_json({"error": "no such lease"}, status=404)
        else:
            self.state.revoke(int(body["lease"]))
            self.send_json({})


class FaultsHandler(_StoreHandler):
    """``POST /v1/faults`` sets the failures to inject; GET returns counts of calls."""

    kind = "faults"

    def get(self):
        self.send_json({"calls": dict(self.state.calls)})

    def post(self):
        body = self.json_body()
        faults = self.state.faults
        faults.outage = bool(body.get("outage", faults.outage))
        faults.delay_seconds = float(body.get("delay_seconds", faults.delay_seconds))
        faults.lose_answers = int(body.get("lose_answers", faults.lose_answers))
        self.send_json(attrs.asdict(faults))


def make_app(state=None):
    """Return the tornado application of the store.

    :param state: a :class:`StoreState`, by default a new one.
    """
    state = state or StoreState()
    args = {"state": state}
    app = tornado.web.Application(
        [
            (r"/v1/kv/(.+)", KeyHandler, args),
            (r"/v1/range", RangeHandler, args),
            (r"/v1/put", PutHandler, args),
            (r"/v1/delete", DeleteHandler, args),
            (r"/v1/watch", WatchHandler, args),
            (r"/v1/lease/(grant|keepalive|revoke)", LeaseHandler, args),
            (r"/v1/faults", FaultsHandler, args),
        ]
    )
    app.store_state = state
    return app


async def serve(address):
    """Serve the store on ``address`` until cancelled."""
    from .._http import split_address

    app = make_app()
    host, port = split_address(address)
    app.listen(port, address=host)
    while True:
        app.store_state.expire(time.monotonic())
        await asyncio.sleep(EXPIRY_SWEEP_SECONDS)
