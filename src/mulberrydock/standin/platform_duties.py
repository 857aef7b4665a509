"""Stand-in for the platform's calls that one VM at a time makes.

It checks fencing tokens, counts what it accepted, and injects the faults that tests ask
for.
"""

import collections
import json

import tornado.web

from ..platform.duties import FENCING_TOKEN, HOLDER


class PlatformDutiesState:
    """What the platform accepted, and the faults that a test switches on.

    - ``reports``: counts by team of each window.
    - ``orders``: wanted engines by (service, data centre, reclaimable).
    - ``calls``: (path, holder, token) of each call, refused ones included.
    - ``busy``: number of calls still to be answered 429.
    - ``lost``: number of calls still to be kept for :meth:`apply_late`, without a
      response.
    - ``unavailable``: whether no engines are to be had.
    """

    def __init__(self):
        self.reports = {}
        self.orders = {}
        self.calls = []
        self.tokens = collections.Counter()
        self.busy = 0
        self.lost = 0
        self.unavailable = False
        self.kept = []

    def report_usage(self, token, body):
        """Carry out a usage report; return the status."""
        if not self._passes_fence("usage", token):
            return 409
        known = self.reports.setdefault(body["window_index"], body["counts"])
        if known != body["counts"]:
            raise AssertionError(f"two reports of window {body['window_index']}")
        return 200

    def order_engines(self, token, body):
        """Carry out an order of engines; return the status."""
        subject = (body["service"], body["zone"], body.get("spot", False))
        if not self._passes_fence(subject[:2], token) or self.unavailable:
            return 409
        self.orders[subject] = body["desired_count"]
        return 200

    def _passes_fence(self, subject, token):
        if token < self.tokens[subject]:
            return False
        self.tokens[subject] = token
        return True

    def apply_late(self):
        """Carry out the calls without a response; return their statuses."""
        kept, self.kept = self.kept, []
        return [carry_out(token, body) for carry_out, token, body in kept]


class _DutyHandler(tornado.web.RequestHandler):
    def initialize(self, state, carry_out):
        self.state = state
        self.carry_out = carry_out

    def post(self):
        token = int(self.request.headers[FENCING_TOKEN])
        holder = self.request.headers[HOLDER]
        body = json.loads(self.request.body)
        self.state.calls.append((self.request.path, holder, token))
        if self.state.busy:
            self.state.busy -= 1
            self.set_status(429)
            return
        if self.state.lost:
            self.state.lost -= 1
            self.state.kept.append((self.carry_out, token, body))
            self.request.connection.stream.close()
            return
        self.set_status(self.carry_out(token, body))


def make_app(state):
    """Return the tornado application over a :class:`PlatformDutiesState`."""
    return tornado.web.Application(
        [
            ("/usage", _DutyHandler, {"state": state, "carry_out": state.report_usage}),
            (
                "/scale",
                _DutyHandler,
                {"state": state, "carry_out": state.order_engines},
            ),
        ],
        log_function=lambda handler: None,
    )
