"""Usage counts as rows of Cap'n Proto messages, and as the store's record."""

from . import records
from .usage import UsageUpdate


def _rows(windows):
    """Return counts by team, by window, as rows of a message."""
    return [
        {"window": window, "teams": list(counts), "counts": list(counts.values())}
        for window, counts in sorted(windows.items())
    ]


def _decode_rows(rows):
    return {row.window: dict(zip(row.teams, row.counts)) for row in rows}


def encode_decisions(decisions):
    """Encode decisions (counts by team, by window) as the text of a record."""
    return records.encode(records.UsageDecisions.new_message(windows=_rows(decisions)))


def decode_decisions(text):
    """Decode the text of :func:`encode_decisions`.

    :raises Exception: one of capnp's or base64's types, when it is no such record.
    """
    return _decode_rows(records.decode(records.UsageDecisions, text).windows)


def update_row(update):
    """Return a :class:`~mulberrydock.usage.UsageUpdate` as a row of a peer message."""
    return {
        "startedAtMs": update.started_at_ms,
        "countedUntil": update.counted_until,
        "windows": _rows(update.windows),
    }


def decode_update(row):
    """Decode the row of :func:`update_row`."""
    return UsageUpdate(row.startedAtMs, row.countedUntil, _decode_rows(row.windows))
