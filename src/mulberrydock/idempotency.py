"""At-most-once calls to application services, by idempotency records.

Before a non-idempotent call (a renewal record, a playlist ticket) the entry creates
``idempotency/<tenant>/<kind>/<key>`` by compare-and-swap, then calls the service once,
then stores the response in the record. A repeat of the key gets the stored response.
"Not run" is answered only when the call provably was not sent: the record could not be
created, or no connection was opened.
"""

import asyncio
import json
import time
import uuid

import attrs

from . import defaults, records, upstream
from .exceptions import ResultCode, UpstreamError, VersionConflict
from .refusal import FUTILE_RETRY_SECONDS
from .request import fingerprint
from .routing import Work

#: Attempts to write the final record before it is left to a later read.
COMPLETE_ATTEMPTS = 20
#: Attempts to claim a key, against conflicts and lost responses of the store.
CLAIM_ATTEMPTS = 5
#: Checks for an abandoned claim, ``STORE_RETRY_SECONDS`` from one to the next.
RESOLVE_ATTEMPTS = 480
#: Multiple of the class deadline after which a started call has ended.
CALL_LIMIT_FACTOR = 3.0
#: Methods of calls that are safe to repeat; others need an idempotency key.
SAFE_METHODS = ("GET", "HEAD")


@attrs.define
class Outcome:
    """The HTTP response to the client; ``retry_after`` is in seconds, None for none."""

    status: int
    code: ResultCode
    body: bytes
    retry_after: int = None


def _error(status, code, message, retry_after=None):
    body = json.dumps(
        {"error": {"code": int(code), "type": code.name, "message": message}}
    )
    return Outcome(status, code, body.encode(), retry_after)


def _quarantined():
    retry_after = int(FUTILE_RETRY_SECONDS)
    message = "instances crashed under such a call"
    return _error(503, ResultCode.QUARANTINED, message, retry_after)


class RecordLeases:
    """Leases that expire old idempotency records.

    One lease serves all records that this entry creates within half of the retention
    time, so a record needs no lease call of its own and lives for at least the
    retention time.

    :param store: a :class:`~mulberrydock.store.StoreClient`.
    :param retention_seconds: minimum life of a record.
    """

    def __init__(self, store, retention_seconds):
        self.store = store
        self.retention_seconds = retention_seconds
        self.lease = None
        self.granted_at = 0.0

    async def current(self, now):
        """Return the lease for records created now, None if the store didn't grant one.

        :param now: monotonic seconds.
        """
        age = now - self.granted_at
        if self.lease is None or age >= self.retention_seconds / 2:
            granted = await self.store.grant(self.retention_seconds * 1.5)
            if granted.is_error():
                return None
            self.lease, self.granted_at = granted.ok, now
        return self.lease

    def invalidate(self):
        """Request a new lease for the next record."""
        self.lease = None


@attrs.define
class IdempotentCall:
    """One call to a service instance, with an idempotency record when needed.

    ``fingerprint`` identifies the work that the call asks for, in all its attempts.
    """

    daemon: object
    kind: str
    route: str
    method: str
    tenant: str
    key: str
    body: bytes
    deadline_seconds: float
    attempt: str = attrs.field(factory=lambda: uuid.uuid4().hex)
    fingerprint: str = attrs.field(init=False)

    @fingerprint.default
    def _fingerprint(self):
        return fingerprint(self.method, self.kind, self.route, self.tenant, self.body)

    @classmethod
    def for_request(cls, handler, kind, route):
        """Build the call from a tornado handler's request."""
        return cls(
            handler.daemon,
            kind,
            route,
            handler.request.method,
            handler.tenant,
            handler.request.headers.get(defaults.IDEMPOTENCY_HEADER, ""),
            handler.request.body or b"",
            handler.klass.deadline_seconds,
        )

    @property
    def record_key(self):
        """The store key of the idempotency record."""
        return f"{defaults.IDEMPOTENCY_PREFIX}{self.tenant}/{self.kind}/{self.key}"

    def idempotent(self):
        """Return whether the call may be repeated: reads and routes declared safe."""
        if self.method in SAFE_METHODS:
            return True
        first = self.route.split("/", 1)[0]
        routes = {
            r
            for s in self.daemon.settings.services
            if s.kind == self.kind
            for r in s.non_idempotent_routes
        }
        return first not in routes

    async def run(self, now):
        """Make the call and return the :class:`Outcome` for the client."""
        crash_guard = self.daemon.crash_guard
        if crash_guard.is_quarantined(self.fingerprint):
            return _quarantined()
        outcome = None
        try:
            outcome = await self._run(now)
        finally:
            served = outcome is not None and outcome.status < 400
            crash_guard.record_request_end(self.fingerprint, served)
        return outcome

    async def _run(self, now):
        if self.idempotent():
            return await self._call_with_retry(now)
        if not self.key:
            return _error(
                400,
                ResultCode.MISSING_IDEMPOTENCY_KEY,
                f"{defaults.IDEMPOTENCY_HEADER} is required for {self.route}",
            )
        claim = await self._claim()
        if isinstance(claim, Outcome):
            return claim
        outcome = await self._call_once(claim, now)
        return outcome

    def _record(self, state, status=0, body=b""):
        return records.encode(
            records.IdempotencyRecord.new_message(
                owner=self.daemon.entry.name,
                attempt=self.attempt,
                state=state,
                status=status,
                body=body,
                createdAt=time.time(),
            )
        )

    async def _claim(self):
        """Create the record.

        :returns: its version, or the :class:`Outcome` to answer with at once.
        """
        store = self.daemon.store
        expect = 0
        for _ in range(CLAIM_ATTEMPTS):
            lease = await self.daemon.record_leases.current(time.monotonic())
            if lease is None:
                # An outage, or a lost response to the grant: nothing is claimed.
                continue
            written = await store.put(
                self.record_key, self._record("started"), expect, lease
            )
            if written.is_ok():
                return written.ok
            if isinstance(written.error, VersionConflict):
                if written.error.current == expect:
                    # Refused because of the lease: it has expired at the store.
                    self.daemon.record_leases.invalidate()
            # A conflict or a lost response: read again to find out who holds the key.
            read = await store.get(self.record_key)
            if read.is_error():
                self.daemon.run_in_background(self._resolve_abandoned_claim())
                return _error(503, ResultCode.NOT_RUN, "store unavailable", 1)
            if read.ok is None:
                expect = 0
                continue
            found = records.decode(records.IdempotencyRecord, read.ok.value)
            if found.attempt == self.attempt:
                return read.ok.version
            if str(found.state) != "notRun":
                return self._outcome_of_repeat(found, time.time())
            expect = read.ok.version
        self.daemon.run_in_background(self._resolve_abandoned_claim())
        return _error(503, ResultCode.NOT_RUN, "could not record the call", 1)

    def _outcome_of_repeat(self, found, wall_now):
        """Return the :class:`Outcome` for a repeat of another attempt's call.

        :param wall_now: Unix time, seconds.
        """
        if str(found.state) == "done":
            return Outcome(found.status, ResultCode.REPLAYED, bytes(found.body))
        if wall_now - found.createdAt < CALL_LIMIT_FACTOR * self.deadline_seconds:
            return _error(
                409,
                ResultCode.IN_PROGRESS,
                "an earlier call with this key has not ended",
                defaults.RETRY_AFTER_SECONDS,
            )
        # Its entry stopped during the call, which may have run: the call is never made
        # again, and the client gets an error instead of waiting for a response.
        return _error(
            502,
            ResultCode.OUTCOME_UNKNOWN,
            "an earlier call with this key may have run",
        )

    async def _resolve_abandoned_claim(self):
        """Resolve a claim whose write is unconfirmed, after an outage of the store.

        The client got NOT_RUN. If the claim reached the store after all, a repeat of
        the key would find a call in progress that nobody makes, and the renewal would
        be lost; so the record is marked as not run.
        """
        store = self.daemon.store
        for _ in range(RESOLVE_ATTEMPTS):
            read = await store.get(self.record_key)
            if read.is_ok():
                if read.ok is None:
                    return
                found = records.decode(records.IdempotencyRecord, read.ok.value)
                if found.attempt != self.attempt or str(found.state) != "started":
                    return
                await self._write_record("notRun", read.ok.version)
            await asyncio.sleep(defaults.STORE_RETRY_SECONDS)

    async def _write_record(self, state, version, status=0, body=b""):
        lease = await self.daemon.record_leases.current(time.monotonic())
        return await self.daemon.store.put(
            self.record_key, self._record(state, status, body), version, lease or 0
        )

    async def _call_once(self, version, now):
        service = self.daemon.services[self.kind].choose("", set(), Work(), now)
        if service is None:
            await self._complete(version, "notRun")
            return _error(503, ResultCode.NOT_RUN, "no instance", 1)
        try:
            status, body = await self._send(service)
        except UpstreamError as error:
            await self._record_failure(service, error)
            if error.code == ResultCode.NOT_RUN:
                await self._complete(version, "notRun")
                return _error(503, ResultCode.NOT_RUN, str(error), 1)
            # The request was sent and may have run: the record stays "started".
            return _error(502, ResultCode.OUTCOME_UNKNOWN, str(error))
        await self._complete(version, "done", status, body)
        return Outcome(status, ResultCode.OK, body)

    async def _complete(self, version, state, status=0, body=b""):
        store = self.daemon.store
        for _ in range(COMPLETE_ATTEMPTS):
            written = await self._write_record(state, version, status, body)
            if written.is_ok():
                return True
            if isinstance(written.error, VersionConflict):
                # The earlier write took effect but its response was lost.
                read = await store.get(self.record_key)
                if read.is_ok() and read.ok is not None:
                    found = records.decode(records.IdempotencyRecord, read.ok.value)
                    if found.attempt == self.attempt and str(found.state) == state:
                        return True
                    version = read.ok.version
            await asyncio.sleep(defaults.STORE_RETRY_SECONDS)
        return False

    async def _call_with_retry(self, now):
        tried = set()
        may_have_run = False
        router = self.daemon.services[self.kind]
        for _ in range(2):
            service = router.choose("", tried, Work(), now)
            if service is None:
                break
            tried.add(service.name)
            try:
                status, body = await self._send(service)
            except UpstreamError as error:
                router.record_failure(service, time.monotonic())
                may_have_run |= error.code != ResultCode.NOT_RUN
                await self._record_failure(service, error)
                if self.daemon.crash_guard.is_quarantined(self.fingerprint):
                    break
                continue
            return Outcome(status, ResultCode.OK, body)
        if may_have_run:
            message = "no instance answered; one may have run it"
            return _error(502, ResultCode.UPSTREAM_FAILED, message)
        return _error(503, ResultCode.NO_UPSTREAM, "no instance answered", 1)

    async def _record_failure(self, service, error):
        """Record a failed call if its instance crashed under it."""
        call = f"{self.attempt}/{uuid.uuid4().hex}"
        await self.daemon.crash_guard.record_failure(
            self.fingerprint, service, call, error
        )

    async def _send(self, service):
        chunks = []
        response = await upstream.exchange(
            service.address,
            self.method,
            f"/v1/{self.route}",
            {"Content-Type": "application/json", defaults.IDEMPOTENCY_HEADER: self.key},
            self.body,
            chunks.append,
            total_timeout=self.deadline_seconds,
        )
        return response.status, b"".join(chunks)
