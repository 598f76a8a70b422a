"""Progress records that stay within the size that the store accepts.

The load are jobs of thousands of tasks. The state of a small job fits into one
record. That of a larger one is split: its own record names the parts, each of
which has the state of some tasks in a row and a record of its own. A part that
grows too large is split again, and only those that have changed are written.
"""

import bisect
import itertools
import typing as t

from amaranthflow import ids

from . import execution

# Share of the largest record that the state of a job in one record may take.
_MAX_WHOLE_SHARE = 0.75
_MAX_PART_SHARE = 0.25
_SEPARATOR = b'/'

Item = tuple[bytes, bytes]


def part_key(job_id: ids.JobId, first: int) -> bytes:
    """Returns the key of a part that begins with a task of this number."""
    return job_id.encode('latin-1') + _SEPARATOR + str(first).encode()


def take_parts(
    progress: dict[bytes, bytes],
) -> dict[bytes, dict[int, bytes]]:
    """Takes the parts out of progress records.

    Returns them by the keys of their jobs and the numbers of their first
    tasks.
    """
    found: dict[bytes, dict[int, bytes]] = {}
    for key in [key for key in progress if _SEPARATOR in key]:
        job_key, _, number = key.rpartition(_SEPARATOR)
        if number.isdigit():
            found.setdefault(job_key, {})[int(number)] = progress.pop(key)
    return found


def orphans(
    parts: t.Mapping[bytes, t.Iterable[int]], known: t.Container[ids.JobId]
) -> set[bytes]:
    """Returns the keys of parts whose jobs are not known.

    Parts of known jobs are deleted with the final state.
    """
    return {
        key + _SEPARATOR + str(first).encode()
        for key, found in parts.items()
        if ids.JobId(key.decode('latin-1')) not in known
        for first in found
    }


def records(job_run: execution.JobRun, max_bytes: int) -> list[Item]:
    """Returns what to store of a job, to be appended together.

    :param max_bytes: size of the largest record.
    """
    key = job_run.job.id.encode('latin-1')
    if not job_run.parts:
        value = execution.encode(job_run)
        if len(value) <= _MAX_WHOLE_SHARE * max_bytes:
            return [(key, value)]
        job_run.parts = [0]
    elif job_run.ended and not job_run.has_attempts:
        # The final state is small; the parts are deleted.
        job_run.parts = []
        job_run.stored_parts = {}
        items = [(part_key(job_run.job.id, n), b'') for n in job_run.part_keys]
        return [*items, (key, execution.encode(job_run))]
    items = _changed_parts(job_run, _MAX_PART_SHARE * max_bytes)
    return [*items, (key, execution.encode_head(job_run))]


def forget_stored(job_run: execution.JobRun) -> None:
    """Notes that the store may lack what was last written of a job."""
    job_run.stored_parts = {}


def _changed_parts(job_run: execution.JobRun, max_bytes: float) -> list[Item]:
    numbers, tasks = _numbered_tasks(job_run)
    items = []
    number = 0
    while number < len(job_run.parts):
        first = job_run.parts[number]
        end = job_run.job.task_count
        if number + 1 < len(job_run.parts):
            end = job_run.parts[number + 1]
        members = tasks[
            bisect.bisect_left(numbers, first) : bisect.bisect_left(
                numbers, end
            )
        ]
        value = execution.encode_part(job_run, members)
        if len(value) > max_bytes and end - first > 1:
            job_run.parts.insert(number + 1, (first + end) // 2)
            continue
        number += 1
        if job_run.stored_parts.get(first) != value:
            job_run.stored_parts[first] = value
            job_run.part_keys.add(first)
            items.append((part_key(job_run.job.id, first), value))
    return items


def _numbered_tasks(
    job_run: execution.JobRun,
) -> tuple[list[int], list[execution.TaskRun]]:
    """Returns the numbers of the tasks of open occurrences, and the tasks."""
    counts = [step.count for step in job_run.job.steps]
    before = list(itertools.accumulate(counts, initial=0))
    numbers: list[int] = []
    tasks: list[execution.TaskRun] = []
    for occurrence, step_runs in sorted(job_run.open_occurrences.items()):
        first = occurrence * before[-1]
        for step_run in step_runs:
            begin = first + before[step_run.number]
            numbers.extend(range(begin, begin + len(step_run.tasks)))
            tasks.extend(step_run.tasks)
    return numbers, tasks


def group_bytes(items: t.Iterable[Item]) -> int:
    """Returns the size of some records with their keys."""
    return sum(len(key) + len(value) for key, value in items)
