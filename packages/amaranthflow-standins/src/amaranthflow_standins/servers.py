"""HTTP servers that expose the stand-ins over TCP, with fault injection.

``docs/operations/platform-interface.md`` describes the paths.
"""

import dataclasses
import json
import typing as t

from aiohttp import web

from amaranthflow import exceptions
from amaranthflow import http_calls
from amaranthflow import ids
from amaranthflow import log_adapter
from amaranthflow import platform
from amaranthflow import worker_adapter

from . import instances
from . import log as log_lib
from . import machine as machine_lib
from . import tcp_service


class LogServer:
    """Serves a log stand-in."""

    def __init__(self, *, log: log_lib.LogStandin):
        self.log = log
        self.service = tcp_service.TcpService(
            handlers={
                '/append': self._append,
                '/read': self._read,
                '/first': self._first,
            }
        )

    async def set_faults(self, **changes) -> None:
        """Changes faults; the port is closed while ``down`` is set."""
        self.log.set_faults(**changes)
        if self.log.faults.down:
            await self.service.close()
        else:
            await self.service.open()

    async def _append(self, req: web.BaseRequest) -> web.Response:
        data = await tcp_service.read_body(req)
        return await _answer(req, self._append_data(data))

    async def _append_data(self, data: bytes) -> web.Response:
        offset = await self.log.append(data)
        return web.Response(text=str(offset))

    async def _read(self, req: web.BaseRequest) -> web.Response:
        start = ids.Offset(int(req.query['start']))
        wait_s = float(req.query.get('wait_s', 0))
        return await _answer(req, self._read_page(start, wait_s))

    async def _read_page(
        self, start: ids.Offset, wait_s: float
    ) -> web.Response:
        try:
            page = await self.log.read(start, wait_s)
        except exceptions.OffsetExpired as exc:
            return web.Response(status=410, text=exc.reason)
        next_offset = str(page.next_offset)
        return web.Response(
            body=log_adapter.pack_entries(page.entries),
            headers={log_adapter.NEXT_OFFSET_HEADER: next_offset},
        )

    async def _first(self, req: web.BaseRequest) -> web.Response:
        return await _answer(req, self._first_offset())

    async def _first_offset(self) -> web.Response:
        return web.Response(text=str(await self.log.first_offset()))


class InstanceListServer:
    """Serves an instance list stand-in."""

    def __init__(self, *, instance_list: instances.InstanceListStandin):
        self.instance_list = instance_list
        self.service = tcp_service.TcpService(
            handlers={'/instances': self._snapshot}
        )

    async def _snapshot(self, req: web.BaseRequest) -> web.Response:
        return await _answer(req, self._phases())

    async def _phases(self) -> web.Response:
        phases = await self.instance_list.snapshot()
        return web.json_response({i: p.value for i, p in phases.items()})


class WorkerServer:
    """Serves the machine of one worker on a separate port."""

    def __init__(self, *, machine: machine_lib.Machine):
        self.machine = machine
        self.service = tcp_service.TcpService(
            handlers={
                '/call': self._call,
                '/tasks/start': self._control(self._start),
                '/tasks/renew': self._control(self._renew),
                '/tasks/list': self._control(self._tasks),
                '/tasks/checkpoint': self._control(self._checkpoint),
                '/tasks/throttle': self._control(self._throttle),
                '/tasks/stop': self._control(self._stop),
                '/usage': self._control(self._usage),
            },
            on_connections=machine.count_connections,
        )

    async def set_faults(self, **changes) -> None:
        """Changes faults; the port is closed while ``dead`` is set."""
        self.machine.set_faults(**changes)
        if self.machine.faults.dead:
            await self.service.close()
        else:
            await self.service.open()

    async def _call(self, req: web.BaseRequest) -> web.Response:
        headers = req.headers
        call = platform.BackendCall(
            request_id=ids.RequestId(headers[http_calls.REQUEST_ID_HEADER]),
            attempt=int(headers[http_calls.ATTEMPT_HEADER]),
            tenant_id=ids.TenantId(headers[worker_adapter.TENANT_HEADER]),
            service_id=ids.ServiceId(headers[worker_adapter.SERVICE_HEADER]),
            payload=await tcp_service.read_body(req),
            timeout_ms=int(headers[worker_adapter.TIMEOUT_HEADER]),
        )
        return await _answer(req, self._run_call(call))

    async def _run_call(self, call: platform.BackendCall) -> web.Response:
        try:
            answer = await self.machine.run_call(call)
        except machine_lib.BackendFailed as exc:
            return web.Response(status=500, text=exc.reason)
        return web.Response(
            body=answer.body,
            headers={
                http_calls.REQUEST_ID_HEADER: answer.request_id,
                http_calls.ATTEMPT_HEADER: str(answer.attempt),
                http_calls.LENGTH_HEADER: str(answer.length),
                http_calls.SHA256_HEADER: answer.sha256,
                'X-Service-Time-Us': str(answer.service_time_us),
            },
        )

    def _control(self, operation: t.Callable) -> tcp_service.Handler:
        async def handle(req: web.BaseRequest) -> web.Response:
            fields = json.loads(await tcp_service.read_body(req))
            return await _answer(req, operation(fields))

        return handle

    async def _start(self, fields: dict) -> web.Response:
        await self.machine.start(worker_adapter.decode_start(fields))
        return web.json_response({})

    async def _renew(self, fields: dict) -> web.Response:
        await self.machine.renew(fields['task_ids'], fields['lease_ms'])
        return web.json_response({})

    async def _tasks(self, fields: dict) -> web.Response:
        reports = await self.machine.tasks()
        return web.json_response(
            [worker_adapter.encode_report(report) for report in reports]
        )

    async def _usage(self, fields: dict) -> web.Response:
        reports = await self.machine.usage()
        return web.json_response([dataclasses.asdict(r) for r in reports])

    async def _checkpoint(self, fields: dict) -> web.Response:
        reference = await self.machine.checkpoint(fields['task_id'])
        return web.json_response({'checkpoint': reference})

    async def _throttle(self, fields: dict) -> web.Response:
        await self.machine.throttle(fields['task_id'], fields['share'])
        return web.json_response({})

    async def _stop(self, fields: dict) -> web.Response:
        report = await self.machine.stop(fields['task_id'])
        return web.json_response(worker_adapter.encode_report(report))


class ControlServer:
    """Sets faults and returns histories, on a separate port.

    Any of the servers may be missing.
    """

    def __init__(
        self,
        *,
        log: LogServer | None = None,
        instance_list: InstanceListServer | None = None,
        workers: t.Sequence[WorkerServer] = (),
    ):
        self._log = log
        self._list = instance_list
        self._workers = {
            server.machine.worker.worker_id: server for server in workers
        }
        self.service = tcp_service.TcpService(
            handlers={
                '/control/log': self._set_log,
                '/control/list': self._set_list,
                '/control/worker': self._set_worker,
                '/control/history': self._history,
            }
        )

    async def _set_log(self, req: web.BaseRequest) -> web.Response:
        if self._log is None:
            raise ValueError('this process serves no log')
        await self._log.set_faults(**await _fields(req))
        return web.json_response({'appends': self._log.log.append_count})

    async def _set_list(self, req: web.BaseRequest) -> web.Response:
        if self._list is None:
            raise ValueError('this process serves no instance list')
        fields = await _fields(req)
        phase = fields['phase']
        self._list.instance_list.set_phase(
            fields['instance_id'],
            platform.InstancePhase(phase) if phase else None,
        )
        return web.json_response({})

    async def _set_worker(self, req: web.BaseRequest) -> web.Response:
        fields = await _fields(req)
        server = self._workers[fields.pop('worker_id')]
        await server.set_faults(**fields)
        return web.json_response({})

    async def _history(self, req: web.BaseRequest) -> web.Response:
        return web.json_response(
            [s.machine.history.to_json() for s in self._workers.values()]
        )


async def _fields(req: web.BaseRequest) -> dict:
    return json.loads(await tcp_service.read_body(req))


async def _answer(
    req: web.BaseRequest, work: t.Awaitable[web.Response]
) -> web.Response:
    try:
        return await work
    except exceptions.PlatformUncertain:
        return tcp_service.drop(req)
    except exceptions.PlatformError as exc:
        headers = {http_calls.VERDICT_HEADER: http_calls.NOT_RUN}
        return web.Response(status=503, text=exc.reason, headers=headers)
