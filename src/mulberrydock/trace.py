"""Puts the log lines of one request in order and says how it ended.

Works on the JSON lines of any number of VMs. Beside the request's own lines
it shows what the VM that took it came to believe, in the meantime, about the
instances that it was sent to, and which instances crashed under the same work,
whichever VM saw it.
"""

import datetime
import json

import attrs

#: Seconds around a request in which beliefs about its instances are shown: a
#: crashed engine is suspected at once, and its record lapses after 4 s.
AROUND_SECONDS = 5.0
#: Events that say what a VM believes of an instance.
BELIEFS = frozenset(
    (
        "instance seen",
        "instance stage changed",
        "instance draining",
        "instance record lapsed",
        "instance gone",
        "order",
    )
)
#: Events about work, by its fingerprint: a request may be refused for what other VMs
#: saw long before it came.
WORK_EVENTS = frozenset(("instance crashed", "crash written", "cleared of crashes"))
#: Events of the process itself that can end a request without a line about it.
PROCESS_EVENTS = frozenset(("started", "draining", "drained", "stopped", "task ended"))


@attrs.define(frozen=True)
class LogLine:
    """One log line; ``at`` is its time of day, ``fields`` the event's own."""

    at: datetime.datetime
    process: str
    event: str
    fields: dict

    @classmethod
    def from_text(cls, text):
        """Read a line, None when it is no log line.

        What a log collector puts before the JSON object is passed over.
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
    """The lines of one request, those that explain them, and the cause."""

    lines: list
    related: list
    cause: str

    def render(self):
        """Return the trace as text, one line each, in order of time."""
        rows = sorted(self.lines + self.related, key=lambda line: line.at)
        text = [_render(line) for line in rows]
        return "\n".join([*text, f"cause: {self.cause}"])


def _render(line):
    fields = " ".join(f"{k}={v}" for k, v in line.fields.items() if k != "request")
    return f"{line.at:%H:%M:%S.%f} {line.process} {line.event}: {fields}"


def read_lines(files):
    """Return the :class:`LogLine` of every line of ``files`` that is one."""
    parsed = (LogLine.from_text(text) for file in files for text in file)
    return [line for line in parsed if line is not None]


def trace(lines, request_id):
    """Return the :class:`RequestTrace` of ``request_id``."""
    own = [line for line in lines if line.fields.get("request") == request_id]
    own.sort(key=lambda line: line.at)
    return RequestTrace(own, _related(lines, own), explain(own))


def _related(lines, own):
    if not own:
        return []
    margin = datetime.timedelta(seconds=AROUND_SECONDS)
    start, end = own[0].at - margin, own[-1].at + margin
    processes = {line.process for line in own}
    instances = {line.fields.get("instance") for line in own} - {None}
    works = {line.fields.get("fingerprint") for line in own} - {None}
    near = [
        line
        for line in lines
        if start <= line.at <= end
        and line.process in processes
        and _explains(line, instances)
    ]
    return near + [
        line
        for line in lines
        if line.at <= end
        and line.event in WORK_EVENTS
        and line.fields.get("fingerprint") in works
    ]


def _explains(line, instances):
    if line.event in PROCESS_EVENTS:
        return True
    return line.event in BELIEFS and line.fields.get("instance") in instances


def explain(own):
    """Return one sentence on how a request ended, from its own lines."""
    if not own:
        return "no line names this request: no VM took it, or its lines were dropped"
    ends = [line for line in own if line.event in ("answered", "client left")]
    if ends:
        return _explain_end(ends[-1].fields, own, ends[-1].event)
    rejected = [line for line in own if line.event == "rejected"]
    if rejected:
        fields = rejected[-1].fields
        return f"answered {fields['status']} by the VM itself: {fields['reason']}"
    return f"no end is logged: {own[-1].process} ended or lost power while it ran"


def _explain_end(fields, own, event):
    if event == "client left":
        return f"the client left after {fields['seconds']} s, {_progress(fields, own)}"
    if fields["code"] == "OK" and fields.get("first_event"):
        first = f"first event after {fields['first_event']} s"
        return f"answered whole: {first}, {fields['seconds']} s in all"
    if fields["code"] == "OK":
        return f"answered whole after {fields['seconds']} s"
    return f"{fields['code']} after {fields['seconds']} s: {fields['cause']}"


def _progress(fields, own):
    """Say how far a request was whose client has left."""
    if fields.get("first_event"):
        return f"{fields['first_event']} s after its arrival it got its first event"
    sends = [line for line in own if line.event == "send"]
    if sends:
        return f"before {sends[-1].fields['instance']} gave a first event"
    if fields.get("prefills"):
        return "while its prompt waited to be prefilled"
    return "before it was sent anywhere"
