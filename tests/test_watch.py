"""The prefix watch with an in-process stand-in store."""

import asyncio

import attrs
import pytest
import tornado.httpserver
from expression import Error, Ok

from mulberrydock.fleet import free_ports
from mulberrydock.platform import PlatformStore
from mulberrydock.standin import platform_store
from mulberrydock.standin import store as standin_store
from mulberrydock.store import Event, StoreClient, WatchBatch
from mulberrydock.watch import RECOVERY_POLL_SECONDS, PrefixWatch


@attrs.define
class WatchedStore:
    """Answers watches or not, as in ``answers``; records how long each may wait."""

    answers: list
    waits: list = attrs.field(factory=list)
    events: list = attrs.field(factory=list)

    async def watch(self, prefix, after, timeout):
        self.waits.append(timeout)
        if not self.answers.pop(0):
            return Error("silent")
        return Ok(WatchBatch(after, self.events.pop(0) if self.events else []))


@pytest.mark.parametrize("before", [0, 2])
def test_first_write_after_the_watch_began_is_seen(before):
    # Guards against missing the first configuration: an entry starts with an empty
    # store, and the first write gets revision 1, which a watch after revision 1 would
    # not return.
    async def go():
        app = standin_store.make_app()
        server = tornado.httpserver.HTTPServer(app)
        (port,) = free_ports(1)
        server.listen(port, address="127.0.0.1")
        store = StoreClient(f"127.0.0.1:{port}")
        for index in range(before):
            await store.put(f"other/{index}", "x")
        seen = []
        watch = PrefixWatch(store, "config", lambda k, v, version: seen.append(version))
        assert await watch.step()
        await store.put("config", "first")
        assert await watch.step()
        server.stop()
        return seen

    assert asyncio.run(go()) == [before + 1]


@pytest.mark.parametrize(
    ("answers", "waits"),
    [
        ([True, True], [2.0, 2.0]),
        (
            [False, False, True, True],
            [2.0, RECOVERY_POLL_SECONDS, RECOVERY_POLL_SECONDS, 2.0],
        ),
    ],
)
def test_polls_are_short_until_the_store_answers_again(answers, waits):
    """Guards against a configuration that is seen 2 s late: the store drops calls for a
    while, and a poll of 2 s that is sent just before the outage ends is lost too."""
    store = WatchedStore(list(answers))
    watch = PrefixWatch(store, "config", lambda *row: None, poll_seconds=2.0)
    watch.loaded = True
    for answered in answers:
        assert asyncio.run(watch.step()) is answered
    assert store.waits == waits


def test_poll_after_a_pause_is_shorter_by_it():
    """Guards against detecting failed connections too late. If they fail during a
    pause, the VM notices when its next poll times out: pause and poll together must
    take no longer than a poll alone."""
    store = WatchedStore([True, True, True], events=[[Event(3, "config", "x")]])
    watch = PrefixWatch(
        store, "config", lambda *row: None, poll_seconds=2.0, pause_seconds=0.01
    )
    watch.loaded = True
    for _ in range(3):
        assert asyncio.run(watch.step())
    assert store.waits == [2.0, 2.0 - 0.01, 2.0]


def test_every_call_reports_whether_the_store_answers():
    """Guards against dropping all instances after an outage: the store doesn't answer
    for four seconds, and the records of all instances expire. A poll that spans the
    outage returns their removal; the renewal of the VM's lease must have failed before.
    """
    (port,) = free_ports(1)
    store = PlatformStore(f"127.0.0.1:{port}", timeout=0.3)
    answers = []
    store.on_response = answers.append
    assert asyncio.run(store.keepalive(7)).is_error()
    assert answers == [False]


async def started_watch(items):
    """Return a store with one key, and a watch of it that has read it and polls.

    :param items: list to which the watch appends the (key, value) that it is told.
    """
    state = platform_store.PlatformStoreState()
    server = tornado.httpserver.HTTPServer(platform_store.make_app(state))
    (port,) = free_ports(1)
    server.listen(port, address="127.0.0.1")
    state.write("k/0", 0)
    watch = PrefixWatch(
        PlatformStore(f"127.0.0.1:{port}"),
        "k/",
        lambda key, value, revision: items.append((key, value)),
        poll_seconds=5.0,
    )
    watch.store.on_era_change = watch.invalidate
    assert await watch.step()
    return state, server, watch


def change(state):
    pass


def compact(state):
    state.write("k/2", 2)
    state.compact_history()


def restore(state):
    state.restore(attrs.evolve(state.snapshot(), revision=1))
    state.write("k/3", 3)


# Guards against a view of the store that lacks a change made before it was brought up
# to date, and against a change that the poll beside that applies again, later.
@pytest.mark.parametrize("also", [change, compact, restore])
def test_catching_up_reads_all_changes_made_before(also):
    async def run():
        items = []
        state, server, watch = await started_watch(items)
        state.write("k/1", 1)
        also(state)
        running = asyncio.ensure_future(watch.run())
        assert await watch.refresh()
        read = {key for key, _ in items}
        assert read == {key for key in state.items}
        state.write("k/9", 9)
        while "k/9" not in {key for key, _ in items}:
            await asyncio.sleep(0.01)
        running.cancel()
        server.stop()
        return items

    items = asyncio.run(run())
    if also is change:
        assert [key for key, _ in items] == ["k/0", "k/1", "k/9"]


# Guards against a view that counts as current although the store doesn't answer.
def test_catching_up_fails_where_the_store_is_silent():
    async def run():
        state, server, watch = await started_watch([])
        state.refusing = True
        answered = await watch.refresh()
        server.stop()
        return answered

    assert asyncio.run(run()) is False
