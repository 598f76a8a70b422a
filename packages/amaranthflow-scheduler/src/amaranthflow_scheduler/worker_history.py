"""How reliable and how fast a worker has been of late.

Load: some workers of a fleet fail their runs, leave commands without a
response or are slow, although their health checks are good. A short job has
no time for a second mistake, so its tasks go elsewhere first.
"""

import collections
import dataclasses
import typing as t

import msgspec

from amaranthflow import exceptions
from amaranthflow import ids

from . import decoding

# A worker is probably faulty if runs of this many jobs failed on it and none
# has succeeded since.
_FAULTY_WORKER_JOBS = 2
_FAULTY_WORKER_BACKOFF_S = 5.0
# Backoff after an unanswered start; doubles with each consecutive one.
_UNANSWERED_BACKOFF_S = 0.3
_MAX_UNANSWERED_BACKOFF_S = 8.0
# Weight of the newest observation.
_SHARE_WEIGHT = 0.2
_SLOWNESS_WEIGHT = 0.4
# Faults of workers last some seconds. What was observed counts half after this
# time.
_HALF_LIFE_S = 8.0
_MIN_SHARE = 0.01
# Cost of each consecutive failure; also of a worker without a success for a
# task that has failed.
UNRELIABLE_COST = 0.6
# Cost per unit by which the slowness exceeds 1.
_SLOWNESS_COST = 2.0
# Cost of a worker that answers nothing. A single unanswered start tells little
# about it, as commands may be lost on the way.
_UNANSWERED_COST = 4.0
_USUAL_UNANSWERED_SHARE = 0.25
# A command is answered within some ms, or after one retransmission of a lost
# packet. Longer responses raise the limit, up to the timeout of a call.
_MIN_RESPONSE_LIMIT_S = 0.25
_MAX_RESPONSE_LIMIT_S = 0.4
_RESPONSE_RATIO = 5.0
_RECENT_RESPONSES = 8
# A command that follows an unanswered one is given up sooner.
_MIN_RETRY_LIMIT_S = 0.05
_RETRY_RATIO = 2.5
_NOTABLE_SLOWNESS = 1.1
_MAX_SLOWNESS = 100.0
_FORMAT = 1
_RECORDED_DIGITS = 2
# Most workers that a record names.
_MAX_RECORDED_WORKERS = 500


@dataclasses.dataclass(slots=True, kw_only=True)
class WorkerHistory:
    """What the leader has learned about one incarnation of a worker.

    :ivar successes: number of successful runs, also of earlier incarnations.
    :ivar proven_s: latest start of a run that has succeeded here; 0 if none is
        known.
    :ivar consecutive_failures: number of failed runs since the last success.
    :ivar failed_jobs: jobs of these runs.
    :ivar unanswered: number of consecutive unanswered starts.
    :ivar unanswered_share: share of recent starts without a response.
    :ivar slowness: usual speed of runs as a ratio to their speed here.
    """

    successes: int = 0
    proven_s: float = 0.0
    consecutive_failures: int = 0
    failed_jobs: set[ids.JobId] = dataclasses.field(default_factory=set)
    unanswered: int = 0
    unanswered_share: float = 0.0
    slowness: float = 1.0
    _faded_s: float | None = None
    _recent_s: collections.deque[float] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=_RECENT_RESPONSES)
    )

    def on_restart(self) -> None:
        """Forgets what held for the previous incarnation."""
        self.failed_jobs.clear()
        self.proven_s = 0.0
        self.consecutive_failures = 0
        self.slowness = 1.0
        self.unanswered_share = 0.0

    def on_success(self, began_s: float = 0.0) -> None:
        """Notes a successful run.

        :param began_s: when it began, 0 if that is not known.
        """
        self.successes += 1
        self.proven_s = max(self.proven_s, began_s)
        self.consecutive_failures = 0
        self.failed_jobs.clear()

    def on_failure(self, job_id: ids.JobId) -> float:
        """Notes a failed run; returns for how many seconds to back off."""
        self.consecutive_failures += 1
        self.failed_jobs.add(job_id)
        if len(self.failed_jobs) >= _FAULTY_WORKER_JOBS:
            return _FAULTY_WORKER_BACKOFF_S
        return 0.0

    def excuse(self, job_id: ids.JobId) -> None:
        """Notes that a job has failed for a reason of its own."""
        self.failed_jobs.discard(job_id)

    def on_answer(self, took_s: float) -> None:
        """Notes that the worker has answered a start."""
        self.unanswered = 0
        self.unanswered_share *= 1 - _SHARE_WEIGHT
        self._recent_s.append(took_s)

    def on_no_answer(self) -> float:
        """Notes an unanswered start; returns how long to back off, in s."""
        backoff_s = _UNANSWERED_BACKOFF_S * 2**self.unanswered
        self.unanswered += 1
        self.unanswered_share += _SHARE_WEIGHT * (1 - self.unanswered_share)
        return min(_MAX_UNANSWERED_BACKOFF_S, backoff_s)

    def on_straggler(self, ratio: float) -> None:
        """Notes a run that takes ``ratio`` times as long as others."""
        self.slowness += _SLOWNESS_WEIGHT * (ratio - self.slowness)

    def fade(self, now_s: float) -> None:
        """Lets slowness and unanswered starts fade with time.

        A worker that is avoided for them gets no runs that would show its
        recovery.
        """
        since_s, self._faded_s = self._faded_s, now_s
        if since_s is None:
            return
        left = 0.5 ** ((now_s - since_s) / _HALF_LIFE_S)
        if self.unanswered_share:
            self.unanswered_share *= left
            if self.unanswered_share < _MIN_SHARE:
                self.unanswered_share = 0.0
        if self.slowness != 1.0:
            self.slowness = 1.0 + left * (self.slowness - 1.0)

    @property
    def slowest_response_s(self) -> float:
        """Slowest of the recent responses, in seconds."""
        return max(self._recent_s, default=_MAX_RESPONSE_LIMIT_S)

    @property
    def response_limit_s(self) -> float:
        """Seconds after which a command counts as unanswered."""
        limit_s = _RESPONSE_RATIO * self.slowest_response_s
        return min(max(limit_s, _MIN_RESPONSE_LIMIT_S), _MAX_RESPONSE_LIMIT_S)

    @property
    def retry_limit_s(self) -> float:
        """Seconds after which a repeated command counts as unanswered."""
        limit_s = _RETRY_RATIO * self.slowest_response_s
        return min(max(limit_s, _MIN_RETRY_LIMIT_S), self.response_limit_s)

    @property
    def cost(self) -> float:
        """Cost of a run on this worker, beside those of its other runs."""
        return (
            UNRELIABLE_COST * self.consecutive_failures
            + _UNANSWERED_COST
            * max(0.0, self.unanswered_share - _USUAL_UNANSWERED_SHARE)
            + _SLOWNESS_COST * max(0.0, self.slowness - 1.0)
        )

    @property
    def notable(self) -> bool:
        """Whether the next leader should know it."""
        return self.slowness > _NOTABLE_SLOWNESS or bool(
            self.unanswered_share > _USUAL_UNANSWERED_SHARE or self.failed_jobs
        )


class _Row(t.NamedTuple):
    """Recorded history of one incarnation of a worker."""

    worker: str
    born_ms: int
    consecutive_failures: int
    unanswered_share: float
    slowness: float


def encode(
    histories: t.Iterable[tuple[ids.WorkerId, int, WorkerHistory]],
) -> bytes:
    """Returns a record of the notable histories.

    :param histories: id, incarnation and history of each worker.
    """
    rows = [
        _Row(
            worker_id,
            born_ms,
            history.consecutive_failures,
            round(history.unanswered_share, _RECORDED_DIGITS),
            round(history.slowness, _RECORDED_DIGITS),
        )
        for worker_id, born_ms, history in histories
        if born_ms and history.notable
    ]
    return msgspec.json.encode([_FORMAT, rows[:_MAX_RECORDED_WORKERS]])


def decode(value: bytes) -> dict[tuple[ids.WorkerId, int], WorkerHistory]:
    """Returns the recorded histories by worker and incarnation.

    Raises InvalidRecord if the record cannot be read.
    """
    try:
        form, rows = decoding.decode(value, tuple[int, list[_Row]])
    except exceptions.InvalidRecord as exc:
        raise exceptions.InvalidRecord(f'histories of workers: {exc}') from exc
    if form != _FORMAT:
        raise exceptions.InvalidRecord(
            f'unknown format {form} of histories of workers'
        )
    return {
        (ids.WorkerId(row.worker), row.born_ms): WorkerHistory(
            consecutive_failures=max(0, row.consecutive_failures),
            unanswered_share=min(max(0.0, row.unanswered_share), 1.0),
            slowness=min(max(0.0, row.slowness), _MAX_SLOWNESS),
        )
        for row in rows
    }
