"""How requests of clients are read, whatever their headers say."""

import math

import pytest
import tornado.httputil
from hypothesis import given
from hypothesis import strategies as st

from mulberrydock.platform import PlatformWire, wire

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
