"""Load generator: sends a deployment's request mix to its entries.

The client behaves as the deployments' clients do: it asks an entry for the entry list,
caches it for its ttl, chooses an entry, and sends its request there. Each response is
checked for completeness and for its request's id. The report counts per class the
requests that were answered once, completely and within their deadline.
"""

import asyncio
import json
import random
import time
import uuid

import attrs
import tornado.httpclient

from . import defaults

#: Shortest wait before a retry, which may ask for the entry list again.
MIN_RETRY_PAUSE_SECONDS = 0.05


@attrs.define(frozen=True)
class RequestKind:
    """One kind of request: its class, route, sizes in tokens and form.

    :param klass: the request class, sent in the class header.
    :param route: ``completion``, ``chat``, ``status`` or a non-idempotent route.
    :param shared_tokens: the part of the prompt that is the tenant's template for this
        class, equal in all its requests.
    :param own_tokens: the part of the prompt that is the request's own.
    :param max_tokens: tokens of the response.
    :param stream: whether the response is streamed.
    :param service: the kind of service that a route other than ``completion`` and
        ``chat`` calls.
    """

    klass: str
    route: str
    shared_tokens: int = 0
    own_tokens: int = 0
    max_tokens: int = 0
    stream: bool = False
    service: str = ""


@attrs.define(frozen=True)
class RequestRate:
    """A kind of request and its rate in requests a second."""

    kind: RequestKind
    rate: float


@attrs.define(frozen=True)
class Phase:
    """A part of a run: the request mix and how many seconds it is sent."""

    name: str
    mix: tuple
    seconds: float


LETTER = RequestKind("letter", "chat", 540, 660, 38, True)
LONG_LETTER = attrs.evolve(LETTER, shared_tokens=100, own_tokens=100, max_tokens=120)
SLIP = RequestKind("slip-check", "completion", 64, 180, 2)
QUERY = RequestKind("query", "chat", 64, 60, 29, True)
STATUS = RequestKind("status", "status", service="pass-registry")
RENEWAL = RequestKind("renewal", "renewals", service="pass-registry")

SUMMARY = RequestKind("summary", "completion", 540, 660, 38)
CAPTION = RequestKind("caption", "chat", 64, 60, 29, True)
LONG_CAPTION = attrs.evolve(CAPTION, max_tokens=90)
RATING = RequestKind("rating", "completion", 64, 180, 2)
INGEST = RequestKind("ingest", "status", service="booking")
TICKET = RequestKind("ticket", "tickets", service="booking")


def _mix(*pairs):
    return tuple(RequestRate(kind, rate) for kind, rate in pairs)


#: The steady request mix by deployment. Prompt sizes are a tenth, and request rates
#: half, of the deployments' design load, because the stand-in engines prefill and
#: decode about a tenth as fast as real ones.
MIXES = {
    "lagos": _mix((LETTER, 4), (QUERY, 6), (SLIP, 8), (STATUS, 5), (RENEWAL, 3)),
    "montevideo": _mix(
        (SUMMARY, 4), (CAPTION, 6), (RATING, 8), (INGEST, 5), (TICKET, 3)
    ),
}
#: Mixes with a higher and a lower ratio of prompt to output tokens.
LONG_PROMPTS = {
    "lagos": _mix((LETTER, 10), (QUERY, 4), (SLIP, 10), (STATUS, 5), (RENEWAL, 3)),
    "montevideo": _mix(
        (SUMMARY, 10), (CAPTION, 4), (RATING, 10), (INGEST, 5), (TICKET, 3)
    ),
}
LONG_ANSWERS = {
    "lagos": _mix((LONG_LETTER, 6), (QUERY, 10), (SLIP, 4), (STATUS, 10), (RENEWAL, 3)),
    "montevideo": _mix(
        (SUMMARY, 1), (LONG_CAPTION, 12), (RATING, 4), (INGEST, 10), (TICKET, 3)
    ),
}
MODELS = {"lagos": "pass-letters-7b", "montevideo": "trailer-notes-7b"}
#: Latency targets at the 95th percentile: to the first token, and between two tokens.
FIRST_TOKEN_TARGET_SECONDS = 0.58
TOKEN_GAP_TARGET_SECONDS = 0.079
#: Result codes after which any request may be sent again, as it has not run.
NOT_RUN_CODES = (200, 201, 202, 205, 300)
#: Result codes after which another entry should be asked.
OTHER_ENTRY_CODES = (201, 205)
#: Result codes after which a completion or chat request may be sent again, as
#: generating twice is safe.
REPEATABLE_CODES = NOT_RUN_CODES + (301, 401, 402)


def shift_phases(deployment, seconds):
    """Return phases in which the ratio of prompt to output tokens shifts.

    These are a steady mix, long prompts, long answers and the steady mix again,
    ``seconds`` each.
    """
    return [
        Phase("steady", MIXES[deployment], seconds),
        Phase("long prompts", LONG_PROMPTS[deployment], seconds),
        Phase("long answers", LONG_ANSWERS[deployment], seconds),
        Phase("steady again", MIXES[deployment], seconds),
    ]


@attrs.define
class Result:
    """The result of one request as the client saw it.

    :param ok: whether the final response has status 200.
    :param complete: whether the response is complete and this request's own.
    :param seconds: the time from the first attempt to the final response.
    :param deadline: the deadline of the request's class, in seconds.
    :param code: the result code of the last response, 0 without one.
    :param key: the idempotency key.
    :param first_token: seconds until the first chunk, for streams only.
    :param gaps: seconds between the chunks, for streams only.
    """

    klass: str
    tenant: str
    ok: bool
    complete: bool
    seconds: float
    deadline: float
    code: int = 0
    key: str = ""
    attempts: int = 1
    first_token: float = 0.0
    gaps: list = attrs.field(factory=list)

    @property
    def good(self):
        """Whether it was answered completely and within its deadline."""
        return self.ok and self.complete and self.seconds <= self.deadline


class LoadClient:
    """A client with a cached entry list.

    :param entry_addresses: entries to ask for the first list.
    :param deployment: the deployment's name.
    :param deadlines: seconds by class name.
    :param seed: of the random choices of entries and prompts.
    """

    def __init__(self, entry_addresses, deployment, deadlines, seed=0):
        self.entry_addresses = list(entry_addresses)
        self.deployment = deployment
        self.deadlines = deadlines
        self.random = random.Random(seed)
        self.entries = []
        self.expires_at = 0.0
        self.http = tornado.httpclient.AsyncHTTPClient(max_clients=200)

    async def choose_entry(self, now):
        """Return the address of a random entry.

        The entry list is fetched again when the cached one has expired.

        :param now: monotonic seconds.
        """
        if now >= self.expires_at or not self.entries:
            for address in self.random.sample(
                self.entry_addresses, len(self.entry_addresses)
            ):
                try:
                    response = await self.http.fetch(
                        f"http://{address}/v1/entries", request_timeout=2
                    )
                except Exception:
                    continue
                document = json.loads(response.body)
                self.entries = [e["address"] for e in document["entries"]]
                self.entry_addresses = self.entries or self.entry_addresses
                self.expires_at = now + document["ttl_seconds"]
                break
        return self.random.choice(self.entries or self.entry_addresses)

    def drop_entry(self, address):
        """Remove ``address`` from the cached list after it refused or failed."""
        self.entries = [e for e in self.entries if e != address]
        self.expires_at = 0.0

    def _prompt(self, kind, tenant):
        template = [f"{tenant}/{kind.klass}/{i}" for i in range(kind.shared_tokens)]
        own = [str(self.random.getrandbits(32)) for _ in range(kind.own_tokens)]
        return " ".join(template + own)

    def _request(self, address, kind, tenant, on_chunk):
        headers = {defaults.TENANT_HEADER: tenant, defaults.CLASS_HEADER: kind.klass}
        base = f"http://{address}"
        if kind.route in ("completion", "chat"):
            body = {
                "model": MODELS[self.deployment],
                "max_tokens": kind.max_tokens,
                "stream": kind.stream,
            }
            if kind.route == "chat":
                body["messages"] = [
                    {"role": "user", "content": self._prompt(kind, tenant)}
                ]
                path = "/v1/chat/completions"
            else:
                body["prompt"] = self._prompt(kind, tenant)
                path = "/v1/completions"
            return tornado.httpclient.HTTPRequest(
                base + path,
                method="POST",
                body=json.dumps(body),
                headers=headers | {"Content-Type": "application/json"},
                streaming_callback=on_chunk if kind.stream else None,
                request_timeout=self.deadlines[kind.klass] * 2,
            )
        if kind.route == "status":
            subject = self.random.randrange(10000)
            return tornado.httpclient.HTTPRequest(
                f"{base}/v1/services/{kind.service}/status/{subject}",
                headers=headers,
                request_timeout=self.deadlines[kind.klass] * 2,
            )
        return tornado.httpclient.HTTPRequest(
            f"{base}/v1/services/{kind.service}/{kind.route}",
            method="POST",
            body=json.dumps({"subject": self.random.randrange(10000)}),
            headers=headers,
            request_timeout=self.deadlines[kind.klass] * 2,
        )

    async def send(self, kind, tenant):
        """Send one request, and retry it where that is safe until its deadline.

        :returns: its :class:`Result`.
        """
        key = uuid.uuid4().hex
        deadline = self.deadlines[kind.klass]
        started = time.monotonic()
        result = Result(kind.klass, tenant, False, False, 0.0, deadline, key=key)
        result.attempts = 0
        while time.monotonic() - started < deadline:
            result.attempts += 1
            pause = await self._attempt(kind, tenant, key, started, result)
            if pause is None:
                break
            await asyncio.sleep(pause)
        result.seconds = time.monotonic() - started
        return result

    async def _attempt(self, kind, tenant, key, started, result):
        """Make one attempt and record it in ``result``.

        :returns: seconds to wait before the next attempt, None when the result is
            final.
        """
        address = await self.choose_entry(time.monotonic())
        chunks, times = [], []

        def on_chunk(chunk):
            chunks.append(chunk)
            times.append(time.monotonic())

        request = self._request(address, kind, tenant, on_chunk)
        request.headers[defaults.IDEMPOTENCY_HEADER] = key
        generates = kind.route in ("completion", "chat")
        try:
            response = await self.http.fetch(request, raise_error=False)
        except Exception:
            response = None
        if response is None or response.code == 599:
            # A non-idempotent call may have run: its idempotency key makes the retry
            # safe.
            self.drop_entry(address)
            return MIN_RETRY_PAUSE_SECONDS
        result.code = int(response.headers.get(defaults.RESULT_HEADER, "0") or 0)
        repeatable = REPEATABLE_CODES if generates else NOT_RUN_CODES
        if result.code in repeatable:
            if result.code in OTHER_ENTRY_CODES:
                self.drop_entry(address)
            pause = float(response.headers.get("Retry-After", 0))
            return max(pause, MIN_RETRY_PAUSE_SECONDS)
        body = b"".join(chunks) if kind.stream else (response.body or b"")
        result.ok = response.code == 200
        result.complete = result.ok and _is_complete(kind, response, body)
        if times:
            result.first_token = times[0] - started
            result.gaps = [b - a for a, b in zip(times, times[1:])]
        return None


def _is_complete(kind, response, body):
    """Return whether a response is complete and carries this request's id only."""
    if kind.route not in ("completion", "chat"):
        return bool(body)
    request_id = response.headers.get(defaults.REQUEST_ID_HEADER, "")
    if kind.stream:
        events = [e for e in body.split(b"\n\n") if e.strip()]
        if not events or events[-1].strip() != b"data: [DONE]":
            return False
        texts = []
        for event in events[:-1]:
            chunk = json.loads(event[len(b"data: ") :])
            if chunk.get("id") != request_id:
                return False
            texts.append(chunk["choices"][0]["delta"].get("content", ""))
        text = "".join(texts)
    else:
        document = json.loads(body)
        if document.get("id") != request_id:
            return False
        choice = document["choices"][0]
        text = choice.get("text") or choice.get("message", {}).get("content", "")
    expected = "".join(f" {request_id[:8]}:{i}" for i in range(kind.max_tokens))
    return text == expected


async def run_phases(
    entry_addresses, deployment, deadlines, phases, seed=0, tenants=48
):
    """Send each :class:`Phase` in turn; return every :class:`Result`.

    Arrivals are a Poisson process of the phase's total rate, the same for the same
    ``seed`` in every run.
    """
    client = LoadClient(entry_addresses, deployment, deadlines, seed)
    rng = random.Random(seed)
    tasks = []
    next_arrival = time.monotonic()
    for phase in phases:
        end = next_arrival + phase.seconds
        kinds = [s.kind for s in phase.mix]
        rates = [s.rate for s in phase.mix]
        while next_arrival < end:
            await asyncio.sleep(max(0.0, next_arrival - time.monotonic()))
            kind = rng.choices(kinds, weights=rates)[0]
            tenant = f"tenant-{rng.randrange(tenants)}"
            tasks.append(asyncio.ensure_future(client.send(kind, tenant)))
            next_arrival += rng.expovariate(sum(rates))
    return await asyncio.gather(*tasks)


async def run_load(entry_addresses, deployment, deadlines, seconds, scale=1.0, seed=0):
    """Send the deployment's steady mix for ``seconds`` at ``scale`` times its rates."""
    mix = tuple(attrs.evolve(s, rate=s.rate * scale) for s in MIXES[deployment])
    phases = [Phase("steady", mix, seconds)]
    return await run_phases(entry_addresses, deployment, deadlines, phases, seed)


def _percentile(values, fraction):
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def summarise(results, key=lambda r: r.klass):
    """Return one row per value of ``key``, in sorted order.

    A row has the counts, percentiles of the response times in seconds, and for streams
    the 95th percentile of the time to the first token and of the gaps.
    """
    rows = []
    for name in sorted({key(r) for r in results}):
        group = [r for r in results if key(r) == name]
        seconds = [r.seconds for r in group if r.ok]
        streams = [r for r in group if r.gaps]
        gaps = [g for r in streams for g in r.gaps]
        rows.append(
            {
                "class": name,
                "sent": len(group),
                "good": sum(r.good for r in group),
                "late": sum(r.ok and r.complete and not r.good for r in group),
                "broken": sum(r.ok and not r.complete for r in group),
                "failed": sum(not r.ok for r in group),
                "p50": round(_percentile(seconds, 0.50), 4),
                "p95": round(_percentile(seconds, 0.95), 4),
                "p99": round(_percentile(seconds, 0.99), 4),
                "first p95": round(
                    _percentile([r.first_token for r in streams], 0.95), 3
                ),
                "gap p95": round(_percentile(gaps, 0.95), 3),
            }
        )
    return rows


def on_target_share(results):
    """Return (share of streams, share of gaps) that met their latency target.

    The targets are :data:`FIRST_TOKEN_TARGET_SECONDS` for a stream's first token and
    :data:`TOKEN_GAP_TARGET_SECONDS` for the gaps between its tokens.
    """
    streams = [r for r in results if r.gaps]
    gaps = [g for r in streams for g in r.gaps]
    within_first = sum(r.first_token <= FIRST_TOKEN_TARGET_SECONDS for r in streams)
    within_gap = sum(g <= TOKEN_GAP_TARGET_SECONDS for g in gaps)
    return within_first / max(1, len(streams)), within_gap / max(1, len(gaps))


def render_table(rows):
    """Return ``rows`` of :func:`summarise` as a fixed-width text table."""
    columns = list(rows[0]) if rows else []
    lines = ["  ".join(f"{c:>10}" for c in columns)]
    for row in rows:
        lines.append("  ".join(f"{row[c]!s:>10}" for c in columns))
    total = sum(r["sent"] for r in rows)
    good = sum(r["good"] for r in rows)
    lines.append(f"goodput: {good}/{total} answered once, completely and in time")
    return "\n".join(lines)
