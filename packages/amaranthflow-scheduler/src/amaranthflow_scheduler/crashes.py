"""Bookkeeping of workers' crashes: which runs they ended or made suspects."""

import typing as t

from . import execution
from . import logs
from . import model
from . import suspects
from . import workers


def on_restart(
    worker: workers.Worker,
    losses: suspects.Losses,
    born_ms: int,
    known: t.Container[tuple[model.TaskKey, model.RunNumber]] = (),
) -> list[execution.Attempt]:
    """Counts the end of a worker's last incarnation for its young runs.

    Returns the runs that may have caused it.

    :param born_ms: the present incarnation, 0 if it is another worker's.
    :param known: runs that the present incarnation reports.
    """
    ended = [
        attempt
        for attempt in dict.fromkeys((*worker.attempts, *worker.lapsed))
        if suspects.ran_before(attempt, worker, born_ms)
        and (attempt.task.key, attempt.run) not in known
    ]
    is_outage = bool(ended) and losses.is_outage(worker)
    crash = suspects.examine(ended)
    worker.crashed_s = worker.last_report_s
    worker.crashed_isolated = crash.convicts
    if not ended:
        return []
    logs.event(
        'worker_crashed',
        worker=worker.id,
        runs=len(ended),
        suspects=len(crash.suspects),
        outage=is_outage,
    )
    suspects.count(crash, worker.id, confirmed=True, outage=is_outage)
    return crash.suspects


def on_silence(
    worker: workers.Worker, losses: suspects.Losses
) -> list[execution.Attempt]:
    """Suspects the young runs of a silent worker, which may be back.

    Returns these runs.
    """
    young = [
        attempt
        for attempt in suspects.examine(worker.attempts).suspects
        if not attempt.crash_counted
    ]
    if not young or losses.is_outage(worker):
        return []
    worker.lapsed.extend(young)
    crash = suspects.Crash(young, convicts=False)
    suspects.count(crash, worker.id, confirmed=False, outage=False)
    return young
