"""A client takes a stream up whose last event it has: only the end is missing.

The daemons are real processes; the store, the engines and the links are stand-ins.
"""

import types

import pytest
from link_fleet import lose_links
from version_fleet import ONE_OF_EACH, Stream, started_fleet

from mulberrydock.exceptions import MulberrydockError
from mulberrydock.front_sink import ConnectionSink


# Guards against a request that is never answered, as a response without an event was
# ended before it had begun.
@pytest.mark.parametrize("way", ["same VM", "another VM", "through a peer"])
def test_stream_taken_up_after_its_last_event_is_ended(tmp_path, way):
    with started_fleet(tmp_path, ONE_OF_EACH) as fleet:
        stream = Stream(fleet, "s").request("entry-1")
        assert stream.complete
        if way == "through a peer":
            lose_links(fleet, {"entry-2"})
        stream.status, stream.complete = 0, False
        stream.request("entry-1" if way == "same VM" else "entry-2")
        assert stream.status == 200 and stream.complete
        assert stream.response.headers["X-Mulberrydock-Response-Signature"]
        assert len(stream.versions) == 1


# Guards against the same fault by another cause, which the log must show.
def test_response_that_ends_before_it_began_is_an_error():
    with pytest.raises(MulberrydockError):
        ConnectionSink(types.SimpleNamespace(), lambda: False).finish()
