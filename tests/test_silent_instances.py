"""An instance falls silent for a moment and goes on, while no other one takes over."""

import pytest
from platform_fleet import (
    IDEMPOTENT_PATH,
    NON_IDEMPOTENT_PATH,
    RESUMABLE_PATH,
    STREAM_PATH,
    PlatformFleet,
    config,
)

from mulberrydock.standin.platform_engine import Fault

#: Prompts that decode engines prefill and prompts that they don't.
TOKEN_COUNTS = ("100,10", "30000,10")


@pytest.fixture
def fleet(tmp_path):
    """A ready daemon before two instances of each kind."""
    running = PlatformFleet(tmp_path)
    running.write("op/config", config(3))
    for stage in ("prefill", "decode"):
        for number in (1, 2):
            running.add_instance(f"{stage[0]}{number}", "llm", stage)
    for number in (1, 2):
        running.add_instance(f"a{number}", "app")
    running.start()
    try:
        running.wait_ready()
        yield running
    finally:
        running.stop()


# Guards against an answer that is ended as its instance is silent for longer than the
# progress timeout: the one that is to take over refuses the request or fails.
@pytest.mark.parametrize(
    "other", [Fault.REFUSE, Fault.CRASH_BEFORE_ANSWER, Fault.ERROR, Fault.HANG]
)
@pytest.mark.parametrize(
    "prefix, tokens",
    [
        (RESUMABLE_PATH, TOKEN_COUNTS[0]),
        (RESUMABLE_PATH, TOKEN_COUNTS[1]),
        (IDEMPOTENT_PATH, TOKEN_COUNTS[0]),
    ],
    ids=["stream", "long-prompt", "plain"],
)
def test_answer_of_a_silent_instance_is_awaited(fleet, prefix, tokens, other):
    faults = [Fault.PAUSE, *[other] * 9]
    for engine in fleet.engines.values():
        if engine.stage != "prefill":
            engine.faults = faults
    response = fleet.request(prefix, "r", X_Mulberrydock_Token_Counts=tokens)
    assert (response.status, response.complete) == (200, True)


# Guards against a whole response without a length that counts as cut, as its instance
# is silent for a moment right after it.
@pytest.mark.parametrize(
    "prefix", [RESUMABLE_PATH, STREAM_PATH, IDEMPOTENT_PATH, NON_IDEMPOTENT_PATH]
)
def test_end_of_a_response_is_confirmed_after_a_silence(fleet, prefix):
    faults = [Fault.UNFRAMED_PAUSE, *[Fault.REFUSE] * 9]
    for engine in fleet.engines.values():
        if engine.stage != "prefill":
            engine.faults = faults
    response = fleet.request(prefix, "r")
    assert (response.status, response.complete) == (200, True)
