"""Cancellations of jobs that are not in the table of jobs.

The record of a submission without a response may be stored seconds later. A
caller who has cancelled the job meanwhile was told that there is none, so the
cancellation is recorded as well, and such a job never starts.
"""

import msgspec

from amaranthflow import exceptions
from amaranthflow import ids

from . import decoding

# Versions that do not know this state set the record aside.
_HEAD = [1, 'withdrawn', 0]
_PREFIX = msgspec.json.encode(_HEAD)[:-1]
_Record = tuple[int, str, int, int]


class Withdrawals:
    """Ids of the jobs that were cancelled while they were unknown."""

    def __init__(self):
        self._cancelled_ms: dict[ids.JobId, int] = {}

    def __contains__(self, job_id: object) -> bool:
        return job_id in self._cancelled_ms

    def add(self, job_id: ids.JobId, now_ms: int) -> bool:
        """Adds a job; returns False if it was cancelled before."""
        if job_id in self._cancelled_ms:
            return False
        self._cancelled_ms[job_id] = now_ms
        return True

    def pop(self, job_id: ids.JobId) -> int | None:
        """Removes a job; returns when it was cancelled, in Unix ms."""
        return self._cancelled_ms.pop(job_id, None)

    def expired(self, now_ms: int, kept_ms: float) -> list[ids.JobId]:
        """Returns the jobs that were cancelled more than ``kept_ms`` ago."""
        return [
            job_id
            for job_id, cancelled_ms in self._cancelled_ms.items()
            if now_ms - cancelled_ms > kept_ms
        ]

    def encode(self, job_id: ids.JobId) -> bytes | None:
        """Returns the progress record of a job, or None without one."""
        cancelled_ms = self._cancelled_ms.get(job_id)
        if cancelled_ms is None:
            return None
        return msgspec.json.encode([*_HEAD, cancelled_ms])

    def restore(self, job_id: ids.JobId, value: bytes) -> bool:
        """Adds a job if its progress record says that it was withdrawn.

        Returns whether it does. Raises InvalidRecord if it cannot be read.
        """
        if not value.startswith(_PREFIX):
            return False
        try:
            record = decoding.decode(value, _Record)
        except exceptions.InvalidRecord as exc:
            reason = f'withdrawal of job {job_id}: {exc}'
            raise exceptions.InvalidRecord(reason) from exc
        self._cancelled_ms[job_id] = record[-1]
        return True
