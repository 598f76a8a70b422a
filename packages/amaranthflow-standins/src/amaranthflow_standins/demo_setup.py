"""Configuration of the demo: workers, tenants and services."""

import typing as t

from amaranthflow import ids
from amaranthflow_schema.v1 import world_pb2

from . import load
from . import standin_process

INSTANCE_ZONES = (
    ids.ZoneId('kozhikode'),
    ids.ZoneId('kozhikode'),
    ids.ZoneId('kannur'),
)
RACK_ZONES = {
    ids.RackId('rack-1'): ids.ZoneId('kozhikode'),
    ids.RackId('rack-2'): ids.ZoneId('kozhikode'),
    ids.RackId('rack-3'): ids.ZoneId('kannur'),
}
REGION = 'kerala'
TENANTS = (
    load.TenantLoad(
        tenant_id=ids.TenantId('consortium'),
        service_id=ids.ServiceId('workshop-planning'),
        task_class=ids.TaskClass('hide-sorting'),
        calls_per_s=40.0,
        jobs_per_s=5.0,
        wave_jobs=40,
    ),
    load.TenantLoad(
        tenant_id=ids.TenantId('kerbrat'),
        service_id=ids.ServiceId('shelf-talkers'),
        task_class=ids.TaskClass('press-proofs'),
        calls_per_s=60.0,
        jobs_per_s=3.0,
        wave_jobs=20,
    ),
)

_WORKERS_PER_RACK = 2
_SLOTS = 8
_CONNECTIONS = 60
_CORES = 32.0
_MEMORY_MB = 125_000
_REQUEST_CORES = 0.5
_REQUEST_MEMORY_MB = 200
_SEEDS_PER_RUN = 1000


def worker_specs(seed: int) -> t.Iterator[standin_process.ProcessSpec]:
    """Yields the specification of one worker process for each rack."""
    size = {'cores': _REQUEST_CORES, 'memory_mb': _REQUEST_MEMORY_MB}
    for index, rack_id in enumerate(RACK_ZONES):
        yield standin_process.ProcessSpec(
            seed=seed * _SEEDS_PER_RUN + index,
            worker_ids=[
                f'{rack_id}-{number + 1}'
                for number in range(_WORKERS_PER_RACK)
            ],
            cores=_CORES,
            memory_mb=_MEMORY_MB,
            slots=_SLOTS,
            connections=_CONNECTIONS,
            service_size={t.service_id: size for t in TENANTS},
        )


def changes(
    worker_addresses: t.Mapping[str, str],
) -> t.Iterator[world_pb2.Change]:
    """Yields the changes that configure tenants, services and workers."""
    for tenant in TENANTS:
        yield _change(f'tenant/{tenant.tenant_id}', tenant=_tenant(tenant))
    for tenant in TENANTS:
        yield _change(f'service/{tenant.service_id}', service=_service(tenant))
    for worker_id, address in worker_addresses.items():
        worker = _worker(worker_id, address)
        yield _change(f'worker/{worker_id}', worker=worker)


def _tenant(tenant: load.TenantLoad) -> world_pb2.Tenant:
    workers = len(RACK_ZONES) * _WORKERS_PER_RACK
    quota = world_pb2.Size(
        cores=workers * _CORES, memory_mb=workers * _MEMORY_MB
    )
    return world_pb2.Tenant(
        tenant_id=tenant.tenant_id,
        weight=1.0,
        quota=quota,
        quota_slots=workers * _SLOTS,
        urgent_slots=_SLOTS,
        retry_ratio=0.2,
    )


def _service(tenant: load.TenantLoad) -> world_pb2.Service:
    size = world_pb2.Size(cores=_REQUEST_CORES, memory_mb=_REQUEST_MEMORY_MB)
    return world_pb2.Service(
        service_id=tenant.service_id,
        tenant_id=tenant.tenant_id,
        size=size,
        timeout_ms=2000,
        tail_limit_ms=100,
        reserved_slots=1,
        task_class=tenant.service_id,
    )


def _worker(worker_id: str, address: str) -> world_pb2.Worker:
    rack_id = ids.RackId(worker_id.rpartition('-')[0])
    return world_pb2.Worker(
        worker_id=worker_id,
        address=address,
        rack_id=rack_id,
        zone_id=RACK_ZONES[rack_id],
        region_id=REGION,
        capacity=world_pb2.Size(cores=_CORES, memory_mb=_MEMORY_MB),
        slots=_SLOTS,
        connections=_CONNECTIONS,
    )


def _change(key: str, **body) -> world_pb2.Change:
    change_id = 'demo-' + key.replace('/', '-')
    return world_pb2.Change(
        change_id=change_id, key=key, operator='demo', **body
    )
