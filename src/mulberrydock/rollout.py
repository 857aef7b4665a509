"""Rolling changes of engines without interrupting their requests.

An engine to be changed is first cordoned: the plan record in the store names it
and entries send it no new work. It is ordered to change only when a load report
made after the cordon took effect shows that it is idle, and released when it is
available with its target.
"""

import attrs

#: Seconds after a cordon is written within which entries act on it.
CORDON_SETTLE_SECONDS = 1.0
#: Maximum share of the engines that may be cordoned at a time (one always may).
MAX_CORDONED_SHARE = 0.25


@attrs.define(frozen=True)
class Target:
    """The model, version, adapter and role that an engine runs or should run."""

    model: str
    version: str
    adapter: str
    role: str


@attrs.define(frozen=True)
class EngineView:
    """An engine's state as the controller read it in one pass.

    ``instance`` identifies its incarnation and ``sequence`` is the number of orders
    that it has accepted in it. ``running`` and ``waiting`` are the numbers of requests
    in its load report, made at ``reported_at`` (monotonic seconds).
    """

    name: str
    instance: str = ""
    model: str = ""
    version: str = ""
    adapter: str = ""
    role: str = ""
    sequence: int = 0
    available: bool = False
    running: int = 0
    waiting: int = 0
    reported_at: float = 0.0
    prefilled_tokens: int = 0
    output_tokens: int = 0

    @property
    def current_target(self):
        """What it runs now, as a :class:`Target`."""
        return Target(self.model, self.version, self.adapter, self.role)


@attrs.define
class Actions:
    """The decisions of one pass: names of engines to cordon, release and order.

    ``hold`` lists those to cordon.
    """

    hold: list = attrs.field(factory=list)
    release: list = attrs.field(factory=list)
    order: list = attrs.field(factory=list)


class Rollout:
    """The decision which engines may be changed, from pass to pass.

    :attr:`cordoned` maps an engine's name to the time (monotonic seconds) when its
    cordon was written to the store.
    """

    def __init__(self):
        self.cordoned = {}

    def decide(self, views, targets, now):
        """Return the :class:`Actions` of this pass.

        :param views: the reachable engines' :class:`EngineView` by name.
        :param targets: the desired :class:`Target` by engine name.
        :param now: monotonic seconds.
        """
        actions = Actions()
        for name in self.cordoned:
            if self._finished(views.get(name), targets.get(name)):
                actions.release.append(name)
        cordoned = len(self.cordoned) - len(actions.release)
        limit = max(1, int(len(targets) * MAX_CORDONED_SHARE))
        for name, target in sorted(targets.items()):
            view = views.get(name)
            if view is None or view.current_target == target:
                continue
            if not view.model or self._empty(view, now):
                # An engine without a model runs no requests: it needs no cordon.
                actions.order.append(name)
            elif name not in self.cordoned and cordoned < limit:
                actions.hold.append(name)
                cordoned += 1
        return actions

    def _finished(self, view, target):
        # An unreachable engine is released as well: entries detect its failure by
        # themselves, and it must not block the change of others.
        if view is None or target is None:
            return True
        return view.current_target == target and view.available

    def _empty(self, view, now):
        cordoned_at = self.cordoned.get(view.name)
        if cordoned_at is None:
            return False
        # A report made before the entries acted on the cordon may lack a request
        # sent since; only a later one proves that the engine is idle.
        in_force = cordoned_at + CORDON_SETTLE_SECONDS
        return view.reported_at >= in_force and view.running + view.waiting == 0
