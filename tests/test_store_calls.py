"""What each call to the platform's store is counted as."""

import asyncio

import pytest

from mulberrydock import defaults
from mulberrydock.fleet import free_ports
from mulberrydock.platform import PlatformStore
from mulberrydock.store_calls import call_purpose


@pytest.mark.parametrize(
    ("method", "args", "purpose"),
    [
        ("watch", ("", 3, 0.0), "watch"),
        ("range", ("",), "range"),
        ("grant", (9.0,), "lease_grant"),
        ("keepalive", (7,), "lease_renewal"),
        ("revoke", (7,), "lease_end"),
        ("put", (defaults.ENTRY_PREFIX + "entry-1", "x"), "vm_record"),
        ("get", (defaults.LEADER_KEY,), "leader"),
        ("put", (defaults.USAGE_KEY, "x"), "usage"),
        ("write_all", ({defaults.CRASH_PREFIX + "a/i": "x"}, []), "crashes"),
        ("write_all", ({}, [defaults.CRASH_PREFIX + "a/i"]), "crashes"),
        ("get", ("op/config",), "other"),
    ],
)
def test_unanswered_call_is_counted_by_its_purpose(method, args, purpose):
    """Guards against calls that are paid for and that no operator sees: each one
    counts when it is made, whether the store answers it or not."""
    (port,) = free_ports(1)
    store = PlatformStore(f"127.0.0.1:{port}", timeout=0.3)
    purposes = []
    store.on_call = lambda operation, key: purposes.append(call_purpose(operation, key))
    assert asyncio.run(getattr(store, method)(*args)).is_error()
    assert purposes == [purpose]
