"""A short soak of releases with one seed, and tests of its parts."""

import asyncio
import socket

import pytest
import soak
import soak_release
import soak_streams
from platform_fleet import RESUMABLE_PATH

from mulberrydock.fleet import free_ports
from mulberrydock.standin.datagram_links import DatagramLinks


# Guards against a stream that goes on at another version, as the VM at which its client
# takes it up was out of step while that version's engines joined.
@pytest.mark.parametrize(("seed", "daemons"), [(2580, 6), (13088, 6)])
def test_no_guarantee_is_violated_by_releases_that_vms_miss(tmp_path, seed, daemons):
    violations, run = soak_release.run_soak(tmp_path, seed, 10.0, daemons)
    assert not violations
    assert any(outcome.after_event and outcome.complete for outcome in run.outcomes)


def stream(request_id, ids, version="v1", origin="", after=0):
    """Return the outcome of a request that brought events of a stream."""
    events = [f"id: {i}\nversion: {version}\ndata: x\n\n" for i in ids]
    body = "".join(events).encode()
    return soak.Outcome(
        request_id,
        RESUMABLE_PATH,
        b"",
        status=200,
        body=body,
        origin=origin,
        after_event=after,
    )


# Guards against a soak that misses what is wrong in responses that were cut.
@pytest.mark.parametrize(
    ("tries", "found"),
    [
        ([stream("a", [1, 2]), stream("a.0", [3, 4], origin="a", after=2)], []),
        ([stream("a", [1, 3])], ["ORDER: a got events [1, 3] after 0"]),
        ([stream("a", [1, 1])], ["ORDER: a got events [1, 1] after 0"]),
        ([stream("a", [2, 1])], ["ORDER: a got events [2, 1] after 0"]),
        (
            [stream("a", [1, 2]), stream("a.0", [2, 3], origin="a", after=2)],
            ["ORDER: a.0 got events [2, 3] after 2"],
        ),
        (
            [stream("a", [1]), stream("a.0", [2], "v2", origin="a", after=1)],
            ["ORDER: a has events of the versions [b'v1', b'v2']"],
        ),
    ],
)
def test_streams_are_checked_over_all_tries(tries, found):
    assert list(soak_streams.find_violations(tries)) == found


# Guards against a soak whose VMs hear each other although they are cut off.
def test_cut_links_lose_datagrams_both_ways():
    loop = asyncio.new_event_loop()
    links = DatagramLinks(loop)
    ports = dict(zip("ab", free_ports(2)))
    ends = {name: socket.socket(type=socket.SOCK_DGRAM) for name in ports}
    for name, end in ends.items():
        end.bind(("127.0.0.1", ports[name]))
        end.settimeout(1)
    to_b = links.open("a", "b", ports["b"])
    try:
        ends["a"].sendto(b"1", to_b)
        loop.run_until_complete(asyncio.sleep(0.1))
        data, sender = ends["b"].recvfrom(10)
        assert (data, sender) == (b"1", links.open("b", "a", ports["a"]))
        for name in ("a", "b"):
            links.cut_names = {name}
            ends["a"].sendto(b"2", to_b)
            ends["b"].sendto(b"3", sender)
            loop.run_until_complete(asyncio.sleep(0.1))
        links.cut_names = set()
        ends["b"].sendto(b"4", sender)
        loop.run_until_complete(asyncio.sleep(0.1))
        assert ends["a"].recvfrom(10) == (b"4", to_b)
        ends["b"].setblocking(False)
        with pytest.raises(BlockingIOError):
            ends["b"].recvfrom(10)
    finally:
        links.close()
        for end in ends.values():
            end.close()
        loop.close()
