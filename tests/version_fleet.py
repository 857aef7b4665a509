"""A fleet whose language model service runs several software versions side by side.

Its clients take streams up again as clients do: on a new connection, with the last
event that they have and the id of the request that brought the first one.
"""

import http.client

import attrs
import link_fleet
from platform_fleet import (
    RESUMABLE_PATH,
    event_ids,
    event_versions,
    send,
    whole_events,
)

VMS = ("entry-1", "entry-2", "entry-3")
VERSIONS = ("v1", "v1.1", "v2")
#: Instances: (stage, version); two of each version decode. So many prefill that none is
#: ordered to change its stage.
INSTANCES = (("prefill", "v1"), ("prefill", "v1.1")) + tuple(
    (stage, version)
    for version in VERSIONS
    for stage in ("prefill", "decode", "decode")
)
#: Instances of two versions, one of each stage.
ONE_OF_EACH = tuple(
    (stage, version) for version in VERSIONS[:2] for stage in ("prefill", "decode")
)
#: Seconds between two events: slow enough for a client to leave in between.
EVENT_INTERVAL_SECONDS = 0.15
#: Deadline of the clients, long enough for several attempts.
DEADLINE_MS = "9000"


def started_fleet(directory, instances=INSTANCES, vms=VMS, **options):
    """Return the context of a fleet of ``vms`` before ``instances``.

    :param options: further options of each instance.
    """
    options["event_interval_seconds"] = EVENT_INTERVAL_SECONDS
    rows = [
        (f"{stage}-{version}-{number}", "llm", stage, options | {"version": version})
        for number, (stage, version) in enumerate(instances)
    ]
    return link_fleet.started_fleet(directory, vms, rows)


@attrs.define
class Stream:
    """One stream of a client, over all its requests.

    ``ids`` are the ids of its requests, ``events`` those of the events that arrived and
    ``versions`` the versions of the instances that made them;
    ``complete`` is True once one of its responses ended as complete, ``status`` that of
    the last response, 0 without one.
    """

    fleet: object
    name: str
    tokens: str = "100,10"
    ids: list = attrs.field(factory=list)
    events: list = attrs.field(factory=list)
    versions: set = attrs.field(factory=set)
    complete: bool = False
    status: int = 0
    connection: object = None
    response: object = None

    def request(self, vm, until=None, **headers):
        """Send one request to ``vm`` and read the response up to event ``until``.

        The connection stays open if that event has arrived.

        :param until: the id of the last event to read, None to read to the end.
        """
        self.ids.append(f"{self.name}/{len(self.ids)}")
        fields = {
            "X_Mulberrydock_Deadline_Ms": DEADLINE_MS,
            "X_Mulberrydock_Token_Counts": self.tokens,
        }
        if self.events:
            fields["Last_Event_Id"] = str(self.events[-1])
            fields["Resumes"] = self.ids[0]
        self.connection = self.fleet.connect(vm)
        fields |= headers
        fields = {name: value for name, value in fields.items() if value is not None}
        try:
            send(self.connection, RESUMABLE_PATH, self.ids[-1], **fields)
            self.response = self.connection.getresponse()
            self.status = self.response.status
            self._read(self.response, until)
        except (http.client.HTTPException, OSError):
            self.connection.close()
        return self

    def read_on(self):
        """Read the rest of the open response."""
        try:
            self._read(self.response, None)
        except (http.client.HTTPException, OSError):
            self.connection.close()
        return self

    def _read(self, response, until):
        if response.status != 200:
            return
        data, had, versions = b"", list(self.events), self.versions
        while chunk := response.read1(4096):
            data += chunk
            whole = whole_events(data)
            self.events = had + event_ids(whole)
            self.versions = versions | event_versions(whole)
            if until is not None and self.events and self.events[-1] >= until:
                return
        # ``read1`` returns no data at a premature end, without an error.
        last = next(iter(self.fleet.engines.values())).events
        self.complete = self.events == list(range(1, last + 1))

    def leave(self):
        """Close the connection, as a client does that gives its answer up."""
        self.connection.close()

    def runs(self):
        """Return the runs of the last request."""
        return [
            run
            for engine in self.fleet.engines.values()
            for run in engine.runs
            if run.id == self.ids[-1]
        ]
