"""Decodes the documents that the operator and the instances write to the store."""

import json
import math

from .._http import check_address
from ..engine_report import EngineReport, RunReport
from ..exceptions import SettingsError, UpstreamError
from ..instances import INCARNATION_SEPARATOR, InstanceRecord, Stage
from ..request import Kind, RequestLimits, Route, RoutingConfig, ServiceSpec, Split
from ..scaling import AutoscaleSpec
from ..teams import Team

#: Prefix watched for the operator's configuration, which is a single key.
CONFIG_PREFIX = "op/"
CONFIG_KEY = "op/config"
#: Prefix of the records with which engines and services register themselves.
INSTANCE_PREFIX = "servers/"

#: Lower bound of a client's idle timeout: no client abandons a stream earlier.
MIN_CLIENT_IDLE_TIMEOUT_SECONDS = 2.0
#: Maximum length of a name or a version: VMs tell each other these in datagrams, of
#: which each has many.
MAX_TEXT_CHARS = 200
#: Maximum of a count: larger numbers aren't exact as floating-point numbers, and some
#: are none.
MAX_COUNT = 2**53
#: ``state`` of an instance that accepts work, and of one that is draining after a
#: planned notice.
READY = "ready"
DRAINING = "draining"
#: Raised while decoding a malformed document; RecursionError when JSON is nested too
#: deeply for the parser, OverflowError when a number is infinite.
DECODE_ERRORS = (ValueError, KeyError, TypeError, RecursionError, OverflowError)


def read_config(key, text):
    """Decode the operator's configuration.

    :param key: store key that ``text`` was read from.
    :returns: a :class:`RoutingConfig`, or None when ``key`` is another key.
    :raises SettingsError: when the document isn't JSON, lacks a field or has a value
        of the wrong type.
    """
    if key != CONFIG_KEY:
        return None
    try:
        document = json.loads(text)
        services = {row["name"]: _service(row) for row in document["services"]}
        return RoutingConfig(
            version=int(document["version"]),
            routes=tuple(_route(row) for row in document["routes"]),
            services=services,
            limits=_limits(document.get("limits") or {}),
            teams=_teams(document["tenants"]) if "tenants" in document else None,
        )
    except (AttributeError, *DECODE_ERRORS) as error:
        raise SettingsError(f"{key}: invalid configuration: {error!r}") from error


def _route(row):
    objective = row.get("target_latency_ms", row["timeout_ms"]) / 1000
    gap = row.get("target_gap_ms", row["timeout_ms"]) / 1000
    return Route(
        name=row["name"],
        host=row["host"],
        path_prefix=row["path_prefix"],
        kind=Kind(row["kind"]),
        splits=_splits(row),
        timeout=row["timeout_ms"] / 1000,
        latency_objective=objective,
        gap_objective=gap,
        # The document has no field for it: clients derive it from the objectives.
        client_idle_timeout=max(
            MIN_CLIENT_IDLE_TIMEOUT_SECONDS, 4 * objective, 8 * gap
        ),
        priority=int(row.get("priority", 0)),
        max_attempts=int(row.get("max_attempts", 1)),
        resumable=bool(row.get("resumable", False)),
        public=bool(row.get("public", False)),
    )


def _splits(row):
    # A route names either one service or a list of services with weights.
    if row.get("traffic_split"):
        return tuple(
            Split(part["service"], float(part["weight"]))
            for part in row["traffic_split"]
        )
    return (Split(row["service"], 1.0),)


def _service(row):
    engine = row.get("engine") or {}
    link = float(engine.get("link_mbps", 0))
    bits = 8 * float(engine.get("kv_token_bytes", 0))
    return ServiceSpec(
        name=row["name"],
        max_connections=int(row.get("max_connections", 100)),
        kv_tokens=int(engine.get("kv_tokens", 0)),
        slots=int(engine.get("slots", 0)),
        transfer_seconds_per_token=bits / (link * 1e6) if link > 0 else 0.0,
        autoscale=_autoscale(row.get("autoscale")),
        moves=engine.get("moves") is True,
    )


def _autoscale(row):
    if not row:
        return None
    spot_price = row.get("spot_price")
    return AutoscaleSpec(
        minimum=int(row["min"]),
        maximum=int(row["max"]),
        boot_seconds=float(row["boot_timeout_s"]),
        prices={name: float(price) for name, price in row["zone_prices"].items()},
        reclaimable_price=None if spot_price is None else float(spot_price),
    )


def _teams(rows):
    # The platform calls a team a tenant.
    return tuple(
        Team(
            name=_text(row["name"], "tenant name"),
            keys=_keys(row["api_keys"]),
            priority=None if row.get("priority") is None else int(row["priority"]),
        )
        for row in rows
    )


def _keys(values):
    # The error must not contain a value.
    if not isinstance(values, list):
        raise TypeError(f"api_keys: expected a list, got {type(values)}")
    for value in values:
        if not isinstance(value, str) or not value:
            raise TypeError(f"api_keys: expected non-empty strings, got {type(value)}")
    return tuple(values)


def _limits(row):
    # A limit that isn't stated, or is 0, has the default.
    limits = {
        "max_header_bytes": int(row.get("max_header_bytes", 0)),
        "max_body_bytes": int(row.get("max_body_bytes", 0)),
        "header_timeout": row.get("header_timeout_ms", 0) / 1000,
        "idle_timeout": row.get("idle_timeout_ms", 0) / 1000,
    }
    return RequestLimits(**{name: limit for name, limit in limits.items() if limit > 0})


def instance_id(key):
    """Return the instance id in the store key of an instance's record."""
    return key.removeprefix(INSTANCE_PREFIX)


def read_instance(key, text):
    """Decode the record of an instance into an :class:`InstanceRecord`.

    Anyone may write under :data:`INSTANCE_PREFIX`, so every field that decides
    where a request goes is validated; other fields are ignored.

    :raises SettingsError: when the document isn't a valid instance record.
    """
    try:
        row = _document(text)
        return InstanceRecord(
            id=_id(instance_id(key)),
            service=_short_text(row["service"], "service"),
            address=_address(row["address"]),
            # The platform calls a data centre a zone.
            data_centre=_short_text(row["zone"], "zone"),
            slots=_count(row["slots"], "slots"),
            draining=_draining(row["state"]),
            stage=_stage(row.get("stage")),
            started_at_ms=_started_at_ms(row),
            reclaimable=bool(row.get("spot", False)),
            version=_version(row.get("version")),
        )
    except DECODE_ERRORS as error:
        raise SettingsError(f"{key}: invalid instance record: {error!r}") from error


def read_report(body):
    """Decode an engine's report on itself into an :class:`EngineReport`.

    :raises UpstreamError: when the body isn't a valid report.
    """
    try:
        row = _document(body)
        return EngineReport(
            _stage(row["stage"]),
            _flag(row["busy"]),
            # In a report "sequence" counts accepted orders; in an instance record
            # the field of the same name counts heartbeats.
            _count(row["sequence"], "sequence"),
            _started_at_ms(row),
            row.get("state") == DRAINING,
            _leaves_seconds(row.get("leaves_ms")),
            _runs(row.get("runs")),
        )
    except DECODE_ERRORS as error:
        raise UpstreamError(f"invalid engine report: {error!r}") from error


def _leaves_seconds(value):
    """Return the seconds until an engine ends, None if it states no valid time."""
    valid = type(value) in (int, float) and 0 <= value < math.inf
    return value / 1000 if valid else None


def _runs(rows):
    """Return the valid :class:`RunReport` rows by request id; others are left out."""
    runs = {}
    for row in rows if isinstance(rows, list) else ():
        try:
            request_id, tokens, events = _text(row[0], "run"), row[1], row[2]
            runs[request_id] = RunReport(
                _count(tokens, "tokens"), _count(events, "events")
            )
        except (TypeError, ValueError, LookupError):
            continue
    return runs


def _document(text):
    # The store client decodes bytes that aren't UTF-8 to lone surrogates; encoding
    # raises for them.
    if isinstance(text, str):
        text.encode()
    row = json.loads(text)
    if not isinstance(row, dict):
        raise TypeError(f"expected a JSON object, got {type(row).__name__}")
    return row


def _is_text(value):
    """Return whether a value can be sent on in a datagram, a record or a log line.

    Lone surrogates, which no encoding of Unicode has, aren't printable either.
    """
    return isinstance(value, str) and value != "" and value.isprintable()


def _is_short_text(value):
    return _is_text(value) and len(value) <= MAX_TEXT_CHARS


def _text(value, name):
    if not _is_text(value):
        raise TypeError(f"{name}: expected a printable string, got {value!r:.40}")
    return value


def _short_text(value, name):
    if not _is_short_text(value):
        raise TypeError(f"{name}: expected a short string, got {value!r:.40}")
    return value


def _is_header_value(value):
    """Return whether a value arrives as it was sent in a header of any request."""
    return _is_short_text(value) and value.isascii() and value == value.strip()


def _id(value):
    if not _is_header_value(value) or INCARNATION_SEPARATOR in value:
        raise ValueError(f"id: expected ASCII without @, got {value!r:.40}")
    return value


def _flag(value):
    if not isinstance(value, bool):
        raise TypeError(f"expected a boolean, got {value!r:.40}")
    return value


def _count(value, name):
    # Not isinstance: bool is a subclass of int.
    if type(value) is not int or not 0 <= value <= MAX_COUNT:
        raise TypeError(f"{name}: expected a count, got {value!r:.40}")
    return value


def _address(value):
    check_address(_text(value, "address"))
    return value


def _draining(state):
    if state not in (READY, DRAINING):
        raise ValueError(f"state: expected ready or draining, got {state!r:.40}")
    return state == DRAINING


def _stage(value):
    if value is None:
        return Stage.NONE
    return Stage(value)


def _version(value):
    """Return the version of an instance's software, empty if it states no valid one."""
    # VMs state it to each other in a header.
    return value if _is_header_value(value) else ""


def _started_at_ms(row):
    return _count(row["born"], "born") if "born" in row else None
