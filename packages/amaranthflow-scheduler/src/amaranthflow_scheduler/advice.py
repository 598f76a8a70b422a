"""Tickets of the adviser, which decides on which workers a step may run.

The adviser handles one query at a time and needs time for each worker in it.
A query therefore names few workers, the best ones first (see
``adviser_calls``), and short queries go before long ones that have not waited
longer. Workers that were refused, or for which a ticket is valid, are not
asked about again.
"""

import typing as t

from amaranthflow import ids

from . import adviser_calls
from . import execution
from . import model
from . import placement
from . import workers

# A ticket is not used if it may expire before it reaches the worker.
_EXPIRY_MARGIN_S = 0.3
_MAX_EXPIRY_MARGIN_SHARE = 0.25
# More calls for a step name no more workers.
_MAX_ROUNDS = 4


class StepKey(t.NamedTuple):
    """Identifies one occurrence of a step of a job."""

    job: ids.JobId
    occurrence: int
    step: int


def step_key(step_run: execution.StepRun) -> StepKey:
    """Returns the key of a step's occurrence."""
    job_id = step_run.job_run.job.id
    return StepKey(job_id, step_run.occurrence, step_run.number)


class Query(t.NamedTuple):
    """Asks which of some workers may run a step.

    :ivar requested_s: since when the step has waited for it.
    :ivar limit_s: how long to wait for the response.
    """

    step: StepKey
    workers: tuple[ids.WorkerId, ...]
    policy: model.AdvicePolicy = model.AdvicePolicy()
    requested_s: float = 0.0
    limit_s: float = 0.0


class _Ticket(t.NamedTuple):
    text: str
    valid_until_s: float
    born_ms: int


class Advice:
    """Tickets, refused workers and pending queries of each step."""

    def __init__(self):
        self._tickets: dict[StepKey, dict[ids.WorkerId, _Ticket]] = {}
        self._refused: dict[StepKey, set[ids.WorkerId]] = {}
        self._pending: dict[StepKey, Query] = {}
        self._rounds: dict[StepKey, int] = {}
        self._asked: StepKey | None = None
        self._call_times = adviser_calls.CallTimes()

    def ticket(
        self, step: StepKey, worker: ids.WorkerId, born_ms: int, now_s: float
    ) -> str:
        """Returns a valid ticket for a worker, or an empty string.

        :param born_ms: start time of the worker's current incarnation.
        """
        found = self._tickets.get(step, {}).get(worker)
        if found is None or found.born_ms != born_ms:
            return ''
        return found.text if now_s < found.valid_until_s else ''

    def request(
        self,
        step: StepKey,
        candidates: t.Iterable[ids.WorkerId],
        policy: model.AdvicePolicy,
        now_s: float,
        *,
        wanted: int,
    ) -> None:
        """Requests tickets for workers that were not refused.

        Does nothing while a query for the step waits for its response.

        :param candidates: workers without a ticket, the best ones first.
        :param wanted: number of workers that the step needs.
        """
        if step == self._asked:
            return
        refused = self._refused.get(step, set())
        queried = [worker for worker in candidates if worker not in refused]
        if not queried:
            return
        count = self._call_times.workers_per_call(
            policy, wanted, self._rounds.get(step, 0)
        )
        pending = self._pending.get(step)
        self._pending[step] = Query(
            step,
            tuple(queried[:count]),
            policy,
            now_s if pending is None else pending.requested_s,
        )

    def choose(
        self,
        step_run: execution.StepRun,
        candidates: t.Iterable[workers.Worker],
        now_s: float,
        policy: model.AdvicePolicy,
    ) -> list[workers.Worker]:
        """Returns the workers for which a step has a ticket.

        Requests tickets for other workers if there are too few.
        """
        key = step_key(step_run)
        ready, others = [], []
        for worker in candidates:
            if self.ticket(key, worker.id, worker.born_ms, now_s):
                ready.append(worker)
            elif placement.may_run(worker, step_run.step):
                others.append(worker)
        if others and len(ready) < step_run.waiting:
            others.sort(key=lambda worker: -worker.free().cpu)
            self.request(
                key,
                [worker.id for worker in others],
                policy,
                now_s,
                wanted=_workers_needed(step_run, others),
            )
        return ready

    def next_query(self, now_s: float) -> Query | None:
        """Removes and returns the query to send next, or returns None."""
        if not self._pending:
            return None
        query = min(
            self._pending.values(),
            key=lambda query: (
                query.requested_s
                + self._call_times.expected_s(query.policy, len(query.workers))
            ),
        )
        del self._pending[query.step]
        self._asked = query.step
        limit_s = self._call_times.limit_s(
            query.policy, len(query.workers), now_s
        )
        return query._replace(limit_s=limit_s)

    def on_response(
        self,
        query: Query,
        tickets: dict[ids.WorkerId, str],
        incarnations: dict[ids.WorkerId, int],
        *,
        sent_s: float,
        now_s: float,
        valid_ms: int = 0,
    ) -> None:
        """Handles the response to a query.

        :param incarnations: ``born_ms`` of each worker at the time of the
            query.
        :param sent_s: when the query was sent.
        :param valid_ms: how long the tickets are valid, 0 if the response
            does not say it.
        """
        self._asked = None
        self._call_times.on_response(
            query.policy, len(query.workers), sent_s, now_s
        )
        rounds = self._rounds.get(query.step, 0)
        self._rounds[query.step] = min(rounds + 1, _MAX_ROUNDS)
        valid_s = adviser_calls.valid_s(query.policy, valid_ms)
        margin_s = min(_EXPIRY_MARGIN_S, _MAX_EXPIRY_MARGIN_SHARE * valid_s)
        known = self._tickets.setdefault(query.step, {})
        refused = self._refused.setdefault(query.step, set())
        for worker in query.workers:
            text = tickets.get(worker)
            if text is None:
                refused.add(worker)
            else:
                known[worker] = _Ticket(
                    text,
                    now_s + valid_s - margin_s,
                    incarnations.get(worker, 0),
                )

    def on_no_response(
        self, query: Query, sent_s: float, now_s: float
    ) -> None:
        """Notes that a query was given up, which the adviser may handle."""
        self._asked = None
        self._call_times.on_no_response(
            query.policy, len(query.workers), sent_s, now_s
        )

    def on_failed(self) -> None:
        """Notes that the adviser did not handle a query."""
        self._asked = None

    def forget(self, job: ids.JobId) -> None:
        """Drops everything about the steps of an ended job."""
        tables: tuple[dict[StepKey, t.Any], ...] = (
            self._tickets,
            self._refused,
            self._pending,
            self._rounds,
        )
        for table in tables:
            for step in [step for step in table if step.job == job]:
                del table[step]


def _workers_needed(
    step_run: execution.StepRun, candidates: t.Iterable[workers.Worker]
) -> int:
    """Returns how many of the workers, in order, the waiting tasks need."""
    step = step_run.step
    left = step_run.waiting
    count = 0
    for worker in candidates:
        if left <= 0:
            break
        count += 1
        left -= placement.tasks_that_fit(worker, step)
    return count
