"""Stand-in for the platform's VM list, which shows live and leaving VMs with a lag.

``POST /v1/vms/<name>`` with ``{"state": "leaving"}`` changes a VM's state at once;
``GET /v1/vms`` shows each change only after ``lag_seconds``.
"""

import asyncio
import time

import tornado.web

from .._http import JsonHandler, split_address

#: Time until the list shows a change.
DEFAULT_LAG_SECONDS = 5.0


class VmListState:
    """History of each VM's state as ``(monotonic seconds, state)``, for lagged views.

    :param names: the VMs, all live at first.
    :param lag_seconds: time until a change is shown.
    """

    def __init__(self, names, lag_seconds=DEFAULT_LAG_SECONDS):
        self.lag_seconds = lag_seconds
        self.changes = {name: [(0.0, "live")] for name in names}

    def set(self, name, state, now):
        """Record that ``name`` changed to ``state`` at ``now``."""
        self.changes.setdefault(name, [(0.0, "live")]).append((now, state))

    def view(self, now):
        """Return ``{name: state}`` as the list shows it at ``now``."""
        shown = {}
        for name, changes in self.changes.items():
            seen = [state for at, state in changes if at <= now - self.lag_seconds]
            shown[name] = seen[-1] if seen else "live"
        return shown


class VmsHandler(JsonHandler):
    """``GET /v1/vms`` returns the lagged list; ``POST /v1/vms/<name>`` sets a state."""

    def initialize(self, state):
        self.state = state

    def get(self, name=None):
        view = self.state.view(time.monotonic())
        self.send_json({"vms": [{"name": n, "state": s} for n, s in view.items()]})

    def post(self, name=None):
        self.state.set(name, self.json_body()["state"], time.monotonic())
        self.send_json({"name": name})


def make_app(names, lag_seconds=DEFAULT_LAG_SECONDS):
    """Return the tornado application of the VM list; see :class:`VmListState`."""
    state = VmListState(names, lag_seconds)
    app = tornado.web.Application(
        [
            (r"/v1/vms", VmsHandler, {"state": state}),
            (r"/v1/vms/(.+)", VmsHandler, {"state": state}),
        ]
    )
    app.vm_state = state
    return app


async def serve(address, names, lag_seconds=DEFAULT_LAG_SECONDS):
    """Serve the VM list on ``address`` until cancelled; see :class:`VmListState`."""
    app = make_app(names, lag_seconds)
    host, port = split_address(address)
    app.listen(port, address=host)
    await asyncio.Event().wait()
