"""Settings classes generated from schema/serve.schema.json."""

from __future__ import annotations

import attrs


@attrs.define(kw_only=True)
class Listen:
    """Addresses to listen on, as host:port, and the range of ports for peers."""

    front: str = attrs.field()
    ready: str = attrs.field()
    directory: str = attrs.field()
    metrics_port: int = attrs.field(default=0)
    peer_ports: list[int] = attrs.field()


@attrs.define(kw_only=True)
class PlatformStoreSettings:
    """Address of the platform's store and its shortest lease in seconds."""

    address: str = attrs.field()
    least_lease_seconds: float = attrs.field(default=1.0)


@attrs.define(kw_only=True)
class Duties:
    """Where usage is reported and engines are ordered, by one VM at a time. Seconds."""

    address: str = attrs.field(default="")
    names: list[str] = attrs.field(factory=lambda: [])
    usage_window_seconds: float = attrs.field(default=60.0)
    usage_due_seconds: float = attrs.field(default=60.0)


@attrs.define(kw_only=True)
class Machine:
    """Memory and descriptors that the process may take on its VM."""

    memory_megabytes: float = attrs.field(default=300.0)
    max_descriptors: int = attrs.field(default=4100)


@attrs.define(kw_only=True)
class Timing:
    """Limits that the platform sets, in seconds unless the name says otherwise."""

    contact_seconds: float = attrs.field()
    config_apply_seconds: float = attrs.field()
    drain_seconds: float = attrs.field()
    grace_seconds: float = attrs.field()
    answer_ttl_seconds: float = attrs.field()
    lease_seconds: float = attrs.field()
    retry_budget_ratio: float = attrs.field()
    retry_budget_window_seconds: float = attrs.field()
    retry_budget_floor: float = attrs.field()


@attrs.define(kw_only=True)
class ServeSettings:
    """Settings of one entry VM on the hosting platform."""

    name: str = attrs.field()
    data_centre: str = attrs.field()
    region: str = attrs.field()
    regions: dict[str, str] = attrs.field(factory=lambda: {})
    ip: str = attrs.field()
    first_start: bool = attrs.field(default=False)
    listen: Listen = attrs.field()
    store: PlatformStoreSettings = attrs.field()
    timing: Timing = attrs.field()
    duties: Duties = attrs.field(factory=Duties)
    machine: Machine = attrs.field(factory=Machine)


attrs.resolve_types(Listen)
attrs.resolve_types(PlatformStoreSettings)
attrs.resolve_types(Duties)
attrs.resolve_types(Machine)
attrs.resolve_types(Timing)
attrs.resolve_types(ServeSettings)
