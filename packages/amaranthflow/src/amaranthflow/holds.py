"""Workers held for starving tasks."""

import dataclasses

from . import ids

MAX_HOLD_MS = 30 * 60_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Hold:
    """A worker that takes no other batch task until the held task fits."""

    task_id: ids.TaskId
    worker_id: ids.WorkerId
    since_ms: int


class Holds:
    """At most ``limit`` holds, at most one for each task and worker.

    A hold ends with its task, with its worker, or after ``MAX_HOLD_MS``, so
    that a worker on which the task never fits is not held for ever.
    """

    def __init__(self, *, limit: int):
        self._limit = limit
        self._by_task: dict[ids.TaskId, Hold] = {}

    def add(
        self, task_id: ids.TaskId, worker_id: ids.WorkerId, now_ms: int
    ) -> bool:
        """Holds a worker; returns False at the limit or if either is held."""
        taken = any(h.worker_id == worker_id for h in self._by_task.values())
        if taken or task_id in self._by_task:
            return False
        if len(self._by_task) >= self._limit:
            return False
        self._by_task[task_id] = Hold(
            task_id=task_id, worker_id=worker_id, since_ms=now_ms
        )
        return True

    def full(self) -> bool:
        """Returns whether the limit of holds is reached."""
        return len(self._by_task) >= self._limit

    def release(self, task_id: ids.TaskId) -> None:
        """Ends the hold of a task, if it has one."""
        self._by_task.pop(task_id, None)

    def transfer(
        self, task_id: ids.TaskId, next_id: ids.TaskId, now_ms: int
    ) -> None:
        """Transfers a task's hold to another task and restarts its timeout."""
        hold = self._by_task.pop(task_id)
        self._by_task[next_id] = Hold(
            task_id=next_id, worker_id=hold.worker_id, since_ms=now_ms
        )

    def release_worker(self, worker_id: ids.WorkerId) -> None:
        """Ends the hold on a worker that was removed."""
        for hold in self.current():
            if hold.worker_id == worker_id:
                del self._by_task[hold.task_id]

    def expire(self, now_ms: int) -> tuple[ids.TaskId, ...]:
        """Ends the holds that have timed out and returns their tasks."""
        expired = tuple(
            hold.task_id
            for hold in self._by_task.values()
            if now_ms - hold.since_ms >= MAX_HOLD_MS
        )
        for task_id in expired:
            del self._by_task[task_id]
        return expired

    def current(self) -> tuple[Hold, ...]:
        """Returns the holds, oldest first."""
        return tuple(self._by_task.values())

    def avoid(self, task_id: ids.TaskId) -> frozenset[ids.WorkerId]:
        """Returns the workers that are held for other tasks."""
        return frozenset(
            hold.worker_id
            for hold in self._by_task.values()
            if hold.task_id != task_id
        )

    def __contains__(self, task_id: ids.TaskId) -> bool:
        return task_id in self._by_task
