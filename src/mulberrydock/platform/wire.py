"""Headers and bodies exchanged with the platform's clients and engines."""

import json
import math
import re

import tornado.httputil

from ..exceptions import UpstreamError
from ..ports import Wire
from ..request import (
    KvHandle,
    Prompt,
    PromptPart,
    Request,
    ResponseMetadata,
    UpstreamCall,
)
from .documents import DECODE_ERRORS, MAX_TEXT_CHARS, read_report

ATTEMPT_ID = "X-Mulberrydock-Attempt-Id"
AUTHORIZATION = "Authorization"
DEADLINE = "X-Mulberrydock-Deadline-Ms"
EXPECT_INSTANCE = "X-Mulberrydock-Expect-Instance"
INSTANCE_ID = "X-Mulberrydock-Instance-Id"
KV_SOURCE = "X-Mulberrydock-Kv-Source"
LAST_EVENT_ID = "Last-Event-Id"
LENGTH_HINT = "X-Mulberrydock-Length-Hint"
NOT_EXECUTED = "X-Mulberrydock-Not-Executed"
PRIORITY = "X-Mulberrydock-Request-Priority"
PROMPT_PREFIX = "X-Mulberrydock-Prompt-Prefix"
RESUMES = "Resumes"
RETRY_AFTER = "Retry-After"
SERVER_LEAVING = "Server-Leaving"
SERVER_LIMIT = "Server-Limit"
SIGNATURE = "X-Mulberrydock-Response-Signature"
STAGE = "X-Mulberrydock-Stage"
TEAM = "X-Mulberrydock-Tenant"
TOKEN_COUNTS = "X-Mulberrydock-Token-Counts"

#: Removed from client requests: only this system may set them, since a client's
#: value would change how an engine handles the request.
SYSTEM_HEADERS = frozenset(
    name.lower()
    for name in (
        DEADLINE,
        EXPECT_INSTANCE,
        KV_SOURCE,
        LAST_EVENT_ID,
        NOT_EXECUTED,
        PRIORITY,
        SIGNATURE,
        STAGE,
        TEAM,
        "X-Mulberrydock-Expect-Version",
        INSTANCE_ID,
        "X-Mulberrydock-Kv-Backup",
        "X-Mulberrydock-Kv-Hold",
        "X-Mulberrydock-Pin-Ms",
        "X-Mulberrydock-Weight-Versions",
        "Kv-Fetch",
        "Wait-Ms",
    )
)
#: Not among the headers that are passed on as they came. ``Authorization`` may hold an
#: API key, so it is kept apart.
SEPARATE_HEADERS = SYSTEM_HEADERS | {AUTHORIZATION.lower()}
#: Hop-by-hop headers (RFC 9110, section 7.6.1) and message framing; not forwarded.
HOP_HEADERS = frozenset(
    (
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)
#: Headers that identify a request and its prompt. They are forwarded even when the
#: client lists them in ``Connection``.
REQUIRED_HEADERS = frozenset(
    name.lower()
    for name in (ATTEMPT_ID, PROMPT_PREFIX, TOKEN_COUNTS, "X-Mulberrydock-Model")
)

#: Deadline of a request that states none, in milliseconds after its arrival.
DEFAULT_DEADLINE_MS = 60_000
#: Maximum of a client's number: milliseconds, tokens or events. Larger ones overflow
#: where they are multiplied.
MAX_QUANTITY = 10**9
#: Id of a KV handle: visible characters, so that no engine ends a line of a head.
HANDLE_ID = re.compile(r"[!-~]{1,%d}" % MAX_TEXT_CHARS)


class PlatformWire(Wire):
    """Implements :class:`~mulberrydock.ports.Wire` for the platform's headers."""

    def read_request(self, start_line, headers, body, now):
        return Request(
            id=self.read_id(headers),
            method=start_line.method,
            target=start_line.path,
            host=headers.get("Host", ""),
            headers=_end_to_end(headers, SEPARATE_HEADERS),
            body=body,
            arrived=now,
            deadline=now + self.read_time_limit(headers),
            prompt=_prompt(headers),
            last_event_id=int(_quantity(headers.get(LAST_EVENT_ID), 0)),
            authorization=tuple(headers.get_list(AUTHORIZATION)),
            resumes=headers.get(RESUMES, ""),
        )

    def read_id(self, headers):
        return headers.get(ATTEMPT_ID, "")

    def read_time_limit(self, headers):
        return _quantity(headers.get(DEADLINE), DEFAULT_DEADLINE_MS) / 1000

    def upstream_headers(self, request, options):
        headers = tornado.httputil.HTTPHeaders()
        headers["Host"] = request.host
        for name, value in request.headers:
            headers.add(name, value)
        for value in request.authorization:
            headers.add(AUTHORIZATION, value)
        if request.team:
            headers[TEAM] = request.team
        if request.body or request.method in ("POST", "PUT", "PATCH"):
            headers["Content-Length"] = str(len(request.body))
        headers[DEADLINE] = str(max(1, options.deadline_ms))
        headers[EXPECT_INSTANCE] = options.instance
        if request.prompt.tokens:
            headers[PRIORITY] = str(options.priority)
        if options.last_event_id:
            headers[LAST_EVENT_ID] = str(options.last_event_id)
        if options.prefill_only:
            headers[STAGE] = "prefill"
        if options.kv_source:
            source = options.kv_source
            headers[KV_SOURCE] = f"{source.address}/{source.id}"
        return headers

    def read_metadata(self, headers):
        return ResponseMetadata(
            request_id=headers.get(ATTEMPT_ID, ""),
            instance=headers.get(INSTANCE_ID, ""),
            signed=SIGNATURE in headers,
            not_executed=NOT_EXECUTED in headers,
            keep_alive_seconds=_keep_alive(headers),
            closing="close" in headers.get("Connection", "").lower(),
            limit=_rate_limit(headers),
            leaving=headers.get(SERVER_LEAVING, "0").strip() not in ("", "0"),
            retry_after=_retry_after(headers),
        )

    def response_headers(self, headers):
        """Return the end-to-end headers of an upstream's response.

        :returns: a list of (name, value) pairs.
        """
        return _end_to_end(headers, frozenset())

    def read_handle(self, address, body):
        try:
            document = json.loads(body)
            handle = _handle_id(document["kv_handle"])
            return KvHandle(address, handle, int(document["tokens"]))
        except DECODE_ERRORS as error:
            raise UpstreamError(
                f"unreadable prefill response from {address}: {error!r}"
            ) from error

    def release_call(self, handle):
        return UpstreamCall(
            "DELETE", f"/kv-handle/{handle.id}", {"Host": handle.address}
        )

    def move_call(self, record, request_id, destination, last):
        payload = json.dumps(
            {"id": request_id, "to": destination.address, "last": last}
        ).encode()
        return UpstreamCall("POST", "/kv-move", _call_headers(record, payload), payload)

    def read_move(self, address, body):
        try:
            handle = _handle_id(json.loads(body)["kv_handle"])
        except DECODE_ERRORS:
            return None
        return KvHandle(address, handle, 0)

    def report_call(self, record):
        return UpstreamCall(
            "GET",
            "/report",
            {"Host": record.address, EXPECT_INSTANCE: record.id},
        )

    def read_report(self, body):
        return read_report(body)

    def stage_order_call(self, record, stage, orders, holder, token):
        body = {
            "op": "stage",
            "stage": stage,
            "holder": holder,
            "fencing_token": token,
            "expected": orders,
        }
        payload = json.dumps(body).encode()
        return UpstreamCall("POST", "/order", _call_headers(record, payload), payload)


def _handle_id(value):
    """Check the id of a KV handle, which becomes a part of heads of requests."""
    if not isinstance(value, str) or not HANDLE_ID.fullmatch(value):
        raise TypeError(f"kv_handle: expected an id, got {value!r:.40}")
    return value


def _call_headers(record, payload):
    """Return the headers of a call with a body, to the instance of ``record`` only."""
    return {
        "Host": record.address,
        "Content-Type": "application/json",
        "Content-Length": str(len(payload)),
        EXPECT_INSTANCE: record.id,
    }


def _end_to_end(headers, dropped):
    # ``Connection`` lists further hop-by-hop headers of the sender.
    named = {n.strip().lower() for n in headers.get("Connection", "").split(",")}
    named -= REQUIRED_HEADERS
    return [
        (name, value)
        for name, value in headers.get_all()
        if name.lower() not in HOP_HEADERS
        and name.lower() not in dropped
        and name.lower() not in named
    ]


def _number(text, default):
    try:
        return float(text)
    except (TypeError, ValueError):
        return default


def _quantity(text, default):
    """Return a client's number, ``default`` if it is none that can be counted with."""
    number = _number(text, default)
    # Also false for NaN.
    return min(number, MAX_QUANTITY) if number >= 0 else default


def _keep_alive(headers):
    for part in headers.get("Keep-Alive", "").split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout":
            return _number(value, None)
    return None


def _rate_limit(headers):
    rate = _number(headers.get(SERVER_LIMIT), math.nan)
    return rate if math.isfinite(rate) else None


def _retry_after(headers):
    values = headers.get(RETRY_AFTER, "").split(",")
    seconds = [_number(value, -1) for value in values]
    # Also drops NaN, which compares as false.
    return max((s for s in seconds if s >= 0), default=None)


def _prompt(headers):
    counts = headers.get(TOKEN_COUNTS, "").split(",")
    tokens = int(_quantity(counts[0], 0))
    output = int(_quantity(counts[1], 0)) if len(counts) > 1 else 0
    hint = int(_quantity(headers.get(LENGTH_HINT), 0))
    return Prompt(tokens, output, _parts(headers.get(PROMPT_PREFIX, "")), hint)


def _parts(text):
    parts = []
    for entry in text.split(","):
        part_id, _, tokens = entry.strip().partition(":")
        if part_id:
            parts.append(PromptPart(part_id, int(_quantity(tokens, 0))))
    return tuple(parts)


def resolve_body(addresses, ttl_seconds):
    """Return the JSON body of a resolve response.

    :param addresses: ``host:port`` of the entry VMs that the client may use.
    :param ttl_seconds: seconds for which the client may cache the response.
    """
    return json.dumps({"addresses": addresses, "ttl_s": ttl_seconds}).encode()
