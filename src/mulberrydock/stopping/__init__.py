"""How a VM stops: until when each step lasts, and what it still waits for.

The decision (``plan``) has no network and gets the present time as an argument; the
steps (``stop``) are carried out on what the daemon hands in. Nothing here imports the
daemon, the relay or the platform.
"""

from .plan import Step, StopPlan
from .requests import RequestsInProgress
from .stop import Stop
from .time_left import TimeLeft

__all__ = ["RequestsInProgress", "Step", "Stop", "StopPlan", "TimeLeft"]
