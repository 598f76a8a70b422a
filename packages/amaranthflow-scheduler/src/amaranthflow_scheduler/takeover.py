"""Which restored jobs a new leader may start at once.

Starts are recorded some ms after they were sent, so the last ones of an
earlier leader may not be recorded. A worker that does not report may run them,
and a second start would run a task twice. A leader that can still be reached
passes on what the store does not have. After any other one, restored jobs wait
until no worker can have an unrecorded run.
"""

import dataclasses
import typing as t

import msgspec

from amaranthflow import exceptions
from amaranthflow import ids

from . import logs
from . import workers


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Handover:
    """What a leader that sends no command any more passes to the next one.

    :ivar complete: each run that may exist or may still start, of this leader
        or an earlier one, is in the stored progress or in ``progress``.
    :ivar progress: newest progress records that the store may not have.
    """

    complete: bool
    progress: t.Mapping[ids.JobId, bytes] = dataclasses.field(
        default_factory=dict
    )

    def encode(self) -> dict:
        """Returns the message to the next leader."""
        progress = {
            key: value.decode() for key, value in self.progress.items()
        }
        return {'complete': self.complete, 'progress': progress}


class _Message(msgspec.Struct):
    complete: bool
    progress: dict[str, str]


def decode(message: dict) -> Handover:
    """Returns the handover in a message. Raises InvalidRecord."""
    try:
        fields = msgspec.convert(message, _Message)
    except msgspec.ValidationError as exc:
        raise exceptions.InvalidRecord(f'handover: {exc}') from exc
    return Handover(
        complete=fields.complete,
        progress={
            ids.JobId(job_id): value.encode()
            for job_id, value in fields.progress.items()
        },
    )


def may_have_unrecorded_runs(worker: workers.Worker, now_s: float) -> bool:
    """Returns whether a worker may run what an earlier leader started.

    It has no run that this leader does not know if it has reported to it, or
    if all leases of earlier leaders have expired. Whether it has an entry does
    not matter: a worker that is cut off may run on without one.
    """
    return worker.last_report_s is None and now_s <= worker.lease_end_s


class Takeover:
    """Holds back restored jobs while unrecorded runs of them may exist.

    Jobs that were accepted after the election are never held: no earlier
    leader has known them.

    :param elected_s: when this leader was elected, in seconds.
    """

    def __init__(self, *, elected_s: float):
        self._elected_s = elected_s
        self._until_s = elected_s
        self._jobs: set[ids.JobId] = set()

    @property
    def holding(self) -> bool:
        """True while any job is held."""
        return bool(self._jobs)

    def is_held(self, job_id: ids.JobId) -> bool:
        """Returns whether a job may not start runs yet."""
        return job_id in self._jobs

    def hold(self, job_ids: t.Iterable[ids.JobId], until_s: float) -> None:
        """Holds jobs until ``release`` finds that no worker may run them.

        :param until_s: until when further workers may turn up.
        """
        self._jobs.update(job_ids)
        self._until_s = until_s

    def release(self, fleet: t.Iterable[workers.Worker], now_s: float) -> None:
        """Releases the jobs if no worker may have an unrecorded run."""
        if not self._jobs or now_s < self._until_s:
            return
        if any(may_have_unrecorded_runs(worker, now_s) for worker in fleet):
            return
        logs.event(
            'held_jobs_released',
            jobs=len(self._jobs),
            seconds=round(now_s - self._elected_s, 2),
        )
        self._jobs.clear()
