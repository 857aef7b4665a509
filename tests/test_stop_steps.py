"""The steps of a stop, with fakes of what a stopping VM waits for."""

import asyncio
import socket
import time

import attrs
import pytest
import tornado.httpserver

from mulberrydock.fleet import free_ports
from mulberrydock.front import Front
from mulberrydock.stopping import RequestsInProgress, Step, Stop, StopPlan

#: Seconds of the grace period of the stops that are carried out here.
GRACE = 1.5


# Guards against a step that lasts beyond the grace period, and against requests ended
# long before its end.
@pytest.mark.parametrize("grace", [0.1, 0.5, 1.0, 3.0, 8.0, 30.0, 600.0])
def test_every_step_ends_within_any_grace_period(grace):
    plan = StopPlan.from_grace(grace, 100.0)
    ends = [plan.ends[step] - 100.0 for step in Step]
    assert ends == sorted(ends) and 0 < ends[0] and ends[-1] < grace
    assert plan.ends[Step.FINISH] - 100.0 >= grace * 5 / 6
    assert plan.left(Step.FINISH, 100.0) == pytest.approx(ends[1])
    assert all(plan.left(step, 100.0 + grace) == 0.0 for step in Step)


# Guards against a request that is accepted later than 3 s after the signal, and cut as
# it isn't complete when the grace period ends.
@pytest.mark.parametrize("grace", [8.0, 9.0, 30.0, 600.0])
def test_no_request_is_accepted_that_must_not_be_cut(grace):
    plan = StopPlan.from_grace(grace, 100.0)
    assert plan.left(Step.ACCEPT, 103.0) == 0.0


# Guards against a VM that ends while requests still arrive on open connections, and
# against one that refuses them beyond a short grace period.
@pytest.mark.parametrize(
    ("grace", "passed", "left"),
    [(8.0, 0.0, 0.5), (8.0, 0.5, 0.0), (0.5, 0.0, 0.2575), (8.0, 7.0, 0.0)],
)
def test_requests_are_refused_for_a_moment_before_the_end(grace, passed, left):
    plan = StopPlan.from_grace(grace, 0.0)
    since = plan.ends[Step.ACCEPT]
    assert plan.refuse_left(since, since + passed) == pytest.approx(left)


@attrs.define
class FakeFront:
    """A server of requests whose clients don't read until ``read_at``."""

    tasks: set = attrs.field(factory=set)
    read_at: float = 0.0

    def unsent(self):
        return int(time.monotonic() < self.read_at)


@attrs.define(eq=False, slots=False)
class FakeLifecycle:
    """A request that ends when its limit is over."""

    request: object
    ended: asyncio.Event = attrs.field(factory=asyncio.Event)
    is_stopped: bool = False
    cause: str = ""
    keeps_limit: bool = True
    answered: bool = False

    @property
    def time_limit(self):
        return self

    def expired(self):
        return self.ended.is_set()

    def reschedule(self, when):
        if self.keeps_limit:
            self.ended.set()

    def answer_at_stop(self, now):
        self.answered = not self.expired()


@attrs.define
class FakeRequest:
    id: str
    arrived: float = 0.0


@attrs.define
class Counter:
    value: int = 0

    def inc(self, count):
        self.value += count


async def forever():
    """Wait as for a store that doesn't answer."""
    await asyncio.sleep(3600)


async def stubborn():
    """Wait, and don't end when cancelled."""
    while True:
        try:
            await asyncio.sleep(3600)
        except asyncio.CancelledError:
            pass


async def at_once():
    """Have nothing to do."""


async def failing():
    """Fail as a fault in the code of a step does."""
    raise ValueError("fault")


def run_stop(requests=(), tasks=(), background=(), read_after=0.0, **steps):
    """Carry a stop out; return the seconds it took and its :class:`Stop`.

    :param tasks: coroutine functions of the daemon's own tasks.
    :param steps: the coroutine functions ``leave`` and ``record``.
    """

    async def run():
        started = time.monotonic()
        front = FakeFront(read_at=started + read_after)
        in_progress = RequestsInProgress()
        for name in requests:
            lifecycle = FakeLifecycle(FakeRequest(name))
            in_progress.lifecycles.add(lifecycle)
            front.tasks.add(asyncio.ensure_future(lifecycle.ended.wait()))
        stop = Stop(
            StopPlan.from_grace(GRACE, started),
            (front,),
            in_progress,
            lambda: ["POST /write"],
            steps.get("leave", at_once),
            lambda: None,
            steps.get("record", at_once),
            {asyncio.ensure_future(function()) for function in background},
            Counter(),
        )
        await stop.run([asyncio.ensure_future(function()) for function in tasks])
        return time.monotonic() - started, stop

    loop = asyncio.new_event_loop()
    try:
        return loop.run_until_complete(run())
    finally:
        # Tasks that don't end are left, as at the end of a process.
        loop.close()


# Guards against a stop that outlasts the grace period for one thing that doesn't end.
@pytest.mark.parametrize(
    "waits",
    [
        {"leave": forever},
        {"record": forever},
        {"record": failing},
        {"record": stubborn},
        {"background": [forever]},
        {"background": [failing]},
        {"tasks": [forever, stubborn]},
        {"requests": ["r1", "r2"]},
        {"read_after": 60.0},
    ],
    ids=str,
)
def test_stop_ends_whatever_it_waits_for(waits):
    seconds, stop = run_stop(**waits)
    assert seconds < GRACE
    assert stop.unfinished.value == len(waits.get("requests", ()))


# Guards against a request without an answer whose task can't end in the time left, and
# against one whose fault keeps the answers from others.
def test_requests_that_do_not_end_in_time_are_answered_without_their_tasks():
    async def run():
        requests = RequestsInProgress()
        rows = [FakeLifecycle(FakeRequest(name), keeps_limit=False) for name in "abc"]
        rows[1].answer_at_stop = failing_answer
        rows[2].keeps_limit = True
        requests.lifecycles.update(rows)
        assert requests.end_all() == 3
        requests.answer_rest(0.0)
        assert [row.answered for row in rows] == [True, False, False]

    asyncio.run(run())


def failing_answer(now):
    raise ValueError("fault")


# Guards against a stop that waits for the whole grace period with nothing to wait for,
# and against one that cuts a response whose client reads it slowly.
@pytest.mark.parametrize(("read_after", "least"), [(0.0, 0.0), (1.2, 1.2)])
def test_stop_lasts_until_clients_have_read_their_responses(read_after, least):
    seconds, _ = run_stop(read_after=read_after)
    assert least <= seconds < GRACE


class BigResponse:
    """Relay that answers each request with more than the socket buffers hold."""

    async def serve(self, request, sink):
        sink.respond(200, [], b"x" * 20_000_000)


class AnyWire:
    def read_request(self, start_line, headers, body, now):
        return start_line


# Guards against a response that counts as sent while its client hasn't read it.
def test_response_is_unsent_until_its_client_has_read_it():
    async def run():
        front = Front(BigResponse(), AnyWire(), time.monotonic)
        port = free_ports(1)[0]
        server = tornado.httpserver.HTTPServer(front)
        server.listen(port, address="127.0.0.1")
        client = socket.create_connection(("127.0.0.1", port))
        client.sendall(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        while not front.unsent():
            await asyncio.sleep(0.01)
        await asyncio.wait(front.tasks or {asyncio.ensure_future(at_once())})
        assert front.unsent() == 1
        client.setblocking(False)
        while front.unsent():
            try:
                client.recv(1_000_000)
            except BlockingIOError:
                await asyncio.sleep(0.001)
        client.close()
        server.stop()

    asyncio.run(asyncio.wait_for(run(), 10.0))
