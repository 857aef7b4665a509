"""Logs of running daemons as tests read them."""

import json

from link_fleet import lost_services
from platform_fleet import PlatformFleet

LINES = "".join(
    json.dumps({"event": "links lost", "service": service}) + "\n"
    for service in ("app", "llm")
)


class LogReader(PlatformFleet):
    """A fleet without daemons, for its methods that read logs."""

    def __init__(self, directory):
        self.directory = directory


# Guards against a test that fails on a line that its daemon is still writing: a reader
# of a file can see the first pages of a write without the rest.
def test_line_that_is_being_written_is_not_read(tmp_path):
    fleet = LogReader(tmp_path)
    seen = []
    for end in range(len(LINES) + 1):
        (tmp_path / "entry-1.log").write_text(LINES[:end])
        assert fleet.log() == LINES[: LINES.rfind("\n", 0, end) + 1]
        seen.append(lost_services(fleet, "entry-1"))
    assert [len(services) for services in seen] == sorted(map(len, seen))
    assert seen[-1] == {"app", "llm"}
