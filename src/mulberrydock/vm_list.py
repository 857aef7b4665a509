"""Polls the platform's list of live and leaving VMs.

The list lags: a VM that it shows as live may be leaving already. So it only adds
leaving VMs to those known from the configuration and the entry records.
"""

import asyncio

import tornado.httpclient

from ._http import fetch_json

#: Seconds between two reads of the list.
POLL_SECONDS = 1.0


class VmList:
    """The names of the leaving VMs, polled from the list at ``address``.

    :param address: ``host:port`` of the list.
    :param on_change: called with the set of names when it has changed.
    """

    def __init__(self, address, on_change):
        self.address = address
        self.on_change = on_change
        self.leaving = set()
        self.http = tornado.httpclient.AsyncHTTPClient()

    async def read(self):
        """Read the list once; if that fails, the names read before stay."""
        try:
            status, document = await fetch_json(
                self.http, "GET", self.address, "/v1/vms"
            )
        except (tornado.httpclient.HTTPClientError, OSError, ValueError):
            return
        if status != 200:
            return
        leaving = {v["name"] for v in document["vms"] if v["state"] != "live"}
        if leaving != self.leaving:
            self.leaving = leaving
            self.on_change(leaving)

    async def run(self):
        """Poll the list until cancelled."""
        while True:
            await self.read()
            await asyncio.sleep(POLL_SECONDS)
