"""Answers of the store that can't be read."""

import asyncio

import attrs
import pytest
from scripted_server import ScriptedServer, response

from mulberrydock.platform import PlatformStore

TIMEOUT_SECONDS = 5.0

CALLS = {
    "get": lambda store: store.get("k"),
    "range": lambda store: store.range("op/"),
    "watch": lambda store: store.watch("op/", 1, 1.0),
    "put": lambda store: store.put("k", "v", 3),
    "delete": lambda store: store.delete("k"),
    "write_all": lambda store: store.write_all({"k": "v"}, ["l"]),
    "grant": lambda store: store.grant(3.0),
}

ROW = '{"key": "k", "value": "eA==", "revision": 3}'


def page(row):
    """Return a document that holds a row in every place where there may be one."""
    return f'{{"items": [{row}], "events": [{row}], "store_revision": 4}}'


BODIES = {
    "nested": "[" * 100_000,
    "cut": '{"items": [',
    "list": "[]",
    "null": "null",
    "number": "5",
    "empty": "{}",
    "items-null": '{"items": null, "events": null, "store_revision": 4}',
    "row-null": page("null"),
    "row-list": page("[1]"),
    "no-revision": page('{"key": "k", "value": "eA=="}'),
    "revision-text": page(ROW.replace("3", '"3"')),
    "revision-infinite": page(ROW.replace("3", "1e999")),
    "key-number": page(ROW.replace('"k"', "7")),
    "value-number": page(ROW.replace('"eA=="', "7")),
    "value-cut": page(ROW.replace("eA==", "eA=")),
}


@attrs.define
class OddStore(ScriptedServer):
    """Answers every call with ``status`` and ``body``."""

    status: str
    body: str

    def connect(self):
        return lambda head: response(self.body, self.status)


# Guards against a VM that ends, as a task that calls the store raises an error.
@pytest.mark.parametrize("call", CALLS)
@pytest.mark.parametrize("status", ["200 OK", "412 Precondition Failed"])
@pytest.mark.parametrize("body", BODIES)
def test_unreadable_answer_of_the_store_is_an_error(call, status, body):
    async def run():
        server = OddStore(status, BODIES[body])
        store = PlatformStore(await server.start(), TIMEOUT_SECONDS)
        result = await CALLS[call](store)
        store.pool.close()
        server.server.close()
        return result

    assert asyncio.run(run()).is_error()


# Guards against a VM that keeps the same page of a listing without end.
def test_page_that_comes_again_is_an_error():
    async def run():
        body = page(ROW).replace("{", '{"truncated": true, ', 1)
        server = OddStore("200 OK", body)
        store = PlatformStore(await server.start(), TIMEOUT_SECONDS)
        async with asyncio.timeout(TIMEOUT_SECONDS):
            result = await store.range("op/")
        store.pool.close()
        server.server.close()
        return result

    assert asyncio.run(run()).is_error()
