"""Traces of a request from the log lines of several VMs."""

import json
import pathlib
import re

import pytest

from mulberrydock.request import part_works
from mulberrydock.trace import LogLine, build_trace, read_lines

ROOT = pathlib.Path(__file__).parents[1]
START = "2026-01-01T10:00:00.%03dZ"


def line(milliseconds, event, process="entry-1", **fields):
    """Return a log line as a VM writes it."""
    at = START % milliseconds
    return json.dumps({"at": at, "event": event, "process": process, **fields})


SENT = line(100, "send", request="r1", instance="e1")
ENDED = {"request": "r1", "seconds": 2.4, "prefills": 1, "sends": 0}

CASES = {
    "unknown": ([], "no line names this request"),
    "whole": (
        [line(9, "answered", code="OK", first_event=0.1, cause="", **ENDED)],
        "answered whole: first event after 0.1 s",
    ),
    "refused": (
        [
            line(5, "rejected", request="r1", status=503, reason="no instance"),
        ],
        "answered 503 by the VM itself: no instance",
    ),
    "cut": (
        [
            SENT,
            line(300, "attempt failed", request="r1", instance="e1", error="cut"),
            line(301, "answered", code="STREAM_CUT", cause="e1: cut", **ENDED),
        ],
        "STREAM_CUT after 2.4 s: e1: cut",
    ),
    "left while prefilling": (
        [line(400, "client left", first_event=None, **ENDED)],
        "while its prompt waited to be prefilled",
    ),
    "left before the first event": (
        [SENT, line(400, "client left", first_event=None, **ENDED)],
        "before e1 gave a first event",
    ),
    "forwarded": (
        [
            line(1, "forward", request="r1", peer="entry-2"),
            line(2, "forwarded request", "entry-2", request="r1", sender="entry-1"),
            line(400, "answered", code="NO_UPSTREAM", cause="entry-2: full", **ENDED),
            line(401, "client left", "entry-2", first_event=None, **ENDED),
        ],
        "NO_UPSTREAM after 2.4 s: entry-2: full",
    ),
    "power lost": ([SENT], "entry-1 ended or lost power"),
}


@pytest.mark.parametrize(("rows", "cause"), CASES.values(), ids=CASES)
def test_cause_of_a_request(rows, cause):
    """The request's own lines say how it ended, or that its VM ended while it ran.

    Guards against a way for a request to end that an operator, who knows only the
    request's id, can't find in the logs.
    """
    lines = read_lines([[*rows, line(1, "answered", request="r2", code="OK")]])
    assert cause in build_trace(lines, "r1").cause


def test_trace_is_ordered_and_includes_lines_about_its_engines():
    """An engine terminates while it serves a request.

    The trace contains the lines of the request's VM about that engine, in order of
    time, and none about other engines or from other VMs. Text that isn't a log line and
    a log collector's prefix are skipped.
    """
    first = [
        "not a log line",
        "collector-7 " + line(200, "instance gone", instance="e1", reason="lapsed"),
        line(150, "instance gone", instance="e9", reason="lapsed"),
        SENT,
    ]
    second = [line(210, "instance gone", process="entry-2", instance="e1")]
    found = build_trace(read_lines([first, second]), "r1")
    assert [row.event for row in found.lines + found.related] == [
        "send",
        "instance gone",
    ]
    assert found.render().splitlines()[1].startswith("10:00:00.200000 entry-1")


def test_trace_shows_crashes_under_a_part_of_the_prompt():
    """The request's own work is new; a part that others share has crashed engines."""
    part, other = part_works(["aa", "bb"])
    lines = [
        line(10, "instance crashed", instance="e1", fingerprint=part, crashes=1),
        line(20, "instance crashed", instance="e2", fingerprint=other, crashes=1),
        line(
            30, "answered", fingerprint="f1", parts="cc,aa", code="X", cause="", **ENDED
        ),
    ]
    found = build_trace(read_lines([lines]), "r1")
    assert [row.fields["instance"] for row in found.related] == ["e1"]


def test_trace_of_quarantined_request_shows_crashes_seen_by_other_vms():
    """A VM refuses a request that it never sent to an engine.

    Three engines had crashed under the same work before, seen by two other VMs.
    Without their lines the refusal can't be explained.
    """
    crash = {"event": "instance crashed", "fingerprint": "f1"}
    others = [
        line(10, process="entry-2", instance="e1", crashes=1, **crash),
        line(20, process="entry-3", instance="e2", crashes=2, **crash),
        line(30, process="entry-2", instance="e3", crashes=3, **crash),
        line(40, "instance crashed", instance="e4", fingerprint="f2", crashes=1),
    ]
    own = [
        line(900, "rejected", request="r1", status=503, reason="3 instances crashed"),
        line(901, "answered", fingerprint="f1", code="QUARANTINED", cause="3", **ENDED),
    ]
    found = build_trace(read_lines([own, others]), "r1")
    assert [row.fields["instance"] for row in found.related] == ["e1", "e2", "e3"]
    assert found.render().splitlines()[0].startswith("10:00:00.010000 entry-2")


def test_text_that_is_no_log_line_is_skipped():
    """Log files also contain tracebacks and, at their end, an incomplete line."""
    for text in ("", "{", "[1]", '{"at":"x"}', '{"at":"2026-01-01T00:00:00Z"}'):
        assert LogLine.from_text(text) is None


def test_every_log_event_is_listed_for_operators():
    """Guards against a log event that the code writes but docs/OPERATIONS.md, where
    operators look events up, doesn't describe."""
    modules = "serve serving relay front sends peers membership instances"
    modules += (
        " stage_controller lease route_table watch prefill instance_feed estimates"
    )
    modules += " quarantine quarantine_sync crash_probe backoffs rate_limits"
    page = (ROOT / "docs" / "OPERATIONS.md").read_text(encoding="utf-8")
    for name in modules.split():
        code = (ROOT / "src" / "mulberrydock" / f"{name}.py").read_text("utf-8")
        found = re.findall(r"logger\.(?!debug)\w+\(\s*\"([^\"]+)\"", code)
        missing = [event for event in found if f"`{event}`" not in page]
        assert not missing, (name, missing)
