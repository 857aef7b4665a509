"""Records of any prefix that another writer left in the store, in a whole VM."""

import time

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from test_odd_entries import TEXT, entry, entry_text, make_daemon

from mulberrydock import defaults, records

PREFIXES = (
    "op/config",
    defaults.LEADER_KEY,
    defaults.VERSIONS_KEY,
    defaults.ENTRY_PREFIX,
    defaults.CRASH_PREFIX,
    defaults.ORIGIN_PREFIX,
)


def peer(key, **fields):
    """Return the key and the text of a peer's record, by default that of its key."""
    row = {"name": key, "address": "127.0.0.1:7", "dataCentre": "dc1"}
    message = records.EntryRecord.new_message(**row | fields)
    return defaults.ENTRY_PREFIX + key, records.encode(message)


def encodable(text):
    return not any("\ud800" <= char <= "\udfff" for char in text)


NAMES = TEXT.filter(encodable)
PEERS = st.builds(
    lambda key, fields: peer(key, **fields),
    NAMES,
    st.dictionaries(
        st.sampled_from(["name", "address", "dataCentre", "peerAddress"]),
        NAMES | st.sampled_from(["", "127.0.0.1:99999", "127.0.0.1:٨", "x:80"]),
    ),
)
KEYS = st.builds(
    lambda prefix, rest: prefix + rest, st.sampled_from(PREFIXES), TEXT | st.just("")
)
VALUES = TEXT | st.binary().map(lambda raw: raw.decode(errors="surrogateescape"))


# Guards against a VM that ends by a record of its peers, its leader or another duty.
@settings(max_examples=150, deadline=None)
@given(st.lists(PEERS | st.tuples(KEYS, VALUES | st.none()), max_size=4))
def test_no_record_ends_a_vm(changes):
    daemon, now = make_daemon(), time.monotonic()
    sent = []
    daemon.peers.send_to = lambda peers, data: sent.append([*peers])
    for key, value in [*changes, peer("entry-2", peerAddress="127.0.0.1:8")]:
        daemon._apply_change(key, value, 2)
    daemon._on_loaded()
    daemon.peers.send()
    assert any(row.peer_address == "127.0.0.1:8" for row in sent[0])
    assert "127.0.0.1:7" in daemon.directory.addresses(False, now, "dc1")
    assert daemon.directory.takeover_rank(now) >= 0
    assert daemon.fleet.routes.version == 3


# Guards against a message to a peer that ends this VM, as its address is none.
@pytest.mark.parametrize(
    "name, fields, is_known",
    [
        ("entry-2", {}, True),
        ("entry-2", {"peerAddress": "127.0.0.1:8"}, True),
        ("entry-2", {"peerAddress": "127.0.0.1:99999"}, False),
        ("entry-2", {"peerAddress": "127.0.0.1:x"}, False),
        ("entry-2", {"peerAddress": "somewhere:8"}, False),
        ("entry-2", {"name": "entry-3"}, False),
    ],
)
def test_record_of_a_peer_is_valid_or_refused(name, fields, is_known):
    daemon = make_daemon()
    key, value = peer(name)
    daemon._apply_change(key, peer(name, **fields)[1], 2)
    assert (name in daemon.membership.peers) is is_known
    daemon._apply_change(key, value, 3)
    daemon._apply_change(key, "no record", 4)
    assert name in daemon.membership.peers


# Guards against a VM that follows the store no more, as it can't apply one change.
def test_vm_follows_the_store_beside_a_change_that_fails():
    daemon = make_daemon()

    def fail(key, value, revision):
        raise RuntimeError("no such case")

    daemon.handlers["odd/"] = fail
    daemon._on_item("odd/key", "", 2)
    daemon._on_item(*entry_text(*entry("servers/e3")), 3)
    assert {"e2", "e3"} <= daemon.fleet.instances.instances.keys()
    assert b"store_changes_failed_total 1.0" in daemon.metrics.render()
