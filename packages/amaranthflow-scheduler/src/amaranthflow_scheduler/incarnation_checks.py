"""Checks which incarnation of a worker answers before a start is sent to it.

A worker may restart as another kind on a connection that outlasts its restart.
The leader learns of it from the next report. Until then it knows the labels of
the former incarnation, and the next one would execute a start that requires
one of them.
"""

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
from . import response_limits
from . import shared_checks
from . import workers


class IncarnationChecks:
    """Checks of workers, at most one of each at a time.

    :param on_refused: is told of a refusal and the token of that call.
    """

    def __init__(
        self,
        *,
        tokens: incarnations.Tokens,
        links: links_lib.Links,
        meters: metrics.Metrics,
        clock: clock_lib.Clock,
        on_refused: t.Callable[
            [ports.CommandRefused, workers.Worker, model.Token], t.Any
        ],
    ):
        self._tokens = tokens
        self._links = links
        self._meters = meters
        self._clock = clock
        self._on_refused = on_refused
        self._shared = shared_checks.SharedChecks()

    async def passes(self, worker: workers.Worker) -> bool:
        """Returns whether the incarnation that last reported answers a call.

        All who ask before the answer arrives share it, as it is no older for
        them.
        """
        return await self._shared.passes(
            worker, functools.partial(self._check, worker)
        )

    async def _check(self, worker: workers.Worker) -> bool:
        sent_s = self._clock.monotonic()
        token = self._tokens.for_call(worker)
        self._meters.count('incarnation_checks')
        try:
            report = await response_limits.within(
                worker.history.response_limit_s,
                self._links.get(worker).list_runs(token),
            )
        except ports.CommandRefused as exc:
            self._on_refused(exc, worker, token)
            self._log_failed(worker, str(exc))
            return False
        except exceptions.AmaranthflowError as exc:
            now_s = self._clock.monotonic()
            worker.back_off(now_s, worker.history.on_no_answer())
            self._log_failed(worker, str(exc))
            return False
        took_s = self._clock.monotonic() - sent_s
        self._meters.observe('incarnation_check', took_s)
        if report.born_ms == worker.born_ms:
            return True
        worker.restart_suspected = True
        self._log_failed(worker, 'restarted', born_ms=report.born_ms)
        return False

    def _log_failed(
        self, worker: workers.Worker, why: str, **fields: t.Any
    ) -> None:
        self._meters.count('incarnation_checks_failed')
        logs.event(
            'incarnation_check_failed',
            worker=worker.id,
            why=why,
            known_born_ms=worker.born_ms,
            **fields,
        )
