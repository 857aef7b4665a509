"""What an engine reports of itself when it is asked."""

import attrs

from .instances import Stage


@attrs.define(frozen=True)
class RunReport:
    """A running request: its tokens in the engine's memory, and the events made."""

    tokens: int
    events: int


@attrs.define(frozen=True)
class EngineReport:
    """An engine's report of its own state, some hundred milliseconds old.

    ``busy`` is true while an order is being carried out; ``orders`` counts the
    orders accepted since its start at ``started_at_ms``, Unix milliseconds or None as
    in :class:`~mulberrydock.instances.InstanceRecord`. ``leaving`` is true when it is
    about to terminate, in ``leaves_seconds`` if it knows. ``runs`` maps request ids to
    :class:`RunReport`.
    """

    stage: Stage
    busy: bool
    orders: int
    started_at_ms: int | None = None
    leaving: bool = False
    leaves_seconds: float | None = None
    runs: dict = attrs.field(factory=dict)
