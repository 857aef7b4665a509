"""Settings classes generated from schema/settings.schema.json."""

from __future__ import annotations

import attrs


@attrs.define(kw_only=True)
class Machine:
    """Memory and descriptors that each process may take on its VM."""

    memory_megabytes: float = attrs.field(default=300.0)
    max_descriptors: int = attrs.field(default=4100)


@attrs.define(kw_only=True)
class Deployment:
    """Name and timing of the deployment."""

    name: str = attrs.field()
    entry_list_ttl_seconds: float = attrs.field(default=10.0)
    entry_lease_ttl_seconds: float = attrs.field(default=6.0)
    stream_idle_timeout_seconds: float = attrs.field(default=3.0)
    drain_timeout_seconds: float = attrs.field(default=60.0)
    idempotency_retention_seconds: float = attrs.field(default=3600.0)


@attrs.define(kw_only=True)
class Endpoint:
    """Address of an external system."""

    address: str = attrs.field()


@attrs.define(kw_only=True)
class Engine:
    """One model engine of the language pool."""

    name: str = attrs.field()
    address: str = attrs.field()
    data_centre: str = attrs.field()
    checks_fencing: bool = attrs.field(default=True)
    batch_size: int = attrs.field(default=16)
    prefill_tokens_per_second: float = attrs.field(default=8000.0)
    decode_tokens_per_second: float = attrs.field(default=100.0)
    cache_blocks: int = attrs.field(default=512)


@attrs.define(kw_only=True)
class Service:
    """One instance of a plain application service."""

    name: str = attrs.field()
    kind: str = attrs.field()
    address: str = attrs.field()
    data_centre: str = attrs.field()
    non_idempotent_routes: list[str] = attrs.field(factory=lambda: ["records"])


@attrs.define(kw_only=True)
class Entry:
    """One entry VM and the daemon on it."""

    name: str = attrs.field()
    address: str = attrs.field()
    data_centre: str = attrs.field()


@attrs.define(kw_only=True)
class PriorityClass:
    """A priority class; lower ranks are served first, the deadline bounds the wait."""

    name: str = attrs.field()
    rank: int = attrs.field()
    deadline_seconds: float = attrs.field()


@attrs.define(kw_only=True)
class Control:
    """Timing of the controller."""

    lease_ttl_seconds: float = attrs.field(default=5.0)
    reconcile_interval_seconds: float = attrs.field(default=0.5)


@attrs.define(kw_only=True)
class Routing:
    """How entries choose an engine for a request."""

    policy: str = attrs.field(default="ring")


@attrs.define(kw_only=True)
class Roles:
    """How roles are planned for engines declared as auto; the weights trade goodput against role changes."""

    planner: str = attrs.field(default="static")
    goodput_weight: float = attrs.field(default=1.0)
    change_weight: float = attrs.field(default=2.0)
    settle_seconds: float = attrs.field(default=3.0)
    interval_seconds: float = attrs.field(default=10.0)


@attrs.define(kw_only=True)
class Declared:
    """The declared configuration: what each engine runs and which VMs are leaving."""

    engines: list[EngineOrder] = attrs.field()
    leaving: list[str] = attrs.field(factory=lambda: [])


@attrs.define(kw_only=True)
class EngineOrder:
    """What one engine should run."""

    engine: str = attrs.field()
    model: str = attrs.field()
    version: str = attrs.field(default="1")
    adapter: str = attrs.field(default="")
    role: str = attrs.field(default="auto")


@attrs.define(kw_only=True)
class Settings:
    """Settings of one deployment: the address of every process and what it serves."""

    deployment: Deployment = attrs.field()
    store: Endpoint = attrs.field()
    vm_list: Endpoint = attrs.field()
    data_centres: list[str] = attrs.field()
    engines: list[Engine] = attrs.field()
    services: list[Service] = attrs.field(factory=lambda: [])
    entries: list[Entry] = attrs.field()
    classes: list[PriorityClass] = attrs.field()
    control: Control = attrs.field(factory=Control)
    routing: Routing = attrs.field(factory=Routing)
    roles: Roles = attrs.field(factory=Roles)
    machine: Machine = attrs.field(factory=Machine)
    declared: Declared = attrs.field()


attrs.resolve_types(Machine)
attrs.resolve_types(Deployment)
attrs.resolve_types(Endpoint)
attrs.resolve_types(Engine)
attrs.resolve_types(Service)
attrs.resolve_types(Entry)
attrs.resolve_types(PriorityClass)
attrs.resolve_types(Control)
attrs.resolve_types(Routing)
attrs.resolve_types(Roles)
attrs.resolve_types(Declared)
attrs.resolve_types(EngineOrder)
attrs.resolve_types(Settings)
