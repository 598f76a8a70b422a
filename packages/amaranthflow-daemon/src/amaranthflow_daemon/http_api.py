"""HTTP interface for callers and the load balancer."""

import base64
import binascii
import typing as t
import uuid

import sanic
import sanic.exceptions as sanic_exceptions

from amaranthflow import exceptions
from amaranthflow import ids
from amaranthflow import validation
from amaranthflow import verdict
from amaranthflow_schema.v1 import operators_pb2
from amaranthflow_schema.v1 import world_pb2

from . import client_guard
from . import logs
from . import node as node_lib
from . import router as router_lib
from . import submissions as submissions_lib

_MAX_TIMEOUT_MS = 3_600_000
_MAX_UINT32 = 2**32 - 1
_MAX_UINT64 = 2**64 - 1
_BOOLEANS = {'true': True, 'false': False}
_SERVER_ERROR = 500
_RETRY_HEADER = 'X-Retry-After-Ms'


class _BadRequest(exceptions.RequestRefused):
    """A header or the body is malformed."""


class HttpApi:
    """Handlers of the callers' requests.

    :ivar in_progress: number of requests being handled.
    """

    def __init__(
        self,
        *,
        node: node_lib.Node,
        router: router_lib.Router,
        submissions: submissions_lib.Submissions,
    ):
        self._node = node
        self._router = router
        self._submissions = submissions
        self.in_progress = 0

    def make_app(self) -> sanic.Sanic:
        """Builds the application without starting a server."""
        app = sanic.Sanic(
            f'amaranthflow-{uuid.uuid4().hex}',
            configure_logging=False,
            request_class=client_guard.Request,
        )
        app.config.REQUEST_MAX_SIZE = self._node.cfg.max_body_bytes
        app.config.FALLBACK_ERROR_FORMAT = 'json'
        app.config.MOTD = False
        app.add_route(self.live, '/live', methods=['GET'])
        app.add_route(self.ready, '/ready', methods=['GET'])
        app.add_route(
            self.call, '/v1/services/<service_id:str>/call', methods=['POST']
        )
        app.add_route(self.submit, '/v1/jobs', methods=['POST'])
        app.add_route(self.show, '/v1/jobs/<job_id:str>', methods=['GET'])
        app.add_route(self.cancel, '/v1/jobs/<job_id:str>', methods=['DELETE'])
        app.error_handler.add(
            sanic_exceptions.SanicException, _handle_sanic_error
        )
        app.error_handler.add(Exception, _handle_unexpected_error)
        return app

    async def live(self, request: sanic.Request) -> sanic.HTTPResponse:
        """Liveness probe: answers while the event loop runs."""
        return sanic.response.text('live\n')

    async def ready(self, request: sanic.Request) -> sanic.HTTPResponse:
        """Readiness probe: tells the balancer whether to send callers here."""
        if self._node.ready and (
            self._node.joined or self._node.state_from_peer
        ):
            return sanic.response.text('ready\n')
        return sanic.response.text('not ready\n', status=503)

    async def call(
        self, request: sanic.Request, service_id: str
    ) -> sanic.HTTPResponse:
        """Runs a latency-critical request."""
        with self._count_request():
            try:
                req = _parse_request(request, service_id)
                with logs.request_action(
                    req.request_id, tenant=req.tenant_id, service=service_id
                ):
                    reply = await self._router.call(req)
            except exceptions.AmaranthflowError as exc:
                return _error_response(exc)
        return sanic.response.raw(
            reply.payload,
            headers={
                'X-Request-Id': reply.request_id,
                'X-Attempt': str(reply.attempt),
                'X-Sha256': reply.sha256,
                'X-Verdict': 'completed',
                'X-Service-Time-Us': str(reply.service_time_us),
            },
        )

    async def submit(self, request: sanic.Request) -> sanic.HTTPResponse:
        """Accepts a batch job."""
        with self._count_request():
            try:
                job = _parse_job(request)
                with logs.job_action(job.job_id, tenant=job.tenant_id):
                    reply = await self._submissions.submit(job)
            except exceptions.AmaranthflowError as exc:
                return _error_response(exc)
        return _job_response(reply, status=202)

    async def show(
        self, request: sanic.Request, job_id: str
    ) -> sanic.HTTPResponse:
        """Returns the state of a job of the tenant."""
        try:
            reply = self._submissions.show(_tenant(request), job_id)
        except exceptions.AmaranthflowError as exc:
            return _error_response(exc)
        return _job_response(reply)

    async def cancel(
        self, request: sanic.Request, job_id: str
    ) -> sanic.HTTPResponse:
        """Cancels a job of the tenant."""
        with self._count_request():
            try:
                reply = await self._submissions.cancel(
                    _tenant(request), job_id
                )
            except exceptions.AmaranthflowError as exc:
                return _error_response(exc)
        return _job_response(reply)

    def _count_request(self) -> '_RequestCounter':
        return _RequestCounter(api=self)


class _RequestCounter:
    """Counts a request as in progress within a ``with`` block."""

    def __init__(self, *, api: HttpApi):
        self._api = api

    def __enter__(self):
        self._api.in_progress += 1

    def __exit__(self, *exc_info):
        self._api.in_progress -= 1


def _tenant(request: sanic.Request) -> ids.TenantId:
    value = request.headers.get('X-Tenant', '')
    _check(lambda: validation.check_id('X-Tenant', value))
    return ids.TenantId(value)


def _check(check: t.Callable[[], None]) -> None:
    try:
        check()
    except exceptions.RequestRefused as exc:
        raise _BadRequest(exc.reason) from exc


def _parse_request(
    request: sanic.Request, service_id: str
) -> router_lib.CallerRequest:
    request_id = request.headers.get('X-Request-Id') or uuid.uuid4().hex
    _check(lambda: validation.check_id('X-Request-Id', request_id))
    idempotent = _BOOLEANS.get(request.headers.get('X-Idempotent', 'false'))
    if idempotent is None:
        raise _BadRequest('X-Idempotent is neither true nor false')
    return router_lib.CallerRequest(
        request_id=ids.RequestId(request_id),
        tenant_id=_tenant(request),
        service_id=ids.ServiceId(service_id),
        payload=request.body,
        idempotent=idempotent,
        timeout_ms=_timeout_ms(request),
    )


def _timeout_ms(request: sanic.Request) -> int:
    text = request.headers.get('X-Timeout-Ms', '0')
    digits = text.lstrip('0')
    too_long = len(digits) > len(str(_MAX_TIMEOUT_MS))
    if not text.isdecimal() or too_long or int(digits or 0) > _MAX_TIMEOUT_MS:
        raise _BadRequest(f'X-Timeout-Ms is not in 0..{_MAX_TIMEOUT_MS}')
    return int(text)


def _parse_job(request: sanic.Request) -> world_pb2.Job:
    tenant_id = _tenant(request)
    try:
        body = request.json
    except sanic_exceptions.BadRequest as exc:
        raise _BadRequest('the body is not JSON') from exc
    if not isinstance(body, dict):
        raise _BadRequest('the body is not a JSON object')
    return _job_from_body(body, tenant_id)


def _job_from_body(body: dict[str, t.Any], tenant_id: str) -> world_pb2.Job:
    unknown = sorted(set(body) - _JOB_FIELDS.keys())
    if unknown:
        raise _BadRequest(f'unknown field {unknown[0]!r}')
    for name, value in body.items():
        _JOB_FIELDS[name](name, value)
    return world_pb2.Job(
        job_id=body.get('job_id', uuid.uuid4().hex),
        tenant_id=tenant_id,
        task_class=body.get('task_class', ''),
        declared=world_pb2.Size(
            cores=body.get('cores', 0),
            memory_mb=body.get('memory_mb', 0),
            accelerators=body.get('accelerators', 0),
        ),
        declared_run_ms=body.get('run_ms', 0),
        idempotent=body.get('idempotent', False),
        urgent=body.get('urgent', False),
        payload=_payload(body.get('payload', '')),
    )


def _check_text(name: str, value: t.Any) -> None:
    if not isinstance(value, str):
        raise _BadRequest(f'{name} is not a string')


def _check_flag(name: str, value: t.Any) -> None:
    if not isinstance(value, bool):
        raise _BadRequest(f'{name} is neither true nor false')


def _check_number(name: str, value: t.Any) -> None:
    if type(value) not in (int, float):
        raise _BadRequest(f'{name} is not a number')
    if not 0 <= value <= validation.MAX_CORES:
        raise _BadRequest(f'{name} is not in 0..{validation.MAX_CORES}')


def _check_uint32(name: str, value: t.Any) -> None:
    _check_integer(name, value, _MAX_UINT32)


def _check_uint64(name: str, value: t.Any) -> None:
    _check_integer(name, value, _MAX_UINT64)


def _check_integer(name: str, value: t.Any, limit: int) -> None:
    if type(value) is not int or not 0 <= value <= limit:
        raise _BadRequest(f'{name} is not an integer in 0..{limit}')


def _payload(text: str) -> bytes:
    try:
        return base64.b64decode(text, validate=True)
    except (ValueError, binascii.Error) as exc:
        raise _BadRequest('payload is not base64') from exc


_JOB_FIELDS: dict[str, t.Callable[[str, t.Any], None]] = {
    'job_id': _check_text,
    'task_class': _check_text,
    'cores': _check_number,
    'memory_mb': _check_uint64,
    'accelerators': _check_uint32,
    'run_ms': _check_uint64,
    'idempotent': _check_flag,
    'urgent': _check_flag,
    'payload': _check_text,
}


def _job_response(
    reply: operators_pb2.JobReply, status: int = 200
) -> sanic.HTTPResponse:
    body = {
        'job_id': reply.job_id,
        'phase': reply.phase,
        'verdict': verdict.Verdict(reply.verdict).label,
        'attempt': reply.attempt,
        'evictions': reply.evictions,
        'reason': reply.reason,
        'result': base64.b64encode(reply.result).decode(),
    }
    return sanic.response.json(body, status=status)


def _status_of(exc: exceptions.AmaranthflowError) -> int:
    if isinstance(exc, _BadRequest):
        return 400
    if isinstance(exc, exceptions.RequestRefused):
        return _REFUSAL_STATUS.get(exc.reason, 400)
    if isinstance(exc, exceptions.Overloaded):
        return 429
    if exc.verdict is verdict.Verdict.NOT_RUN:
        return 503
    return 504


_REFUSAL_STATUS = {
    'unknown service': 404,
    'unknown job': 404,
    'unknown tenant': 403,
    'another job has this id': 409,
}


def _error_response(exc: exceptions.AmaranthflowError) -> sanic.HTTPResponse:
    body = {'verdict': exc.verdict.label, 'reason': exc.reason}
    headers = {'X-Verdict': exc.verdict.label.replace(' ', '-')}
    if exc.retry_after_ms is not None:
        body['retry_after_ms'] = exc.retry_after_ms
        headers[_RETRY_HEADER] = str(exc.retry_after_ms)
    return sanic.response.json(body, status=_status_of(exc), headers=headers)


def _handle_sanic_error(
    request: sanic.Request, exc: sanic_exceptions.SanicException
) -> sanic.HTTPResponse:
    """Answers a request that the HTTP library rejected.

    The library does so before a handler runs, so the request did not run.
    Its server errors are the exception.
    """
    if isinstance(exc, client_guard.TooLittleMemory):
        return _error_response(
            exceptions.Overloaded(
                str(exc), retry_after_ms=client_guard.RETRY_AFTER_MS
            )
        )
    if exc.status_code >= _SERVER_ERROR:
        return _handle_unexpected_error(request, exc)
    body = {'verdict': 'not run', 'reason': str(exc)}
    return sanic.response.json(
        body, status=exc.status_code, headers={'X-Verdict': 'not-run'}
    )


def _handle_unexpected_error(
    request: sanic.Request, exc: Exception
) -> sanic.HTTPResponse:
    """Answers after an internal error without disclosing its details."""
    logs.log_event(
        'handler failed',
        level=logs.ERROR,
        path=request.path,
        reason=repr(exc),
    )
    failure = exceptions.RequestUncertain('internal error')
    body = {'verdict': failure.verdict.label, 'reason': failure.reason}
    headers = {'X-Verdict': failure.verdict.label.replace(' ', '-')}
    return sanic.response.json(body, status=_SERVER_ERROR, headers=headers)
