"""Builders of models, registrations and engines for placement tests."""

from monsoonhinge.config import ingress
from monsoonhinge.fleet import demand
from monsoonhinge.fleet import engine as engines
from monsoonhinge.fleet import engine_client
from monsoonhinge.protocol import fleet

SERVICE = "llm"
GIGABYTE = 10**9


def model(name: str, *, gigabytes: int = 70) -> ingress.EngineModel:
    return ingress.EngineModel(
        name=name,
        weights_bytes=gigabytes * GIGABYTE,
        load_s=6.0,
        disk_load_s=1.0,
        warm_load_s=0.8,
        adapters=20,
        adapter_bytes=GIGABYTE // 100,
    )


LIMITS = ingress.IngressEngine(
    slots=64,
    kv_tokens=120_000,
    weights_bytes=220 * GIGABYTE,
    adapter_capacity=8,
    loads_per_s=4.5,
    models=[model(f"m{number}") for number in range(20)],
)


def registration(
    target: str = "t1",
    *,
    incarnation: int = 1,
    sequence: int = 1,
    state: str = "ready",
    address: str = "10.0.0.1:80",
    models: tuple[str, ...] = (),
    on_disk: tuple[str, ...] = (),
) -> fleet.Registration:
    return fleet.Registration(
        target=target,
        incarnation=incarnation,
        sequence=sequence,
        service=SERVICE,
        address=address,
        availability_zone="a",
        slots=64,
        state=state,
        models=[fleet.HeldModel(name=name, version=1) for name in models],
        on_disk=list(on_disk),
    )


def engine(
    target: str = "t1",
    *,
    models: tuple[str, ...] = (),
    on_disk: tuple[str, ...] = (),
    running: dict[str, int] | None = None,
) -> engines.Engine:
    state = engines.Engine(
        registration=registration(target, models=models, on_disk=on_disk),
        limits=LIMITS,
        now=0.0,
    )
    state.order_count = 0
    state.update_usage(
        {(name, ""): count for name, count in (running or {}).items()}, 0.0
    )
    return state


def empty_engine(
    target: str, limits: ingress.IngressEngine, now: float
) -> engines.Engine:
    state = engines.Engine(
        registration=registration(target), limits=limits, now=now
    )
    state.order_count = 0
    state.retry_at = now
    return state


def key(name: str) -> demand.ModelKey:
    return demand.ModelKey(SERVICE, name)


def report(
    models: dict[str, list[str]], *, order_count: int = 0, busy: bool = False
) -> engine_client.Report:
    return engine_client.Report(
        models=models,
        busy=busy,
        order_count=order_count,
        pending_adapters=[],
        in_memory=[],
        on_disk=[],
        waiting=0,
        running=0,
    )
