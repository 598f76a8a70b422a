"""Sends commands to workers and handles their responses.

A start without a response may have been executed: a run that its worker lists
goes on. Otherwise the start of a service's task is sent again some times, and
its run stopped in the end. The start of any other task is not sent again, see
``unanswered_starts``. Stops are repeated until a worker accepts them.
"""

import asyncio
import typing as t

from amaranthflow import clock as clock_lib
from amaranthflow import exceptions
from amaranthflow import ids

from . import advice
from . import commands
from . import contacts as contacts_lib
from . import execution
from . import incarnation_checks
from . import incarnations
from . import links as links_lib
from . import logs
from . import metrics
from . import model
from . import placement
from . import ports
from . import response_limits
from . import scheduler
from . import start_checks
from . import unanswered_starts
from . import workers

# Workers reject a start command that is older than this.
START_VALID_MS = 1_500
_STOP_RETRY_S = 0.3
# A task whose start was not answered waits for these; each pause is twice as
# long as the one before.
_FIRST_REPEAT_S = 0.01
_MAX_REPEATS = 8


class Term(t.Protocol):
    """What the sender needs of the term under whose token it commands."""

    def may_start(self) -> bool:
        """Returns whether runs may be started."""

    def end_term(self, reason: str) -> None:
        """Ends the term at once."""

    def request_plans(self) -> None:
        """Lets the loops of plans look for what can start now."""

    def dispatch(self) -> None:
        """Sends the new commands of the scheduler."""


class _StartCall(t.NamedTuple):
    """A start command and what tells its outcome.

    :ivar min_clock_ms: lowest value of the clock in an answer of the worker's
        present incarnation.
    :ivar void_s: time from which it no longer executes the command.
    """

    command: ports.StartCommand
    token: model.Token
    min_clock_ms: int
    void_s: float


class CommandSender:
    """Sends the commands of one term.

    :param tokens: fencing tokens of the term.
    :param core: is told what became of each command.
    """

    def __init__(
        self,
        *,
        term: Term,
        tokens: incarnations.Tokens,
        core: scheduler.Scheduler,
        links: links_lib.Links,
        contacts: contacts_lib.Contacts,
        meters: metrics.Metrics,
        clock: clock_lib.Clock,
    ):
        self._term = term
        self._tokens = tokens
        self._core = core
        self._links = links
        self._contacts = contacts
        self._meters = meters
        self._clock = clock
        self._incarnation_checks = incarnation_checks.IncarnationChecks(
            tokens=tokens,
            links=links,
            meters=meters,
            clock=clock,
            on_refused=self._ends_term,
        )
        self._start_checks = start_checks.StartChecks(
            tokens=tokens,
            links=links,
            meters=meters,
            clock=clock,
            on_refused=self._ends_term,
        )

    async def send(self, command: commands.Command) -> None:
        """Sends a command; returns once its outcome has been handled."""
        if isinstance(command, commands.Start):
            await self._start(command.attempt)
        elif isinstance(command, commands.Stop):
            await self._stop(command.attempt)
        elif isinstance(command, commands.Resolve):
            await self._resolve(command.attempt)
        elif isinstance(command, commands.StopOrphan):
            await self._stop_orphan(command)
        elif isinstance(command, commands.SetPace):
            await self._pace(command)

    async def _start(self, attempt: execution.Attempt) -> None:
        fleet_size = len(self._core.workers)
        async with self._contacts.start_slot(fleet_size):
            worker = self._planned_worker(attempt)
            if worker is None:
                return
            permitted = self._may_send(attempt, worker)
            if permitted:
                permitted = await self._passes_checks(attempt, worker)
                # Much may have changed while the worker was asked.
                if self._planned_worker(attempt) is not worker:
                    return
                permitted = permitted and self._may_send(attempt, worker)
            if not permitted:
                self._core.on_start_failed(attempt, self._clock.monotonic())
                return
            await self._send_start(attempt, worker)

    async def _passes_checks(
        self, attempt: execution.Attempt, worker: workers.Worker
    ) -> bool:
        """Returns whether what a start depends on is known of a worker."""
        task = attempt.task
        if unanswered_starts.holds(task):
            command = self._command(attempt, worker, self._clock.monotonic())
            if not await self._start_checks.passes(worker, command):
                return False
        if not task.step_run.step.label:
            return True
        return await self._incarnation_checks.passes(worker)

    def _planned_worker(
        self, attempt: execution.Attempt
    ) -> workers.Worker | None:
        """Returns the worker of a planned attempt, None if it was dropped."""
        worker = self._core.workers.get(attempt.worker)
        if attempt.state is not execution.AttemptState.PLANNED:
            return None
        if worker is None or attempt not in worker.attempts:
            return None
        return worker

    def _may_send(
        self, attempt: execution.Attempt, worker: workers.Worker
    ) -> bool:
        """Returns whether an attempt may start on a worker now."""
        return (
            self._term.may_start()
            and worker.fenced
            and self._has_label(worker, attempt.task)
        )

    async def _send_start(
        self, attempt: execution.Attempt, worker: workers.Worker
    ) -> None:
        now_s = self._clock.monotonic()
        command, token, min_clock_ms, void_s = self._prepare(
            attempt, worker, now_s
        )
        self._core.on_sent(attempt, now_s)
        self._meters.count('starts')
        try:
            clock_ms = await self._start_call(attempt, worker, command, token)
            started_s = self._clock.monotonic()
            if clock_ms >= min_clock_ms:
                self._core.on_started(attempt, started_s, started_s - now_s)
                self._meters.observe('start', started_s - now_s)
                return
            # That run has another lease, and its end another number.
            worker.restart_suspected = True
            self._log_other_incarnation(attempt, clock_ms, min_clock_ms)
            self._core.on_start_uncertain(
                attempt, void_s, started_s, answered=True
            )
        except ports.CommandRefused as exc:
            if self._ends_term(exc, worker, token):
                return
            now_s = self._clock.monotonic()
            self._core.on_start_refused(attempt, exc.refusal, now_s)
        except exceptions.PlatformUncertain as exc:
            self._log_start_unanswered(attempt, exc)
            now_s = self._clock.monotonic()
            self._core.on_start_uncertain(attempt, void_s, now_s)
        except exceptions.PlatformError:
            self._core.on_start_failed(attempt, self._clock.monotonic())
        self._term.request_plans()
        self._term.dispatch()

    async def _start_call(
        self,
        attempt: execution.Attempt,
        worker: workers.Worker,
        command: ports.StartCommand,
        token: model.Token,
    ) -> int:
        """Sends a start; returns the worker's clock in ms.

        Other tasks avoid the worker as soon as the answer is late.
        """
        slow = asyncio.get_running_loop().call_later(
            worker.history.retry_limit_s, self._core.on_start_slow, attempt
        )
        try:
            return await self._links.get(worker).start(
                command, token, limit_s=worker.history.response_limit_s
            )
        finally:
            slow.cancel()

    def _prepare(
        self,
        attempt: execution.Attempt,
        worker: workers.Worker,
        now_s: float,
    ) -> '_StartCall':
        """Returns a start command that is sent now, and extends the lease."""
        token = self._tokens.for_call(worker)
        command = self._command(attempt, worker, now_s)
        worker.extend_lease(command.deadline_ms)
        return _StartCall(
            command,
            token,
            worker.min_clock_ms(now_s),
            worker.deadline_passed_s(command.deadline_ms),
        )

    def _command(
        self, attempt: execution.Attempt, worker: workers.Worker, now_s: float
    ) -> ports.StartCommand:
        task = attempt.task
        return ports.StartCommand(
            task=task.key,
            run=attempt.run,
            payload=task.step_run.job_run.job.payload,
            deadline_ms=worker.min_clock_ms(now_s) + START_VALID_MS,
            checkpoint=task.checkpoint,
            ticket=self._core.advice.ticket(
                advice.step_key(task.step_run),
                worker.id,
                worker.born_ms,
                now_s,
            ),
        )

    def _has_label(
        self, worker: workers.Worker, task: execution.TaskRun
    ) -> bool:
        """Returns whether the process reached has the label of a step.

        A worker whose connection was lost may be restarting as another kind,
        and would execute a start under its former id.
        """
        step = task.step_run.step
        if not step.label:
            return True
        return (
            worker.entry_is_current
            and placement.label_permits(worker, step)
            and self._links.get(worker).connected()
        )

    def _log_other_incarnation(
        self, attempt: execution.Attempt, clock_ms: int, min_clock_ms: int
    ) -> None:
        """Logs that a later incarnation of a worker has started a run."""
        self._meters.count('starts_by_other_incarnations')
        logs.event(
            'start_by_other_incarnation',
            id=attempt.task.key.job,
            run=attempt.run,
            worker=attempt.worker,
            clock_ms=clock_ms,
            min_clock_ms=min_clock_ms,
        )

    def _log_start_unanswered(
        self, attempt: execution.Attempt, exc: Exception
    ) -> None:
        self._meters.count('starts_unanswered')
        logs.event(
            'start_unanswered',
            id=attempt.task.key.job,
            run=attempt.run,
            worker=attempt.worker,
            error=str(exc),
        )

    async def _resolve(self, attempt: execution.Attempt) -> None:
        """Finds out what became of a start without an answer.

        The worker is asked until it lists the run, or will not execute the
        start any more. The start of a service's task is sent again meanwhile,
        and its run is stopped if that does not help.
        """
        pause_s = _FIRST_REPEAT_S
        repeats = 0
        repeatable = unanswered_starts.may_repeat(attempt.task)
        while attempt.state is execution.AttemptState.UNCERTAIN:
            worker = self._core.workers.get(attempt.worker)
            if worker is None or attempt not in worker.attempts:
                return
            report = await self._look_for(worker, attempt)
            if report is not None and repeatable:
                repeats += 1
                if repeats > _MAX_REPEATS or not await self._send_again(
                    attempt, worker, report
                ):
                    break
            await asyncio.sleep(pause_s)
            pause_s = min(2 * pause_s, _STOP_RETRY_S)
        if attempt.state is not execution.AttemptState.RUNNING:
            await self._stop(attempt)

    async def _send_again(
        self,
        attempt: execution.Attempt,
        worker: workers.Worker,
        report: ports.WorkerReport,
    ) -> bool:
        """Sends an unanswered start again.

        Returns whether it is still unanswered, and may be sent once more.

        :param report: what the worker has listed since.
        """
        now_s = self._clock.monotonic()
        if (
            attempt.state is not execution.AttemptState.UNCERTAIN
            or attempt not in worker.attempts
            or report.born_ms != attempt.born_ms
            or _has_ended(attempt, report)
            or not self._may_send(attempt, worker)
            or not self._core.may_send_again(attempt, now_s)
        ):
            return False
        command, token, min_clock_ms, void_s = self._prepare(
            attempt, worker, now_s
        )
        self._core.on_sent_again(attempt, void_s, now_s)
        self._meters.count('starts_repeated')
        try:
            clock_ms = await self._links.get(worker).start(
                command, token, limit_s=worker.history.retry_limit_s
            )
        except ports.CommandRefused as exc:
            unanswered_starts.on_answer(attempt)
            self._ends_term(exc, worker, token)
            return False
        except exceptions.PlatformUncertain as exc:
            self._log_start_unanswered(attempt, exc)
            return True
        except exceptions.PlatformError:
            unanswered_starts.on_answer(attempt)
            return True
        started_s = self._clock.monotonic()
        if clock_ms < min_clock_ms:
            worker.restart_suspected = True
            self._log_other_incarnation(attempt, clock_ms, min_clock_ms)
            return False
        if attempt.state is execution.AttemptState.UNCERTAIN:
            self._core.on_started(attempt, started_s, started_s - now_s)
        else:
            unanswered_starts.on_answer(attempt)
        return False

    async def _stop(self, attempt: execution.Attempt) -> None:
        unanswered = attempt.state is execution.AttemptState.UNCERTAIN
        pause_s = _FIRST_REPEAT_S if unanswered else _STOP_RETRY_S
        while True:
            worker = self._core.workers.get(attempt.worker)
            if worker is None or attempt not in worker.attempts:
                return
            limit_s = worker.history.response_limit_s
            if unanswered:
                limit_s = worker.history.retry_limit_s
            if await self._stop_once(
                worker, attempt.task.key, attempt.run, limit_s
            ):
                self._core.on_stopped(attempt, self._clock.monotonic())
                if unanswered:
                    await self._look_for(worker, attempt)
                return
            await asyncio.sleep(pause_s)
            pause_s = min(2 * pause_s, _STOP_RETRY_S)

    async def _look_for(
        self, worker: workers.Worker, attempt: execution.Attempt
    ) -> ports.WorkerReport | None:
        """Looks whether a worker has the run of an unanswered start.

        The next report would tell as well, but later. Returns what the worker
        lists, None if it has not answered.
        """
        token = self._tokens.for_call(worker)
        asked_s = self._clock.monotonic()
        try:
            report = await response_limits.within(
                worker.history.response_limit_s,
                self._links.get(worker).list_runs(token),
            )
        except ports.CommandRefused as exc:
            self._ends_term(exc, worker, token)
            return None
        except exceptions.AmaranthflowError as exc:
            logs.event('runs_not_listed', worker=worker.id, error=str(exc))
            return None
        now_s = self._clock.monotonic()
        self._core.on_listed(attempt, report, asked_s, now_s)
        self._term.request_plans()
        self._term.dispatch()
        return report

    async def _stop_orphan(self, orphan: commands.StopOrphan) -> None:
        worker = self._core.workers.get(ids.WorkerId(orphan.worker))
        if worker is not None:
            logs.event(
                'orphan_stopped',
                id=orphan.task.job,
                run=orphan.run,
                worker=orphan.worker,
            )
            limit_s = worker.history.response_limit_s
            await self._stop_once(worker, orphan.task, orphan.run, limit_s)

    async def _stop_once(
        self,
        worker: workers.Worker,
        task: model.TaskKey,
        run: model.RunNumber,
        limit_s: float,
    ) -> bool:
        if not worker.entry.address:
            return False
        token = self._tokens.for_call(worker)
        try:
            await response_limits.within(
                limit_s, self._links.get(worker).stop(task, run, token)
            )
            return True
        except ports.CommandRefused as exc:
            if self._ends_term(exc, worker, token):
                return False
            logs.event(
                'stop_refused',
                id=task.job,
                run=run,
                worker=worker.id,
                refusal=exc.refusal.value,
            )
            return False
        except exceptions.AmaranthflowError as exc:
            logs.event(
                'stop_unanswered',
                id=task.job,
                run=run,
                worker=worker.id,
                error=str(exc),
            )
            return False

    async def _pace(self, change: commands.SetPace) -> None:
        attempt = change.attempt
        worker = self._core.workers.get(attempt.worker)
        if worker is None or attempt not in worker.attempts:
            return
        token = self._tokens.for_call(worker)
        try:
            await self._links.get(worker).pace(
                attempt.task.key, attempt.run, change.percent, token
            )
        except ports.CommandRefused as exc:
            self._ends_term(exc, worker, token)
        except exceptions.AmaranthflowError as exc:
            logs.event(
                'pace_unanswered',
                id=attempt.task.key.job,
                run=attempt.run,
                worker=worker.id,
                percent=change.percent,
                error=str(exc),
            )
            # The next report shows the pace.
            attempt.pace = execution.UNKNOWN_PACE

    def _ends_term(
        self,
        exc: ports.CommandRefused,
        worker: workers.Worker,
        token: model.Token,
    ) -> bool:
        """Ends the term if a refusal tells that another one has begun."""
        if exc.refusal is not ports.Refusal.STALE_TOKEN:
            return False
        if incarnations.is_outdated(exc, worker, token):
            return False
        self._term.end_term(f'worker {worker.id} has a higher token')
        return True


def _has_ended(attempt: execution.Attempt, report: ports.WorkerReport) -> bool:
    """Returns whether a report lists the end of a run."""
    own = (attempt.task.key, attempt.run)
    return any((end.task, end.run) == own for end in report.ended)
