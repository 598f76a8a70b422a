"""Which incarnation of a worker a call can still reach.

The load are workers that start again under their ids. A call without a
response may still be executed, also by the worker's next incarnation. That one
knows no fencing token, and its clock and the numbers of its ends begin anew:
it starts a run that was meant for the former one, and takes a deadline of the
former clock for the longest lease.

So each incarnation gets a higher fencing token than those before. Once it has
answered a call with this token it rejects what was sent to earlier ones. Until
then it gets no runs, and its reports do not prove that a start has had no
effect.
"""

import typing as t

from . import execution
from . import logs
from . import model
from . import ports
from . import workers


class Tokens:
    """Fencing tokens of one term, in increasing order.

    Each record of the term in the table of leaders follows the term's claim
    and precedes the next one. So its offset gives a token between those of
    the two terms.

    :ivar newest: the highest token so far.

    :param is_exclusive: tells whether no other leader can have been elected. A
        new incarnation knows no newer leader's token, so that its answer does
        not tell.
    """

    def __init__(
        self, term: model.Token, *, is_exclusive: t.Callable[[], bool]
    ):
        self.newest = term
        self._is_exclusive = is_exclusive

    def on_stored(self, offset: int) -> None:
        """Notes that the store has a record of the term at an offset."""
        self.newest = max(self.newest, model.Token(offset + 1))

    def for_call(self, worker: workers.Worker) -> model.Token:
        """Returns the token of the next call to a worker."""
        if not worker.token:
            worker.token = self.newest
            if not self._is_exclusive():
                worker.former_token = self.newest
        if self.can_fence(worker):
            worker.token = self.newest
        return worker.token

    def can_fence(self, worker: workers.Worker) -> bool:
        """Returns whether a worker may get a higher token than before."""
        if worker.fenced or self.newest <= worker.former_token:
            return False
        return self._is_exclusive()


def is_overtaken(
    worker: workers.Worker, report: ports.WorkerReport, sent_s: float
) -> bool:
    """Returns whether a report of an earlier incarnation has arrived late.

    :param sent_s: when the report was requested. After the first report of
        the present incarnation had arrived, only that one or a later one can
        answer.
    """
    if report.born_ms == worker.born_ms or sent_s >= worker.born_reported_s:
        return False
    logs.event(
        'report_overtaken',
        worker=worker.id,
        born_ms=report.born_ms,
        present_born_ms=worker.born_ms,
    )
    return True


def on_restart(
    worker: workers.Worker, report: ports.WorkerReport, now_s: float
) -> None:
    """Resets what is known about a worker's previous incarnation.

    :param report: first report of the present one.
    """
    if worker.born_ms:
        logs.event(
            'worker_reborn',
            worker=worker.id,
            before=worker.born_ms,
            born_ms=report.born_ms,
            runs=len(worker.attempts),
            clock_ms=report.clock_ms,
            former_deadline_ms=worker.deadline_ms,
            unanswered=worker.unanswered,
        )
        worker.fenced = False
        worker.former_token = worker.token
    worker.born_ms = report.born_ms
    worker.born_reported_s = now_s
    worker.deadline_ms = 0
    worker.processed_end = worker.stored_end = 0
    worker.backoff_until_s = 0.0
    worker.history.on_restart()


def on_answer(
    worker: workers.Worker,
    token: model.Token | None,
    now_s: float,
    max_lease_s: float,
) -> None:
    """Handles that the present incarnation has answered a call.

    :param token: token of the call; None if it is higher than all before.
    :param max_lease_s: longest lease that a worker grants. Calls for an
        earlier incarnation may have set it until now.
    """
    if worker.fenced:
        return
    worker.lease_end_s = max(
        worker.lease_end_s, workers.lease_end_s(now_s, max_lease_s)
    )
    if token is not None and token <= worker.former_token:
        return
    worker.fenced = True
    if worker.former_token:
        logs.event(
            'worker_fenced',
            worker=worker.id,
            born_ms=worker.born_ms,
            token=token,
            former_token=worker.former_token,
        )


def is_gone(
    attempt: execution.Attempt,
    worker: workers.Worker,
    token: model.Token | None,
    sent_s: float,
) -> bool:
    """Returns whether a complete report without a run proves its absence.

    That holds for the present incarnation. A later one may still execute the
    start, see ``unanswered_starts``.

    :param token: token of the call that was answered with the report; None if
        it is higher than all before.
    :param sent_s: when that call was sent.
    """
    if attempt.state is execution.AttemptState.PLANNED:
        return False
    if not attempt.confirmed and attempt.born_ms != worker.born_ms:
        return token is None or token > attempt.token
    visible_from_s = attempt.visible_from_s
    return visible_from_s is not None and visible_from_s <= sent_s


def is_outdated(
    exc: ports.CommandRefused, worker: workers.Worker, token: model.Token
) -> bool:
    """Returns whether a call was refused for a later token of this term.

    :param token: token of the call.
    """
    stale = exc.refusal is ports.Refusal.STALE_TOKEN
    return stale and token < worker.token
