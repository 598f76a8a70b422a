"""State of a batch task that runs on a worker stand-in."""

import asyncio
import dataclasses

from amaranthflow import ids
from amaranthflow import platform

from . import history
from . import program as program_lib

_ROUNDING_S = 1e-9
_PHASES = {
    history.RunOutcome.COMPLETED: platform.TaskPhase.COMPLETED,
    history.RunOutcome.FAILED: platform.TaskPhase.FAILED,
}


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class RunningTask:
    """Progress, speed and lease of one task.

    Times are monotonic seconds; progress is in seconds of run time without
    throttle or slowdown.

    :ivar changed: set when the lease or the speed has changed, or at the end.
    """

    start: platform.TaskStart
    program: program_lib.Program
    run: history.Run
    lease_until_s: float
    updated_s: float
    progress_s: float
    share: float = 1.0
    slowdown: float = 1.0
    checkpoint: str = ''
    ended: bool = False
    changed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    @classmethod
    def begin(
        cls,
        start: platform.TaskStart,
        worker_id: ids.WorkerId,
        now_s: float,
    ) -> 'RunningTask':
        """Creates a task that resumes from its checkpoint if it has one."""
        program = program_lib.parse(start.payload)
        run = history.Run(
            worker_id=worker_id,
            kind=history.RunKind.TASK,
            subject=start.task_id,
            attempt=0,
            tenant_id=start.tenant_id,
            cores=start.cores,
            memory_mb=start.memory_mb,
            started_s=now_s,
            checkpoint=start.checkpoint,
            label=program.label,
        )
        return cls(
            start=start,
            program=program,
            run=run,
            lease_until_s=now_s + start.lease_ms / 1000,
            updated_s=now_s,
            progress_s=program_lib.progress_of(start.checkpoint),
            checkpoint=start.checkpoint,
        )

    @property
    def rate(self) -> float:
        """Progress made per second, in seconds."""
        return self.share / self.slowdown

    @property
    def remaining_s(self) -> float:
        """Time until completion at the present rate."""
        return (self.program.run_s - self.progress_s) / self.rate

    @property
    def done(self) -> bool:
        """True when the task has made all of its progress."""
        return self.program.run_s - self.progress_s <= _ROUNDING_S

    def catch_up(self, now_s: float) -> None:
        """Updates the progress; must be called before the rate changes."""
        self.progress_s += (now_s - self.updated_s) * self.rate
        self.updated_s = now_s

    def report(self, now_s: float) -> platform.TaskReport:
        """Returns the report of a running task."""
        remaining_ms = round((self.lease_until_s - now_s) * 1000)
        return platform.TaskReport(
            task_id=self.start.task_id,
            phase=platform.TaskPhase.RUNNING,
            lease_left_ms=max(0, remaining_ms),
            checkpoint=self.checkpoint,
        )

    def report_ended(self) -> platform.TaskReport:
        """Returns the report of an ended task."""
        outcome = self.run.outcome
        completed = outcome is history.RunOutcome.COMPLETED
        result = program_lib.result_of(self.start.payload)
        return platform.TaskReport(
            task_id=self.start.task_id,
            phase=_PHASES.get(outcome, platform.TaskPhase.STOPPED),
            lease_left_ms=0,
            checkpoint=self.checkpoint,
            result=result if completed else b'',
            reason='' if completed else outcome.value,
        )

    def measure(self, now_ms: int) -> platform.UsageReport:
        """Returns a measurement of its resource usage."""
        used_mb = self.program.memory_mb or self.start.memory_mb
        return platform.UsageReport(
            task_id=self.start.task_id,
            task_class=self.start.task_class,
            measured_at_ms=now_ms,
            cores=self.start.cores * self.share,
            memory_mb=used_mb,
            peak_memory_mb=used_mb,
            slowdown=self.slowdown,
        )
