"""Collects the log lines of one request and derives how the request ended.

The input is the JSON log lines of any number of VMs. Apart from the request's own
lines, a trace contains the lines that explain them: events of the VM that handled the
request and what it recorded meanwhile about the instances the request was sent to,
and crashes of instances under the same work or a part of its prompt, as seen by any
VM.
"""

import datetime
import json

import attrs

from .request import part_works

#: Lines about a request's instances are included from this many seconds before the
#: request's first line until as long after its last one: a crashed engine is suspected
#: at once, but its record expires only after 4 s.
CONTEXT_SECONDS = 5.0
#: Events that log a change in a VM's view of an instance.
INSTANCE_EVENTS = frozenset(
    (
        "instance seen",
        "instance stage changed",
        "instance draining",
        "instance leaving",
        "instance removal reported",
        "instance asks for a pause",
        "instance record lapsed",
        "instance gone",
        "link down",
        "link back",
        "order",
    )
)
#: Events that log whether a VM has links to the instances of a service.
LINK_EVENTS = frozenset(("links lost", "links back"))
#: Events about a request's work and the parts of its prompt, matched by fingerprint and
#: included from any time before the request's end: a request may be refused because of
#: crashes that other VMs saw long before it arrived.
CRASH_EVENTS = frozenset(
    (
        "instance crashed",
        "crash written",
        "cleared of crashes",
        "cleared of crashes by a peer",
        "trial of quarantined work",
    )
)
#: Events of the process itself that can end a request without logging its end.
PROCESS_EVENTS = frozenset(("started", "draining", "drained", "stopped", "task ended"))


@attrs.define(frozen=True)
class LogLine:
    """One log line.

    ``at`` is its time with date, ``process`` the name of the VM's process, ``fields``
    the event's further fields.
    """

    at: datetime.datetime
    process: str
    event: str
    fields: dict

    @classmethod
    def from_text(cls, text):
        """Parse a line; a log collector's prefix before the JSON object is skipped.

        :returns: a :class:`LogLine`, or None when ``text`` isn't a log line.
        """
        _, brace, rest = text.partition("{")
        try:
            row = json.loads(brace + rest)
            at = datetime.datetime.fromisoformat(row.pop("at"))
            return cls(at, row.pop("process"), row.pop("event"), row)
        except (ValueError, KeyError, AttributeError):
            return None


@attrs.define(frozen=True)
class RequestTrace:
    """The lines of one request, related lines that explain them, and the cause.

    ``lines`` and ``related`` are lists of :class:`LogLine`; ``cause`` is a phrase on
    how the request ended.
    """

    lines: list
    related: list
    cause: str

    def render(self):
        """Return the trace as text: one row per log line by time, then the cause."""
        rows = sorted(self.lines + self.related, key=lambda line: line.at)
        text = [_render(line) for line in rows]
        return "\n".join([*text, f"cause: {self.cause}"])


def _render(line):
    fields = " ".join(f"{k}={v}" for k, v in line.fields.items() if k != "request")
    return f"{line.at:%H:%M:%S.%f} {line.process} {line.event}: {fields}"


def read_lines(files):
    """Return the :class:`LogLine` objects in ``files``; other lines are skipped."""
    parsed = (LogLine.from_text(text) for file in files for text in file)
    return [line for line in parsed if line is not None]


def build_trace(lines, request_id):
    """Return the :class:`RequestTrace` of the request ``request_id``.

    :param lines: :class:`LogLine` objects of all VMs, in any order.
    """
    own_lines = [line for line in lines if line.fields.get("request") == request_id]
    own_lines.sort(key=lambda line: line.at)
    return RequestTrace(own_lines, _related(lines, own_lines), find_cause(own_lines))


def _related(lines, own_lines):
    if not own_lines:
        return []
    margin = datetime.timedelta(seconds=CONTEXT_SECONDS)
    start, end = own_lines[0].at - margin, own_lines[-1].at + margin
    processes = {line.process for line in own_lines}
    instances = {line.fields.get("instance") for line in own_lines} - {None}
    fingerprints = _fingerprints(own_lines)
    context = [
        line
        for line in lines
        if start <= line.at <= end
        and line.process in processes
        and _is_context(line, instances)
    ]
    return context + [
        line
        for line in lines
        if line.at <= end
        and line.event in CRASH_EVENTS
        and line.fields.get("fingerprint") in fingerprints
    ]


def _fingerprints(own_lines):
    """Return the fingerprints of a request's work and of its prompt's shared parts."""
    works = {line.fields.get("fingerprint") for line in own_lines} - {None}
    parts = {line.fields.get("parts", "") for line in own_lines} - {""}
    return works.union(*(part_works(text.split(",")) for text in parts))


def _is_context(line, instances):
    if line.event in PROCESS_EVENTS | LINK_EVENTS:
        return True
    return line.event in INSTANCE_EVENTS and line.fields.get("instance") in instances


def find_cause(own_lines):
    """Return a phrase on how a request ended, derived from its own lines.

    :param own_lines: the request's :class:`LogLine` objects by time; may be empty.
    """
    if not own_lines:
        return "no line names this request: no VM took it, or its lines were dropped"
    own_lines = _without_peers(own_lines)
    ends = [line for line in own_lines if line.event in ("answered", "client left")]
    if ends:
        return _describe_end(ends[-1].fields, own_lines, ends[-1].event)
    rejected = [line for line in own_lines if line.event == "rejected"]
    if rejected:
        fields = rejected[-1].fields
        return f"answered {fields['status']} by the VM itself: {fields['reason']}"
    return f"no end is logged: {own_lines[-1].process} ended or lost power while it ran"


def _without_peers(own_lines):
    """Return the lines of the VM that took the request from its client.

    The VMs to which it forwarded the request log an end of their own.
    """
    peers = {line.process for line in own_lines if line.event == "forwarded request"}
    return [line for line in own_lines if line.process not in peers] or own_lines


def _describe_end(fields, own_lines, event):
    if event == "client left":
        return (
            f"the client left after {fields['seconds']} s, "
            f"{_describe_progress(fields, own_lines)}"
        )
    if fields["code"] == "OK" and fields.get("first_event"):
        first = f"first event after {fields['first_event']} s"
        return f"answered whole: {first}, {fields['seconds']} s in all"
    if fields["code"] == "OK":
        return f"answered whole after {fields['seconds']} s"
    return f"{fields['code']} after {fields['seconds']} s: {fields['cause']}"


def _describe_progress(fields, own_lines):
    """Return how far a request had come when its client left."""
    if fields.get("first_event"):
        return f"{fields['first_event']} s after its arrival it got its first event"
    sends = [line for line in own_lines if line.event == "send"]
    if sends:
        return f"before {sends[-1].fields['instance']} gave a first event"
    if fields.get("prefills"):
        return "while its prompt waited to be prefilled"
    return "before it was sent anywhere"
