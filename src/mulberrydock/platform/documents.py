"""Decodes the documents that the operator and the instances keep in the store."""

import ipaddress
import json

from ..exceptions import SettingsError, UpstreamError
from ..instances import EngineReport, InstanceRecord, Stage
from ..request import Kind, RequestLimits, Route, RoutingConfig, ServiceSpec, Split

#: Prefix of the operator's configuration; the whole of it is one key.
CONFIG_PREFIX = "op/"
CONFIG_KEY = "op/config"
#: Prefix of the records that engines and services keep of themselves.
INSTANCE_PREFIX = "servers/"

#: Seconds without an event for which a client keeps a stream at least.
LEAST_PATIENCE_SECONDS = 2.0
#: The platform's words for an instance that takes work, and for one that leaves
#: after a planned notice.
READY = "ready"
DRAINING = "draining"
#: What decoding raises for a document that isn't what it should be; too deep a
#: nesting ends the parser's recursion.
UNREADABLE = (ValueError, KeyError, TypeError, RecursionError)


def read_config(key, text):
    """Return the :class:`RoutingConfig` in ``text``, None for another key.

    :raises SettingsError: when the document lacks a field.
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
        )
    except (AttributeError, *UNREADABLE) as error:
        raise SettingsError(f"{key}: {error!r}") from error


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
        # No field of its own: clients derive it from the two objectives.
        client_idle_timeout=max(LEAST_PATIENCE_SECONDS, 4 * objective, 8 * gap),
        priority=int(row.get("priority", 0)),
        max_attempts=int(row.get("max_attempts", 1)),
        resumable=bool(row.get("resumable", False)),
    )


def _splits(row):
    # A route names either one service or a weighted list of them.
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
    )


def _limits(row):
    return RequestLimits(
        max_header_bytes=int(row.get("max_header_bytes", 16384)),
        max_body_bytes=int(row.get("max_body_bytes", 4194304)),
        idle_timeout=row.get("idle_timeout_ms", 15000) / 1000,
    )


def instance_id(key):
    """Return the instance id in a record's key."""
    return key.removeprefix(INSTANCE_PREFIX)


def read_instance(key, text):
    """Return the :class:`InstanceRecord` in ``text``.

    Anyone may write under the prefix, so every field that decides where a
    request goes is checked; the others don't matter.

    :raises SettingsError: when the document is no instance's.
    """
    try:
        row = _document(text)
        return InstanceRecord(
            id=_text(instance_id(key), "id"),
            service=_text(row["service"], "service"),
            address=_address(row["address"]),
            # The platform's zone is a data centre.
            data_centre=_text(row["zone"], "zone"),
            slots=_count(row["slots"], "slots"),
            draining=_draining(row["state"]),
            stage=_stage(row.get("stage")),
            started_at_ms=_born(row),
        )
    except UNREADABLE as error:
        raise SettingsError(f"{key}: {error!r}") from error


def read_report(body):
    """Return the :class:`EngineReport` in an engine's answer.

    :raises UpstreamError: when the body isn't such an answer.
    """
    try:
        row = _document(body)
        return EngineReport(
            _stage(row["stage"]),
            _flag(row["busy"]),
            # Here "sequence" counts accepted orders; in an instance's record
            # the same name counts its heartbeats.
            _count(row["sequence"], "sequence"),
            _born(row),
        )
    except UNREADABLE as error:
        raise UpstreamError(f"engine report: {error!r}") from error


def _document(text):
    # Bytes that were no UTF-8 come as lone surrogates, see the store's client;
    # they may stand in a name that otherwise looks sound.
    if isinstance(text, str):
        text.encode()
    row = json.loads(text)
    if not isinstance(row, dict):
        raise TypeError(f"{type(row).__name__} instead of an object")
    return row


def _text(value, name):
    if not isinstance(value, str) or not value:
        raise TypeError(f"{name} is {value!r:.40}")
    return value


def _flag(value):
    if not isinstance(value, bool):
        raise TypeError(f"flag is {value!r:.40}")
    return value


def _count(value, name):
    # JSON's true and false would pass as numbers.
    if type(value) is not int or value < 0:
        raise TypeError(f"{name} is {value!r:.40}")
    return value


def _address(value):
    host, _, port = _text(value, "address").rpartition(":")
    ipaddress.IPv4Address(host)
    if not port.isdecimal() or not 0 < int(port) < 65536:
        raise ValueError(f"address is {value!r:.40}")
    return value


def _draining(word):
    if word not in (READY, DRAINING):
        raise ValueError(f"state is {word!r:.40}")
    return word == DRAINING


def _stage(word):
    if word is None:
        return Stage.NONE
    return Stage(word)


def _born(row):
    return _count(row["born"], "born") if "born" in row else None
