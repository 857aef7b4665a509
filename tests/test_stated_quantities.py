"""Numbers that clients and engines state, at the edges of what can be encoded."""

import json

import pytest
from test_peer_loads import alone

from mulberrydock import peer_messages
from mulberrydock.estimates import PrefillSample
from mulberrydock.exceptions import SettingsError
from mulberrydock.load_sum import Load
from mulberrydock.peer_groups import PeerGroups
from mulberrydock.peer_loads import LoadTracker, PeerReport
from mulberrydock.peer_messages import (
    CrashReport,
    LimitUpdate,
    PeerUpdate,
    SoundWork,
)
from mulberrydock.peers import PeerLink
from mulberrydock.platform import read_instance
from mulberrydock.standin.platform_engine import PlatformEngine

EDGES = [0, 1, 2**31, 2**32 - 1, 2**32, 2**53, 2**63, 10**400, -1]


# Guards against a daemon that ends because a request in flight states more tokens than
# a message to the peers can hold; the next messages tell the rest all the same.
@pytest.mark.parametrize("number", EDGES)
def test_any_amount_of_work_fits_a_message_to_the_peers(number):
    report = PeerReport(1, 0.0, {"e1": Load(1, (number, 7), number)})
    update = PeerUpdate(
        "entry-1",
        report,
        prefills={"e1": [(1, number)]},
        samples=[PrefillSample("llm", number, number, 0.1)],
        limits=[LimitUpdate("e1", 1.0, number)],
        sound_works=[SoundWork("w", number)],
    )
    decoded = peer_messages.decode(peer_messages.encode(update), 0.0)
    expected = min(max(number, 0), 2**32 - 1)
    assert decoded.report.loads["e1"] == Load(1, (expected, 7), expected)
    assert decoded.prefills == {"e1": [(1, expected)]}
    assert decoded.samples[0].tokens == decoded.samples[0].cached == expected


# Guards against a daemon that ends, or a stop that hangs, because one message to the
# peers can't be encoded.
def test_message_that_can_not_be_encoded_is_left_out(monkeypatch):
    tracker, unsent = LoadTracker(), []
    link = PeerLink("entry-1", tracker, alone(tracker), lambda: False)
    link.on_unsent = lambda: unsent.append(1)
    tracker.begin("e1", float("nan"))
    link.send()
    monkeypatch.setattr(PeerGroups, "reporter_rank", lambda self, now: 0)
    link.send_sum(0.0)
    assert len(unsent) == 2


# Guards against requests that fail by the number of slots in an engine's record.
@pytest.mark.parametrize("number", EDGES)
def test_record_with_a_count_that_is_no_count_names_no_engine(number):
    engine = PlatformEngine("e1", "127.0.0.1:7", "llm", "decode")
    text = json.dumps(engine.store_document() | {"slots": number})
    if 0 <= number <= 2**53:
        assert read_instance("servers/e1", text).slots == number
    else:
        with pytest.raises(SettingsError):
            read_instance("servers/e1", text)


# Guards against an age that a clock's jump makes negative, or that is beyond counting.
@pytest.mark.parametrize("age", [-5.0, 0.0, 2.0**40])
def test_any_age_of_a_crash_fits_a_message(age):
    row = CrashReport(peer_messages.Crash("w", "e1"), age).row
    assert 0 <= row["ageMs"] < 2**32
