"""Which worker each waiting task of a plan starts on.

A step starts its tasks until one finds no worker. Tasks that may have crashed
workers start isolated, the members of a gang all together or not at all.
"""

import typing as t

from amaranthflow import ids

from . import advice as advice_lib
from . import execution
from . import model
from . import placement
from . import pools as pools_lib
from . import reservations as reservations_lib
from . import room
from . import sampling
from . import suspects
from . import tail_latency
from . import unanswered_starts
from . import workers


class State(t.Protocol):
    """What the planner needs of the leader's state."""

    def queue_of(self, job: model.Job) -> model.Queue:
        """Returns the current configuration of a job's queue."""

    def is_available(self, worker: workers.Worker, now_s: float) -> bool:
        """Returns whether a worker may get new runs, apart from backoff."""

    def usable(
        self, worker: workers.Worker, now_s: float, *, service: bool = False
    ) -> bool:
        """Returns whether a worker may get a new run."""

    def detach(self, attempt: execution.Attempt) -> None:
        """Takes an attempt from its task and its worker."""

    def submit_start(self, attempt: execution.Attempt, why: str) -> None:
        """Sends the start of a planned attempt."""


class StepPlanner:
    """Places the tasks of steps.

    :param fleet: all workers, which the caller keeps up to date.
    """

    def __init__(
        self,
        *,
        state: State,
        fleet: t.Mapping[ids.WorkerId, workers.Worker],
        advice: advice_lib.Advice,
        reservations: reservations_lib.Reservations,
        sampler: sampling.Sampler,
        tail_model: tail_latency.TailModel,
    ):
        self._state = state
        self._workers = fleet
        self._advice = advice
        self._reservations = reservations
        self._sampler = sampler
        self._tail_model = tail_model

    def plan_steps(
        self,
        runnable: list[execution.StepRun],
        pools: t.Mapping[ids.ServiceId, pools_lib.PoolIndexes],
        now_s: float,
    ) -> None:
        """Starts the waiting tasks of steps, in their order."""
        failed = placement.FailedSearches()
        for step_run in runnable:
            pool = pools[self._state.queue_of(step_run.job_run.job).service]
            self._plan_step(
                step_run, pool.for_step_run(step_run), failed, now_s
            )

    def _plan_step(
        self,
        step_run: execution.StepRun,
        pool_index: placement.WorkerIndex,
        failed: placement.FailedSearches,
        now_s: float,
    ) -> None:
        """Starts the waiting tasks of a step until one finds no worker."""
        step = step_run.step
        queue = self._state.queue_of(step_run.job_run.job)
        candidates = pool_index.for_step(step)
        if queue.advised:
            candidates = self._advice.choose(
                step_run, candidates, now_s, queue.advice
            )
        if step.gang:
            self._plan_gang(step_run, candidates, now_s)
            return
        candidates = self._reservations.filter_candidates(step_run, candidates)
        bound = self._place_bound(step_run, candidates, now_s)
        suspect_waits = step_run.suspected and not self._start_isolated(
            step_run, candidates, bound, now_s
        )
        pool = queue.service
        ruled_out = failed.rules_out(
            pool, step
        ) and not self._reservations.has_reservation(step_run)
        ranking = placement.Ranking(
            step_run, () if ruled_out else candidates, self._tail_model
        )
        for task in step_run.tasks:
            if not task.waiting or suspects.needs_isolation(task, now_s):
                continue
            if task.key.index in bound:
                continue
            worker = ranking.best(task)
            if worker is not None:
                self.place(task, worker, now_s, 'waiting')
                ranking.placed(worker)
                continue
            if step_run.waiting_since_s is None:
                step_run.waiting_since_s = now_s
            if self._place_starved(task, candidates, now_s):
                return
            if not ruled_out:
                room.log_missing(task, pool_index.workers, self._tail_model)
            if not queue.advised:
                # Other steps may have tickets for other workers.
                failed.add(pool, step)
            return
        if not suspect_waits:
            step_run.end_wait(now_s)

    def _place_starved(
        self,
        task: execution.TaskRun,
        candidates: list[workers.Worker],
        now_s: float,
    ) -> bool:
        """Starts a task that has waited for long where it disturbs least.

        Returns False if it has not, or if there is no worker.
        """
        if not placement.is_starved(task.step_run, now_s):
            return False
        worker = placement.least_disturbed(task, candidates, self._tail_model)
        if worker is None:
            return False
        self.place(task, worker, now_s, 'starved')
        return True

    def _place_bound(
        self,
        step_run: execution.StepRun,
        candidates: list[workers.Worker],
        now_s: float,
    ) -> frozenset[int]:
        """Starts the bound tasks of a step whose workers can run them.

        Returns the indexes of those that still wait.
        """
        left = []
        for task in unanswered_starts.waiting(step_run):
            worker = self._bound_worker(task, candidates, now_s)
            if worker is None:
                left.append(task.key.index)
                continue
            isolated = suspects.needs_isolation(task, now_s)
            self.place(
                task, worker, now_s, 'isolated' if isolated else 'bound'
            )
        return frozenset(left)

    def _bound_worker(
        self,
        task: execution.TaskRun,
        candidates: list[workers.Worker],
        now_s: float,
    ) -> workers.Worker | None:
        """Returns the worker to which a task is bound if it can run it.

        :param candidates: the workers that the step may use otherwise.
        """
        found = unanswered_starts.bound_to(task)
        worker = self._workers.get(next(iter(found)))
        if worker is None or len(found) > 1:
            return None
        step_run = task.step_run
        queue = self._state.queue_of(step_run.job_run.job)
        if (
            worker.entry.service != queue.service
            or not self._state.is_available(worker, now_s)
            or not unanswered_starts.may_start(task, worker, now_s)
            or not placement.may_run(worker, step_run.step)
        ):
            return None
        if queue.advised and worker not in candidates:
            return None
        own = self._reservations.filter_candidates(step_run, [worker])
        if suspects.needs_isolation(task, now_s):
            return suspects.choose(task, own, now_s)
        return placement.choose(task, own, self._tail_model)

    def _start_isolated(
        self,
        step_run: execution.StepRun,
        candidates: list[workers.Worker],
        bound: t.Container[int],
        now_s: float,
    ) -> bool:
        """Starts the waiting suspects of a step, each on its own worker.

        Returns False if a worker is missing.

        :param bound: indexes of tasks to leave out.
        """
        for task in suspects.waiting(step_run, now_s):
            if task.key.index in bound:
                continue
            worker = suspects.choose(task, candidates, now_s)
            if worker is None:
                if step_run.waiting_since_s is None:
                    step_run.waiting_since_s = now_s
                return False
            self.place(task, worker, now_s, 'isolated')
        return True

    def _plan_gang(
        self,
        step_run: execution.StepRun,
        candidates: list[workers.Worker],
        now_s: float,
    ) -> None:
        """Places all members of a gang, or none.

        All members share one run number and one checkpoint.
        """
        if step_run.has_attempts:
            return
        isolated = any(
            suspects.needs_isolation(task, now_s) for task in step_run.tasks
        )
        if isolated:
            candidates = suspects.isolating(candidates, now_s)
        run = max(task.next_run for task in step_run.tasks)
        checkpoint = max(
            (task.checkpoint for task in step_run.tasks if task.checkpoint),
            default='',
        )
        placed: list[execution.Attempt] = []
        # Others could take the room of those that are bound to a worker.
        tasks = sorted(step_run.tasks, key=lambda task: not task.unanswered)
        for task in tasks:
            task.next_run = run
            task.checkpoint = checkpoint
            if task.unanswered:
                worker = self._bound_worker(task, candidates, now_s)
            else:
                worker = placement.choose(task, candidates, self._tail_model)
            if worker is None:
                for attempt in placed:
                    self._state.detach(attempt)
                    attempt.task.next_run = run
                if step_run.waiting_since_s is None:
                    step_run.waiting_since_s = now_s
                return
            placed.append(self._plan_attempt(task, worker, now_s))
        step_run.end_wait(now_s)
        for attempt in placed:
            if isolated:
                attempt.isolated = True
                self._workers[attempt.worker].probation = attempt
            self._state.submit_start(attempt, 'gang')

    def candidates(
        self, task: execution.TaskRun, now_s: float
    ) -> list[workers.Worker]:
        """Returns the usable workers of a task's pool."""
        queue = self._state.queue_of(task.step_run.job_run.job)
        found = [
            worker
            for worker in self._workers.values()
            if worker.entry.service == queue.service
            and self._state.usable(
                worker, now_s, service=task.step_run.step.service
            )
        ]
        if queue.advised:
            found = self._advice.choose(
                task.step_run, found, now_s, queue.advice
            )
        found = self._sampler.sample(found, task.step_run.step)
        return self._reservations.filter_candidates(task.step_run, found)

    def place(
        self,
        task: execution.TaskRun,
        worker: workers.Worker,
        now_s: float,
        why: str,
    ) -> None:
        """Starts a run of a task on a worker."""
        attempt = self._plan_attempt(
            task, worker, now_s, isolated=why == 'isolated'
        )
        self._state.submit_start(attempt, why)

    def _plan_attempt(
        self,
        task: execution.TaskRun,
        worker: workers.Worker,
        now_s: float,
        *,
        isolated: bool = False,
    ) -> execution.Attempt:
        attempt = execution.Attempt(
            task=task,
            isolated=isolated,
            worker=worker.id,
            run=task.step_run.job_run.allocate_run_number(task),
            state=execution.AttemptState.PLANNED,
            resumed=bool(task.checkpoint),
        )
        task.add_attempt(attempt)
        worker.attach(attempt)
        if task.step_run.step.opportunistic:
            self._tail_model.add(worker, task.step_run.step)
        return attempt
