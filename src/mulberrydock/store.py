"""Client of the platform store's protocol (see ``standin.store``).

Every call returns an :class:`expression.Result`: ``Ok`` with the result, or
``Error`` with a :class:`~mulberrydock.exceptions.StoreError`. The client never
retries: whether a call may be repeated is the caller's decision.
"""

import typing as t
from urllib.parse import quote

import attrs
import tornado.httpclient
from expression import Error, Ok

from . import defaults
from ._http import fetch_json
from .exceptions import StoreError, VersionConflict


@attrs.define(frozen=True)
class Item:
    """A key as read; ``version`` is the revision of its last change."""

    key: str
    value: str
    version: int
    create_revision: int
    lease: int


@attrs.define(frozen=True)
class Event:
    """A change under a watched prefix; ``value`` is None for a deletion."""

    revision: int
    key: str
    value: t.Optional[str]


@attrs.define(frozen=True)
class WatchBatch:
    """The result of one long poll: events and the store's revision.

    ``compacted`` means that the store has dropped events that the poll asked for, so
    the caller must read the keys again.
    """

    revision: int
    events: list
    compacted: bool = False


class StoreClient:
    """Calls to one store address over a shared tornado HTTP client.

    :param address: ``host:port`` of the store.
    :param timeout: seconds of one call.
    """

    #: The store's era, which rises when the store is restored from an older copy.
    #: Constant, as this store never is.
    era = 0

    def __init__(self, address, timeout=defaults.STORE_CALL_TIMEOUT_SECONDS):
        self.address = address
        self.timeout = timeout
        self.http = tornado.httpclient.AsyncHTTPClient()

    async def _call(self, method, path, body=None, timeout=None):
        try:
            status, document = await fetch_json(
                self.http, method, self.address, path, body, timeout or self.timeout
            )
        except (tornado.httpclient.HTTPClientError, OSError, ValueError) as error:
            # A write may have taken effect before its connection was cut: callers
            # of writes must read again before they retry.
            return Error(StoreError(f"store call {path} failed: {error}"))
        if status == 503:
            return Error(StoreError(f"store call {path}: outage"))
        return Ok((status, document))

    async def get(self, key):
        """Read ``key``: ``Ok(Item)``, or ``Ok(None)`` when it is absent."""
        result = await self._call("GET", f"/v1/kv/{quote(key)}")
        if result.is_error():
            return result
        status, document = result.ok
        if status == 404:
            return Ok(None)
        return Ok(_item(document))

    async def range(self, prefix):
        """Read every key under ``prefix``: ``Ok((revision, [Item]))``."""
        result = await self._call("GET", f"/v1/range?prefix={quote(prefix)}")
        if result.is_error():
            return result
        _, document = result.ok
        return Ok((document["revision"], [_item(d) for d in document["items"]]))

    async def put(self, key, value, expect_version=None, lease=0):
        """Write ``value``; ``expect_version`` 0 means the key must be absent.

        :returns: ``Ok(version)``, ``Error(VersionConflict)`` on a mismatch, or
            ``Error(StoreError)`` when the response was lost or the store is unavailable
            (the write may then have taken effect).
        """
        body = {"key": key, "value": value, "expect_version": expect_version}
        if lease:
            body["lease"] = lease
        return await self._compare_and_swap("/v1/put", body, "version")

    async def delete(self, key, expect_version=None):
        """Delete ``key``, optionally only at ``expect_version``."""
        body = {"key": key, "expect_version": expect_version}
        return await self._compare_and_swap("/v1/delete", body, "revision")

    async def write_all(self, values, removals):
        """Write ``values`` by key and delete ``removals``, one after the other.

        :returns: ``Ok(revision)``, or the first ``Error(StoreError)``; the changes
            before it have then been made.
        """
        revision = 0
        for key, value in values.items():
            written = await self.put(key, value)
            if written.is_error():
                return written
            revision = written.ok
        for key in removals:
            deleted = await self.delete(key)
            if deleted.is_error():
                return deleted
            revision = deleted.ok
        return Ok(revision)

    async def _compare_and_swap(self, path, body, field):
        """Send a compare-and-swap; return ``Ok`` with ``field`` of the response."""
        result = await self._call("POST", path, body)
        if result.is_error():
            return result
        status, document = result.ok
        if status == 409:
            current = document["current_version"]
            message = f"{body['key']} is at version {current}"
            return Error(VersionConflict(message, current))
        return Ok(document[field])

    async def watch(self, prefix, after, timeout=defaults.WATCH_TIMEOUT_SECONDS):
        """Long-poll for changes under ``prefix`` newer than revision ``after``.

        :param timeout: seconds for which the store waits for a change.
        :returns: ``Ok(WatchBatch)``, without events when the time is over.
        """
        path = f"/v1/watch?prefix={quote(prefix)}&after={after}&timeout={timeout}"
        result = await self._call("GET", path, timeout=timeout + self.timeout)
        if result.is_error():
            return result
        status, document = result.ok
        if status == 410:
            return Ok(WatchBatch(document["revision"], [], compacted=True))
        events = [
            Event(e["revision"], e["key"], e["value"]) for e in document["events"]
        ]
        return Ok(WatchBatch(document["revision"], events))

    async def grant(self, ttl):
        """Create a lease of ``ttl`` seconds: ``Ok(lease_id)``."""
        result = await self._call("POST", "/v1/lease/grant", {"ttl": ttl})
        if result.is_error():
            return result
        return Ok(result.ok[1]["lease"])

    async def keepalive(self, lease):
        """Extend ``lease``: ``Ok(True)``, or ``Ok(False)`` when it has expired."""
        result = await self._call("POST", "/v1/lease/keepalive", {"lease": lease})
        if result.is_error():
            return result
        return Ok(result.ok[0] == 200)

    async def revoke(self, lease):
        """Revoke ``lease``; the store deletes its keys."""
        result = await self._call("POST", "/v1/lease/revoke", {"lease": lease})
        return result.map(lambda _: True)


def _item(document):
    return Item(
        document["key"],
        document["value"],
        document["version"],
        document["create_revision"],
        document["lease"],
    )
