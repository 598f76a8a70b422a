"""Identifier types, each distinct to a type checker."""

import typing as t

InstanceId = t.NewType('InstanceId', str)
WorkerId = t.NewType('WorkerId', str)
RackId = t.NewType('RackId', str)
ZoneId = t.NewType('ZoneId', str)
TenantId = t.NewType('TenantId', str)
ServiceId = t.NewType('ServiceId', str)
JobId = t.NewType('JobId', str)
RequestId = t.NewType('RequestId', str)
TaskId = t.NewType('TaskId', str)
TaskClass = t.NewType('TaskClass', str)
Offset = t.NewType('Offset', int)
Epoch = t.NewType('Epoch', int)
Incarnation = t.NewType('Incarnation', int)
_MAX_ATTEMPT_DIGITS = 10


class Member(t.NamedTuple):
    """A process: an instance and its incarnation.

    A restarted process has a higher incarnation and is a new member.
    """

    instance: InstanceId
    incarnation: Incarnation

    def __str__(self):
        return f'{self.instance}#{self.incarnation}'


def batch_task_id(job_id: JobId, attempt: int) -> TaskId:
    """Returns the id of the task that runs an attempt of a batch job."""
    return TaskId(f'job:{job_id}:{attempt}')


def split_batch_task_id(task_id: TaskId) -> tuple[JobId, int] | None:
    """Parses a batch task's id; returns None for other tasks."""
    kind, _, rest = task_id.partition(':')
    job_id, _, attempt = rest.rpartition(':')
    if kind != 'job' or not job_id or len(attempt) > _MAX_ATTEMPT_DIGITS:
        return None
    if not attempt.isascii() or not attempt.isdigit():
        return None
    return JobId(job_id), int(attempt)


def request_task_id(request_id: RequestId, attempt: int) -> TaskId:
    """Returns the id of the task that runs an attempt of a request."""
    return TaskId(f'req:{request_id}:{attempt}')
