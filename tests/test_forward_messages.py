"""The messages of forwarded requests and of their outcomes."""

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from mulberrydock import forward_messages
from mulberrydock.exceptions import ResultCode
from mulberrydock.forward_messages import ForwardedRequest, ForwardOutcome, PriorCalls
from mulberrydock.request import Prompt, PromptPart, Request

NOW = 1000.0
KEY = b"key of the receiver"
#: Text of a header, as it may arrive: bytes decoded as Latin-1.
HEADER_TEXT = st.text(st.characters(min_codepoint=32, max_codepoint=255))


def make_request(**fields):
    defaults = {
        "id": "r1",
        "method": "POST",
        "target": "/letters/x?q=1",
        "host": "shop.example",
        "headers": [("Accept", "a"), ("Accept", "b")],
        "body": b"\x00prompt",
        "arrived": NOW,
        "deadline": NOW + 3.0,
        "prompt": Prompt(100, 10, (PromptPart("aa", 50), PromptPart("bb", 50))),
        "last_event_id": 7,
        "team": "letters",
        "resumes": "r0",
    }
    return Request(**(defaults | fields))


# Guards against a forwarded request that an instance runs with another body, header,
# prompt, team or deadline than the client's.
@given(st.binary(max_size=200), st.lists(st.tuples(HEADER_TEXT, HEADER_TEXT)))
def test_forwarded_request_arrives_unchanged(body, headers):
    request = make_request(body=body, headers=headers)
    prior = PriorCalls(2, 1, 3, 1, True, True, "v1.1", True)
    sent = ForwardedRequest(request, 4, prior, "entry-1", "llm-2")
    received = forward_messages.decode(forward_messages.encode(sent, NOW), NOW)
    assert attrs.asdict(received) == attrs.asdict(sent)


# Guards against more time at the peer than the client has left.
def test_time_on_the_way_is_not_added_to_the_deadline():
    sent = ForwardedRequest(make_request(), 4, PriorCalls(), "entry-1")
    data = forward_messages.encode(sent, NOW + 1.0)
    assert forward_messages.decode(data, 50.0).request.deadline == 52.0


# Guards against a stranger who presents a request as already admitted.
@pytest.mark.parametrize(
    ("key", "data", "signature", "accepted"),
    [
        (KEY, b"data", forward_messages.sign(KEY, b"data"), True),
        (KEY, b"changed", forward_messages.sign(KEY, b"data"), False),
        (KEY, b"data", forward_messages.sign(b"other key", b"data"), False),
        (KEY, b"data", "", False),
        (KEY, b"data", "\xe9", False),
        (b"", b"data", forward_messages.sign(b"", b"data"), False),
    ],
)
def test_only_requests_signed_with_the_receivers_key_are_accepted(
    key, data, signature, accepted
):
    assert forward_messages.is_signed(key, data, signature) is accepted


OUTCOME = ForwardOutcome(ResultCode.UPSTREAM_FAILED, 2, 1, 3, "a1: cut\nshort")


def test_outcome_in_headers():
    read = ForwardOutcome.from_headers(dict(OUTCOME.headers()))
    assert read == attrs.evolve(OUTCOME, cause="a1: cut short")


@pytest.mark.parametrize(
    "headers",
    [
        {},
        {forward_messages.CODE_HEADER: "0"},
        {forward_messages.CODE_HEADER: "999", forward_messages.CALLS_HEADER: "1 0 0"},
        {forward_messages.CODE_HEADER: "0", forward_messages.CALLS_HEADER: "1 x 0"},
    ],
)
def test_headers_without_a_valid_outcome(headers):
    assert ForwardOutcome.from_headers(headers) is None


# Guards against an incomplete stream that passes as complete, and against the model's
# own text that is taken for an outcome.
@pytest.mark.parametrize(
    ("events", "passed_on", "has_outcome"),
    [
        (b"id: 1\ndata: x\n\n", b"id: 1\ndata: x\n\n", False),
        (b"id: 1\n\n" + OUTCOME.comment(), b"id: 1\n\n", True),
        (OUTCOME.comment(), b"", True),
        (b"data: " + OUTCOME.comment(), b"data: " + OUTCOME.comment(), False),
        (b": forward-incomplete x\n\n", b": forward-incomplete x\n\n", False),
    ],
)
def test_outcome_at_the_end_of_a_stream(events, passed_on, has_outcome):
    rest, outcome = forward_messages.split_comment(events)
    assert rest == passed_on
    assert (outcome is not None) is has_outcome
    if has_outcome:
        assert (outcome.code, outcome.sends) == (OUTCOME.code, OUTCOME.sends)
