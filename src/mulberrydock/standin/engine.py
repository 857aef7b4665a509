"""Stand-in for a model engine that serves the OpenAI completions protocol over HTTP.

``batch`` simulates batching; this module implements the protocol: unstreamed and
streamed completions, resuming a stream, prefill with an exported KV cache, priorities,
cancellation when the client disconnects, load reports that lag, cache events that are
late and incomplete, and fenced orders to load a model or change role. See
``docs/protocols.md``.
"""

import asyncio
import json
import time
import uuid

import attrs
import tornado.httpclient
import tornado.iostream
import tornado.web

from .. import defaults
from .._http import JsonHandler, fetch_json, split_address
from ..prefix import prompt_tokens
from .batch import ABORTED, Batch, EngineConfig, Run

__all__ = ["EngineConfig", "EngineState", "make_app", "serve"]

#: Time for which an engine is unavailable while it loads a model or version.
LOAD_SECONDS = 0.5
#: Time for which an engine is unavailable while it changes role.
ROLE_CHANGE_SECONDS = 1.0
#: Interval at which the load report is refreshed; readers see it up to this old.
LOAD_REPORT_INTERVAL_SECONDS = 0.5
#: Rate at which KV cache is transferred between two engines.
KV_TRANSFER_TOKENS_PER_SECOND = 200_000.0


@attrs.define
class Order:
    """An order as received by the engine; ``applied`` when it was accepted."""

    order_id: str
    fencing_token: int
    model: str
    version: str
    adapter: str
    role: str
    applied: bool


class EngineState:
    """State of one engine: model, role, orders, batch and load report.

    All times, the ``now`` arguments included, are monotonic seconds. ``sequence``
    counts accepted orders, ``crossed_answers`` how many of the next responses carry the
    id of another request.
    """

    def __init__(self, config):
        self.config = config
        self.instance = uuid.uuid4().hex
        self.model = ""
        self.version = ""
        self.adapter = ""
        self.fencing_token = 0
        self.sequence = 0
        self.unavailable_until = 0.0
        self.orders = []
        self.batch = Batch(config)
        self.report = {}
        self.reported_at = 0.0
        self.crossed_answers = 0

    def available(self, now):
        """Return whether the engine accepts new requests at ``now``."""
        return bool(self.model) and now >= self.unavailable_until

    def refresh_report(self, now):
        """Refresh the load report, which readers see until the next refresh."""
        prompt, output = self.batch.backlog()
        self.reported_at = now
        self.report = {
            "available": self.available(now),
            "model": self.model,
            "version": self.version,
            "role": self.batch.role,
            "active": len(self.batch.running),
            "waiting": len(self.batch.waiting),
            "backlog_prompt_tokens": prompt,
            "backlog_output_tokens": output,
            "prefilled_tokens": self.batch.counts["prefilled_tokens"],
            "output_tokens": self.batch.counts["output_tokens"],
        }

    def apply(self, body, now):
        """Apply an order unless it is stale.

        An engine that checks fencing refuses a token below the highest one seen. Every
        engine refuses an order whose ``expected_sequence`` isn't the number of orders
        it has accepted, or whose ``expected_instance`` isn't the current incarnation; a
        restart resets the sequence and the highest token.

        :param body: the parsed body of the order.
        :returns: ``(accepted, Order)``.
        """
        token = int(body.get("fencing_token", 0))
        order = Order(
            body.get("order_id", ""),
            token,
            body.get("model", self.model),
            body.get("version", self.version),
            body.get("adapter", self.adapter),
            body.get("role", self.batch.role),
            False,
        )
        self.orders.append(order)
        if self.config.checks_fencing and token < self.fencing_token:
            return False, order
        if body.get("expected_sequence", self.sequence) != self.sequence:
            return False, order
        if body.get("expected_instance", self.instance) != self.instance:
            return False, order
        self.fencing_token = max(self.fencing_token, token)
        self.sequence += 1
        target = (order.model, order.version, order.adapter)
        if target != (self.model, self.version, self.adapter):
            self.model, self.version, self.adapter = target
            self.batch.cache.clear(now)
            self._suspend(LOAD_SECONDS, now)
        if order.role != self.batch.role:
            self.batch.role = order.role
            self.batch.counts["role_changes"] += 1
            self._suspend(ROLE_CHANGE_SECONDS, now)
        order.applied = True
        return True, order

    def _suspend(self, seconds, now):
        self.batch.abort_all()
        self.unavailable_until = max(self.unavailable_until, now + seconds)


class _EngineHandler(JsonHandler):
    def initialize(self, state):
        self.state = state


class CompletionHandler(_EngineHandler):
    """``POST /v1/completions`` and ``/v1/chat/completions``, unstreamed or as SSE."""

    def initialize(self, state, chat):
        self.state = state
        self.chat = chat
        self.running = None

    def on_connection_close(self):
        if self.running is not None:
            self.running.cancelled = True
            self.running.output_queue.put_nowait(ABORTED)

    async def post(self):
        body = self.json_body()
        state = self.state
        headers = self.request.headers
        prefill_only = headers.get(defaults.STAGE_HEADER) == "prefill"
        if not state.available(time.monotonic()) or body.get("model") != state.model:
            self._refuse("model not loaded here")
            return
        if state.batch.role == "prefill" and not prefill_only:
            self._refuse("this engine only prefills")
            return
        source = headers.get(defaults.KV_SOURCE_HEADER, "")
        if source and not await self._import_kv(source):
            self._refuse("the KV cache can't be fetched")
            return
        self.set_header(defaults.VERSION_HEADER, state.version)
        self.request_id = headers.get(defaults.REQUEST_ID_HEADER, uuid.uuid4().hex)
        self.running = Run(
            rank=int(headers.get(defaults.RANK_HEADER, "5")),
            prompt=prompt_tokens(body),
            first_token=int(headers.get(defaults.RESUME_HEADER, "0")),
            end=int(body.get("max_tokens", 16)),
            prefill_only=prefill_only,
            imported=bool(source),
        )
        if state.crossed_answers:
            state.crossed_answers -= 1
            self.request_id = uuid.uuid4().hex
        state.batch.admit(self.running)
        if prefill_only:
            await self._prefill()
        elif body.get("stream", False):
            await self._stream()
        else:
            await self._whole()

    def _refuse(self, message):
        self.state.batch.counts["refused"] += 1
        self.set_header(defaults.NOT_EXECUTED_HEADER, "true")
        self.send_json({"error": {"message": message}}, 503)

    async def _import_kv(self, source):
        address, _, handle = source.partition("/")
        http = tornado.httpclient.AsyncHTTPClient()
        try:
            status, document = await fetch_json(
                http, "POST", address, f"/v1/kv/{handle}/take", {}
            )
        except (tornado.httpclient.HTTPClientError, OSError, ValueError):
            return False
        if status != 200:
            return False
        await asyncio.sleep(document["tokens"] / KV_TRANSFER_TOKENS_PER_SECOND)
        return True

    def _abort(self):
        """Close the connection without completing the response."""
        self.request.connection.stream.close()

    async def _prefill(self):
        item = await self.running.output_queue.get()
        if item == ABORTED:
            self._abort()
            return
        handle = self.state.batch.export(self.running, time.monotonic())
        tokens = len(self.running.prompt)
        self.send_json({"kv_handle": handle, "tokens": tokens})

    def _text(self, index):
        return f" {self.request_id[:8]}:{index}"

    def _usage(self):
        prompt, output = len(self.running.prompt), self.running.end
        return {
            "prompt_tokens": prompt,
            "completion_tokens": output,
            "total_tokens": prompt + output,
        }

    def _chunk(self, index):
        text = self._text(index)
        last = index == self.running.end - 1
        finish = "length" if last else None
        if self.chat:
            choice = {"index": 0, "delta": {"content": text}, "finish_reason": finish}
            kind = "chat.completion.chunk"
        else:
            choice = {"index": 0, "text": text, "finish_reason": finish}
            kind = "text_completion"
        chunk = {
            "id": self.request_id,
            "object": kind,
            "model": self.state.model,
            "sequence": index,
            "choices": [choice],
        }
        if last:
            chunk["usage"] = self._usage()
        return chunk

    async def _stream(self):
        self.set_header("Content-Type", "text/event-stream")
        self.set_header("Cache-Control", "no-cache")
        while (item := await self.running.output_queue.get()) >= 0:
            self.write(f"data: {json.dumps(self._chunk(item))}\n\n")
            try:
                await self.flush()
            except tornado.iostream.StreamClosedError:
                # Returning finishes the request, which removes its close callback
                # before tornado has called it.
                self.on_connection_close()
                return
        if item == ABORTED:
            self._abort()
            return
        self.write("data: [DONE]\n\n")
        self.finish()

    async def _whole(self):
        while (item := await self.running.output_queue.get()) >= 0:
            pass
        if item == ABORTED:
            self._abort()
            return
        text = "".join(self._text(i) for i in range(self.running.end))
        if self.chat:
            message = {"role": "assistant", "content": text}
            choice = {"index": 0, "message": message, "finish_reason": "length"}
            kind = "chat.completion"
        else:
            choice = {"index": 0, "text": text, "finish_reason": "length"}
            kind = "text_completion"
        self.send_json(
            {
                "id": self.request_id,
                "object": kind,
                "model": self.state.model,
                "choices": [choice],
                "usage": self._usage(),
            }
        )


class OrderHandler(_EngineHandler):
    """``POST /v1/orders``: load a model, adapter or version, or change role."""

    def post(self):
        accepted, order = self.state.apply(self.json_body(), time.monotonic())
        if not accepted:
            self.send_json({"error": "stale token or sequence"}, status=409)
            return
        self.send_json(attrs.asdict(order))


class StateHandler(_EngineHandler):
    """``GET /v1/state``: the engine's current state and every order it received."""

    def get(self):
        state = self.state
        self.send_json(
            {
                "name": state.config.name,
                "instance": state.instance,
                "model": state.model,
                "version": state.version,
                "adapter": state.adapter,
                "role": state.batch.role,
                "fencing_token": state.fencing_token,
                "sequence": state.sequence,
                "available": state.available(time.monotonic()),
                "orders": [attrs.asdict(o) for o in state.orders],
                "counts": dict(state.batch.counts),
            }
        )


class LoadHandler(_EngineHandler):
    """``GET /v1/load``: the last load report and its age in seconds."""

    def get(self):
        age = time.monotonic() - self.state.reported_at
        self.send_json({**self.state.report, "age_seconds": age})


class CacheEventsHandler(_EngineHandler):
    """``GET /v1/cache_events?after=N``: cache events after number N.

    They are published late, and some never.
    """

    def get(self):
        after = int(self.get_argument("after", "0"))
        events = self.state.batch.cache.events_after(after, time.monotonic())
        rows = [{"seq": e.sequence, "kind": e.kind, "block": e.block} for e in events]
        self.send_json({"events": rows})


class FaultsHandler(_EngineHandler):
    """``POST /v1/faults`` ``{"crossed_answers": N}``.

    The next N responses carry the id of another request.
    """

    def post(self):
        self.state.crossed_answers = int(self.json_body().get("crossed_answers", 0))
        self.send_json({"crossed_answers": self.state.crossed_answers})


class KvHandler(_EngineHandler):
    """``POST /v1/kv/<handle>/take``: transfer an exported KV cache, once."""

    def post(self, handle):
        tokens = self.state.batch.pop_handle(handle, time.monotonic())
        if tokens is None:
            self.send_json({"error": "no such handle"}, status=404)
            return
        self.send_json({"tokens": tokens})


def make_app(config):
    """Return the tornado application of one engine stand-in."""
    state = EngineState(config)
    args = {"state": state}
    app = tornado.web.Application(
        [
            (r"/v1/completions", CompletionHandler, {"state": state, "chat": False}),
            (
                r"/v1/chat/completions",
                CompletionHandler,
                {"state": state, "chat": True},
            ),
            (r"/v1/orders", OrderHandler, args),
            (r"/v1/state", StateHandler, args),
            (r"/v1/load", LoadHandler, args),
            (r"/v1/cache_events", CacheEventsHandler, args),
            (r"/v1/kv/([0-9a-f]+)/take", KvHandler, args),
            (r"/v1/faults", FaultsHandler, args),
        ]
    )
    app.engine_state = state
    return app


async def serve(address, config):
    """Serve one engine stand-in on ``address`` until cancelled."""
    app = make_app(config)
    host, port = split_address(address)
    app.listen(port, address=host)
    state = app.engine_state
    batch_task = asyncio.ensure_future(state.batch.run(time.monotonic))
    while not batch_task.done():
        state.refresh_report(time.monotonic())
        await asyncio.sleep(LOAD_REPORT_INTERVAL_SECONDS)
    # Raises the error that ended the batch.
    batch_task.result()
