"""Client of the platform's calls that one VM at a time makes: usage and engines."""

import asyncio
import enum
import json

import tornado.httputil

from ..connections import BufferedResponse, ConnectionPool
from ..exceptions import UpstreamError

#: Names of the duties in the settings.
USAGE_DUTY = "usage_report"
SCALING_DUTY = "autoscaler"
HOLDER = "X-Mulberrydock-Lease-Holder"
FENCING_TOKEN = "X-Mulberrydock-Fencing-Token"
#: Timeout of one call.
CALL_TIMEOUT_SECONDS = 1.5
#: Connections to the platform.
MAX_CONNECTIONS = 4


class DutyOutcome(enum.Enum):
    """How the platform answered a call.

    ``REFUSED`` is a conflict: another holder has a higher fencing token or, for an
    order of engines, there are none. After ``UNKNOWN`` the call may still be carried
    out.
    """

    ACCEPTED = "accepted"
    REFUSED = "refused"
    INVALID = "invalid"
    BUSY = "busy"
    UNKNOWN = "unknown"


class PlatformDuties:
    """Calls to ``address`` (``host:port``) in the name of a duty's holder."""

    def __init__(self, address):
        self.address = address
        self.pool = ConnectionPool(address, MAX_CONNECTIONS)

    async def report_usage(self, holder, token, window, counts):
        """Report the counts by team of one window; return a :class:`DutyOutcome`."""
        body = {"window_index": window, "counts": counts}
        return await self._call("/usage", holder, token, body)

    async def order_engines(self, holder, token, order):
        """Order a number of engines; return a :class:`DutyOutcome`.

        :param order: an :class:`~mulberrydock.scaling.EngineOrder`.
        """
        body = {
            "service": order.service,
            "zone": order.data_centre,
            "desired_count": order.count,
        }
        if order.reclaimable:
            body["spot"] = True
        return await self._call("/scale", holder, token, body)

    async def _call(self, path, holder, token, body):
        payload = json.dumps(body).encode()
        headers = tornado.httputil.HTTPHeaders(
            {
                "Host": self.address,
                HOLDER: holder,
                FENCING_TOKEN: str(token),
                "Content-Type": "application/json",
                "Content-Length": str(len(payload)),
            }
        )
        response = BufferedResponse()
        exchange = self.pool.exchange("POST", path, headers, payload, response)
        try:
            await asyncio.wait_for(exchange, CALL_TIMEOUT_SECONDS)
        except (UpstreamError, asyncio.TimeoutError):
            return DutyOutcome.UNKNOWN
        return _outcome(response.status)


def _outcome(status):
    if status == 200:
        return DutyOutcome.ACCEPTED
    if status == 409:
        return DutyOutcome.REFUSED
    if status in (429, 503):
        return DutyOutcome.BUSY
    return DutyOutcome.INVALID if 400 <= status < 500 else DutyOutcome.UNKNOWN
