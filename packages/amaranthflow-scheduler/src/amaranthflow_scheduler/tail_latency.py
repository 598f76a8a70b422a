"""Effect of opportunistic runs on the tail latency of services beside them.

The headroom of a service's task is the ratio of its target to its tail
latency. Queues make a tail latency inversely proportional to the processor
time left to the task, so each run beside it takes away an amount of headroom
that hardly depends on the other runs or on the service's own load.

What a run takes depends on its image and on the service's. It is learned for
each pair of images from tasks of one service, which share its load, on workers
with different runs beside them.
"""

import typing as t

import msgspec

from amaranthflow import exceptions
from amaranthflow import ids
from amaranthflow import interference

from . import decoding
from . import execution
from . import model
from . import workers

# Unknown pairs are assumed to interfere: a run that uses a tenth of a worker
# takes a headroom of 0.32. A service with a high tail latency costs more than
# a run that starts elsewhere.
_PRIOR_EXCESS = 3.2
_PRIOR_DEVIATION = 2.5
# Standard deviation of the headroom between two reports, while the runs beside
# a task do not change.
_NOISE_DEVIATION = 0.3
# Closer reports of a worker overlap in time.
_MIN_SAMPLE_INTERVAL_S = 0.4
# The load of a service differs more between reports that are further apart.
_MAX_COMPARED_AGE_S = 0.6
_MIN_LOAD_CHANGE = 0.01
# Smaller effects on the headroom count as none: estimates for pairs without
# interference vary by as much.
_MIN_EFFECT = 0.05
_FORMAT = 2  # increase it when the meaning of a field changes
# A larger coefficient can only come from a damaged record.
_MAX_EXCESS = 100.0
_RECORDED_DIGITS = 3  # estimates are hardly accurate to one decimal place
# A pair takes about 50 bytes; keeps the record well below the store's limit.
_MAX_RECORDED_PAIRS = 2_000
# A higher headroom counts as this one: the service's own load may rise while a
# run lasts.
_MAX_HEADROOM = 2.5
_MIN_HEADROOM = 0.1  # keeps expected ratios finite


class _BestTask(t.NamedTuple):
    """The task of a service that had the most headroom a short time ago."""

    at_s: float
    task: model.TaskKey
    headroom: float
    loads: dict[ids.TaskClass, float]


def least_headroom(
    worker: workers.Worker,
) -> dict[ids.TaskClass, float]:
    """Returns the least headroom of each service image on a worker."""
    found: dict[ids.TaskClass, float] = {}
    for attempt in worker.service_attempts():
        if attempt.gauge > 0:
            image = ids.TaskClass(attempt.task.step_run.step.image)
            headroom = 1.0 / attempt.tail_ratio
            found[image] = min(headroom, found.get(image, headroom))
    return found


class TailModel:
    """Learns interference coefficients and predicts tail latencies.

    The coefficients are recorded, so that the next leader does not have to
    slow services in order to learn them again.
    """

    def __init__(self):
        self._model = interference.InterferenceModel(
            prior_excess=_PRIOR_EXCESS,
            prior_deviation=_PRIOR_DEVIATION,
            noise_deviation=_NOISE_DEVIATION,
        )
        self._best_tasks: dict[ids.JobId, _BestTask] = {}

    def observe(
        self, worker: workers.Worker, now_s: float, now_ms: int
    ) -> None:
        """Learns from a worker's newest report and updates its tails."""
        if not worker.service_count:
            worker.expected_headroom = {}
            worker.expected_ratios.clear()
            worker.sample = None
            return
        before = worker.sample
        if before is not None and now_s - before.at_s < _MIN_SAMPLE_INTERVAL_S:
            return
        sample = _sample(worker, now_s)
        self._learn(sample, now_ms)
        worker.sample = sample
        self._update_expected(worker)

    def encode(self) -> bytes:
        """Returns a record of the coefficients with the least uncertainty."""
        found = sorted(
            self._model.estimates(), key=lambda pair: pair.deviation
        )
        rows = [
            [
                pair.victim,
                pair.neighbour,
                round(pair.excess, _RECORDED_DIGITS),
                round(pair.deviation, _RECORDED_DIGITS),
                pair.updated_at_ms,
            ]
            for pair in found[:_MAX_RECORDED_PAIRS]
        ]
        return msgspec.json.encode([_FORMAT, rows])

    def restore(self, value: bytes) -> int:
        """Restores the coefficients that an earlier leader recorded.

        Returns their number. Raises InvalidRecord, without restoring any, if
        the record cannot be read.
        """
        try:
            fields = decoding.decode(value, tuple[int, list[_Row]])
        except exceptions.InvalidRecord as exc:
            raise exceptions.InvalidRecord(
                f'interference coefficients: {exc}'
            ) from exc
        if fields[0] != _FORMAT:
            raise exceptions.InvalidRecord(
                f'unknown format {fields[0]} of interference coefficients'
            )
        self._model.adopt(_estimate(row) for row in fields[1])
        return len(fields[1])

    def _learn(self, sample: workers.Sample, now_ms: int) -> None:
        """Compares each task with the best recent one of its service.

        That may be an earlier report of the same task.
        """
        for key, (image, headroom) in sample.headroom.items():
            best = self._best_tasks.get(key.job)
            if best is None:
                self._forget_ended_services(sample.at_s)
            is_recent = (
                best is not None
                and sample.at_s - best.at_s <= _MAX_COMPARED_AGE_S
            )
            replaces = (
                not is_recent or key == best.task or headroom >= best.headroom
            )
            if is_recent and (key == best.task or not replaces):
                changes = _differences(best.loads, sample.loads)
                if changes:
                    lost = best.headroom - headroom
                    self._model.observe_change(image, changes, lost, now_ms)
            if replaces:
                self._best_tasks[key.job] = _BestTask(
                    sample.at_s, key, headroom, sample.loads
                )

    def _forget_ended_services(self, now_s: float) -> None:
        self._best_tasks = {
            job: best
            for job, best in self._best_tasks.items()
            if now_s - best.at_s <= _MAX_COMPARED_AGE_S
        }

    def _update_expected(self, worker: workers.Worker) -> None:
        """Sets the expected headroom of a worker's services."""
        worker.expected_headroom = {
            image: min(headroom, _MAX_HEADROOM)
            for image, headroom in least_headroom(worker).items()
        }
        worker.expected_ratios.clear()
        for attempt in worker.opportunistic_attempts():
            if not attempt.reported:
                self.add(worker, attempt.task.step_run.step)

    def effect(
        self, service: ids.TaskClass, step: model.Step, capacity: int
    ) -> float:
        """Returns the headroom that a run of a step takes from a service.

        :param service: image of the service.
        :param capacity: processors of the worker, in thousandths of a core.
        """
        image = ids.TaskClass(step.image)
        share = step.resources.cpu / max(1, capacity)
        return self._model.excess(service, image) * share

    def add(self, worker: workers.Worker, step: model.Step) -> None:
        """Adds the effect of a run that is not yet in a report."""
        capacity = worker.entry.capacity.cpu
        worker.expected_ratios.clear()
        for image in worker.expected_headroom:
            worker.expected_headroom[image] -= self.effect(
                image, step, capacity
            )

    def expected_ratio(
        self, worker: workers.Worker, step: model.Step
    ) -> float:
        """Returns the highest tail ratio expected with another run of a step.

        Services on which the run has no effect do not count, however high
        their tail latency is.
        """
        key = (step.image, step.resources.cpu)
        ratio = worker.expected_ratios.get(key)
        if ratio is None:
            ratio = self._compute_expected_ratio(worker, step)
            worker.expected_ratios[key] = ratio
        return ratio

    def _compute_expected_ratio(
        self, worker: workers.Worker, step: model.Step
    ) -> float:
        share = step.resources.cpu / max(1, worker.entry.capacity.cpu)
        image = ids.TaskClass(step.image)
        least = _MAX_HEADROOM
        for service, headroom in worker.expected_headroom.items():
            effect = self._model.excess(service, image) * share
            if effect > _MIN_EFFECT and headroom - effect < least:
                least = headroom - effect
        return 1.0 / max(_MIN_HEADROOM, least)


def _differences(
    before: t.Mapping[ids.TaskClass, float],
    after: t.Mapping[ids.TaskClass, float],
) -> dict[ids.TaskClass, float]:
    """Returns the differences of loads, without negligible ones."""
    return {
        image: change
        for image in before.keys() | after.keys()
        if abs(change := after.get(image, 0.0) - before.get(image, 0.0))
        > _MIN_LOAD_CHANGE
    }


class _Row(t.NamedTuple):
    """Coefficient of one pair of images in a record."""

    victim: str
    neighbour: str
    excess: t.Annotated[float, msgspec.Meta(ge=-_MAX_EXCESS, le=_MAX_EXCESS)]
    deviation: t.Annotated[float, msgspec.Meta(gt=0, le=_MAX_EXCESS)]
    updated_at_ms: int


def _estimate(row: _Row) -> interference.Estimate:
    return interference.Estimate(
        victim=ids.TaskClass(row.victim),
        neighbour=ids.TaskClass(row.neighbour),
        excess=row.excess,
        deviation=row.deviation,
        updated_at_ms=row.updated_at_ms,
    )


def _sample(worker: workers.Worker, now_s: float) -> workers.Sample:
    capacity = max(1, worker.entry.capacity.cpu)
    headroom = {}
    for attempt in worker.service_attempts():
        step = attempt.task.step_run.step
        if attempt.gauge > 0:
            image = ids.TaskClass(step.image)
            headroom[attempt.task.key] = (image, 1.0 / attempt.tail_ratio)
    loads: dict[ids.TaskClass, float] = {}
    for attempt in worker.opportunistic_attempts():
        image = ids.TaskClass(attempt.task.step_run.step.image)
        loads[image] = loads.get(image, 0.0) + attempt.gauge / capacity
    return workers.Sample(now_s, headroom, loads)


def running_opportunistic(
    worker: workers.Worker,
) -> t.Iterator[execution.Attempt]:
    """Yields the opportunistic runs of a worker that are running."""
    for attempt in worker.opportunistic_attempts():
        if attempt.state is execution.AttemptState.RUNNING:
            yield attempt
