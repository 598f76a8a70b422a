"""Checks that a worker answers starts before a task depends on it.

The load are workers that leave starts unanswered while their reports come in
time. A start without an answer holds its task for seconds, see
``unanswered_starts``. So a worker that has not answered a start lately is
first sent one that it has to reject: its deadline is earlier than the clock
of any incarnation. It may be executed late without any effect.

Starts that single workers lose at random are not found this way.
"""

import dataclasses
import functools
import typing as t

from amaranthflow import clock as clock_lib
from amaranthflow import exceptions

from . import incarnations
from . import links as links_lib
from . import logs
from . import metrics
from . import model
from . import ports
from . import shared_checks
from . import workers

# Clocks of workers begin at 0.
_PASSED_DEADLINE_MS = -1
# A worker that stops answering starts is noticed within this time, or by a
# task.
_MAX_EVIDENCE_AGE_S = 5.0
# A worker that loses half of the starts passes one time in eight.
_CHECKS_AFTER_NO_ANSWER = 3
# A check may be given up early, as it has no effect.
_MAX_LIMIT_S = 0.1


class StartChecks:
    """Checks of workers, at most one of each at a time.

    :param on_refused: is told of a refusal and the token of that call, and
        returns whether the refusal ends the term.
    """

    def __init__(
        self,
        *,
        tokens: incarnations.Tokens,
        links: links_lib.Links,
        meters: metrics.Metrics,
        clock: clock_lib.Clock,
        on_refused: t.Callable[
            [ports.CommandRefused, workers.Worker, model.Token], bool
        ],
    ):
        self._tokens = tokens
        self._links = links
        self._meters = meters
        self._clock = clock
        self._on_refused = on_refused
        self._shared = shared_checks.SharedChecks()

    async def passes(
        self, worker: workers.Worker, command: ports.StartCommand
    ) -> bool:
        """Returns whether a worker answers starts, as far as is known.

        :param command: the start that is to be sent if it does.
        """
        if not self._needed(worker):
            return True
        dead = dataclasses.replace(command, deadline_ms=_PASSED_DEADLINE_MS)
        return await self._shared.passes(
            worker, functools.partial(self._check, worker, dead)
        )

    def _needed(self, worker: workers.Worker) -> bool:
        if worker.answered_s <= worker.born_reported_s:
            return True
        age_s = self._clock.monotonic() - worker.answered_s
        return age_s > _MAX_EVIDENCE_AGE_S

    async def _check(
        self, worker: workers.Worker, command: ports.StartCommand
    ) -> bool:
        count = 1
        if worker.history.unanswered_share:
            count = _CHECKS_AFTER_NO_ANSWER
        for _ in range(count):
            if not await self._answers(worker, command):
                return False
        worker.answered_s = self._clock.monotonic()
        return True

    async def _answers(
        self, worker: workers.Worker, command: ports.StartCommand
    ) -> bool:
        """Returns whether a worker answers a start that it has to reject."""
        token = self._tokens.for_call(worker)
        self._meters.count('start_checks')
        limit_s = min(worker.history.retry_limit_s, _MAX_LIMIT_S)
        try:
            await self._links.get(worker).start(
                command, token, limit_s=limit_s
            )
        except ports.CommandRefused as exc:
            return not self._on_refused(exc, worker, token)
        except exceptions.AmaranthflowError as exc:
            self._meters.count('start_checks_failed')
            worker.on_no_answer(self._clock.monotonic())
            logs.event('start_check_failed', worker=worker.id, error=str(exc))
            return False
        logs.event('start_check_not_rejected', worker=worker.id)
        return True
