"""How requests and responses are read, whatever their headers and bodies say."""

import json
import math

import attrs
import pytest
import tornado.httputil
from hypothesis import given
from hypothesis import strategies as st

from mulberrydock.engine_report import RunReport
from mulberrydock.exceptions import UpstreamError
from mulberrydock.instances import InstanceRecord
from mulberrydock.platform import PlatformWire, documents, wire
from mulberrydock.request import KvHandle

START_LINE = tornado.httputil.RequestStartLine("POST", "/x", "HTTP/1.1")
NUMBERS = st.one_of(
    st.sampled_from(["", "nan", "inf", "-inf", "1e999", "-1", "1e308", "x", "١"]),
    st.floats().map(str),
    st.integers().map(str),
)


def read(**headers):
    """Return the request with the given headers, as it arrived at 10.0 s."""
    fields = tornado.httputil.HTTPHeaders(
        {name.replace("_", "-"): value for name, value in headers.items()}
    )
    return PlatformWire().read_request(START_LINE, fields, b"", 10.0)


# Guards against a request that is never answered, or never ends, as a number in its
# headers isn't finite.
@given(NUMBERS, NUMBERS, NUMBERS, NUMBERS, NUMBERS)
def test_request_with_any_numbers_is_read(deadline, event, tokens, output, part):
    request = read(
        **{
            wire.DEADLINE: deadline,
            wire.LAST_EVENT_ID: event,
            wire.TOKEN_COUNTS: f"{tokens},{output}",
            wire.PROMPT_PREFIX: f"aa:{part}",
        }
    )
    assert math.isfinite(request.deadline) and request.deadline >= request.arrived
    counts = [request.last_event_id, request.prompt.tokens]
    counts += [request.prompt.max_output_tokens, request.prompt.parts[0].tokens]
    assert all(0 <= count <= wire.MAX_QUANTITY for count in counts)


@pytest.mark.parametrize(
    ("text", "seconds"),
    [("1500", 1.5), ("0", 0.0), ("nan", 60.0), ("-5", 60.0), ("inf", 1e6)],
)
# Guards against a default that replaces a valid deadline.
def test_deadline_of_a_request(text, seconds):
    assert read(**{wire.DEADLINE: text}).deadline == 10.0 + seconds


#: Responses to calls that name no usable handle.
ODD_HANDLES = [
    b"[" * 100_000,
    b'{"kv_handle":' * 100_000,
    b'{"kv_handle":["a"],"tokens":1}',
    b'{"kv_handle":"a\\r\\nX: y","tokens":1}',
    b'{"kv_handle":"\\ud800","tokens":1}',
    b'{"kv_handle":"a b","tokens":1}',
    b'{"kv_handle":"%s","tokens":1}' % (b"a" * 1000),
]
RECORD = InstanceRecord("i1", "llm", "127.0.0.1:1", "dc1", 4, False)


# Guards against a move of another engine's run: the call holds for one incarnation.
def test_call_that_moves_a_run():
    destination = attrs.evolve(RECORD, id="i2", address="127.0.0.1:2")
    call = PlatformWire().move_call(RECORD, "r1", destination, True)
    assert (call.method, call.target) == ("POST", "/kv-move")
    assert json.loads(call.body) == {"id": "r1", "to": "127.0.0.1:2", "last": True}
    assert call.headers[wire.EXPECT_INSTANCE] == "i1"


@pytest.mark.parametrize(
    ("body", "handle"),
    [
        (b'{"kv_handle": "m1", "created": 3}', KvHandle("127.0.0.1:1", "m1", 0)),
        (b'{"kv_handle": ""}', None),
        (b'{"kv_handle": 5}', None),
        (b"{}", None),
        (b"[]", None),
        (b"", None),
        (b"\xff", None),
        *[(body, None) for body in ODD_HANDLES],
    ],
)
def test_answer_to_a_move_is_read(body, handle):
    assert PlatformWire().read_move("127.0.0.1:1", body) == handle


# Guards against requests without an answer, as a prefill engine's response can't be
# read, or names a handle that no head of a request can hold.
@pytest.mark.parametrize("body", [*ODD_HANDLES, b'{"kv_handle":"a","tokens":1e999}'])
def test_unreadable_response_to_a_prefill_has_failed(body):
    with pytest.raises(UpstreamError):
        PlatformWire().read_handle("127.0.0.1:1", body)


# Guards against stage orders that stop because a report has a field that can't be read,
# or lacks one that only moves need.
@pytest.mark.parametrize(
    ("fields", "seconds", "runs"),
    [
        ({}, None, {}),
        ({"leaves_ms": 1500}, 1.5, {}),
        ({"leaves_ms": 0.5}, 0.0005, {}),
        ({"leaves_ms": -1}, None, {}),
        ({"leaves_ms": "soon"}, None, {}),
        ({"leaves_ms": True}, None, {}),
        ({"runs": [["r", 120, 2, 1]]}, None, {"r": RunReport(120, 2)}),
        ({"runs": [["r"], [1, 2, 3], ["q", -1, 2], 5, None]}, None, {}),
        ({"runs": "none"}, None, {}),
    ],
)
def test_report_of_an_engine_is_read(fields, seconds, runs):
    document = {"stage": "decode", "busy": False, "sequence": 2} | fields
    report = PlatformWire().read_report(json.dumps(document))
    assert (report.orders, report.leaves_seconds, report.runs) == (2, seconds, runs)


@pytest.mark.parametrize(
    ("text", "hint"), [("40", 40), ("", 0), ("nan", 0), ("-3", 0), ("x", 0)]
)
def test_length_hint_of_a_request(text, hint):
    assert read(**{wire.LENGTH_HINT: text}).prompt.length_hint == hint


@pytest.mark.parametrize(
    ("engine", "moves"),
    [({"moves": True}, True), ({"moves": False}, False), ({}, False)],
)
def test_service_declares_moves(engine, moves):
    engine = {"kv_tokens": 10} | engine
    document = {"version": 1, "routes": [], "services": [{"name": "llm"}]}
    document["services"][0]["engine"] = engine
    config = documents.read_config("op/config", json.dumps(document))
    assert config.services["llm"].moves is moves
