"""Effect of opportunistic runs on the tail latency of services beside them.

Each pair of a service image and an opportunistic image has an interference
coefficient. It is learned from the change of tail latencies when opportunistic
runs start, end or change their pace. Tail latencies are handled as logarithms
of their ratio to the target, since the effects of several runs multiply.
"""

import math
import typing as t

import msgspec

from amaranthflow import exceptions
from amaranthflow import ids
from amaranthflow import interference

from . import execution
from . import model
from . import workers

# Unknown pairs are assumed to interfere: with this coefficient, a run that
# uses a fifth of a worker raises the tail latency by half. A service with a
# high tail latency costs more than a run that starts elsewhere.
_PRIOR_EXCESS = 2.0
_PRIOR_DEVIATION = 2.5
# Standard deviation of a tail's logarithm between two reports while the runs
# beside it do not change.
_NOISE_DEVIATION = 0.22
# Closer reports overlap in time; reports further apart may differ by more than
# one change.
_MIN_SAMPLE_INTERVAL_S = 0.4
_MAX_SAMPLE_INTERVAL_S = 0.8
_MIN_LOAD_CHANGE = 0.01
# Smaller effects on the logarithm of a tail count as none: estimates for pairs
# without interference vary by as much.
_MIN_LOG_EFFECT = 0.04
_FORMAT = 1  # increase it when the meaning of a field changes
# A larger coefficient can only come from a damaged record, and its exponential
# overflows.
_MAX_EXCESS = 100.0
_RECORDED_DIGITS = 3  # estimates are hardly accurate to one decimal place
# A pair takes about 50 bytes; keeps the record well below the store's limit.
_MAX_RECORDED_PAIRS = 2_000
# Lower tails count as this high, as the service's own load may raise them
# while a run lasts.
_MIN_LOG_RATIO = math.log(0.4)


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

    def observe(
        self, worker: workers.Worker, now_s: float, now_ms: int
    ) -> None:
        """Learns from a worker's newest report and updates its tails."""
        if not worker.service_count:
            worker.expected_tails = {}
            worker.sample = None
            return
        before = worker.sample
        if before is not None and now_s - before.at_s < _MIN_SAMPLE_INTERVAL_S:
            return
        sample = _sample(worker, now_s)
        if before is not None and now_s - before.at_s < _MAX_SAMPLE_INTERVAL_S:
            self._learn(before, sample, now_ms)
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
            fields = msgspec.json.decode(value, type=tuple[int, list[_Row]])
        except (msgspec.MsgspecError, ValueError) as exc:
            raise exceptions.InvalidRecord(
                f'interference coefficients: {exc}'
            ) from exc
        if fields[0] != _FORMAT:
            raise exceptions.InvalidRecord(
                f'unknown format {fields[0]} of interference coefficients'
            )
        self._model.adopt(_estimate(row) for row in fields[1])
        return len(fields[1])

    def _learn(
        self, before: workers.Sample, sample: workers.Sample, now_ms: int
    ) -> None:
        """Learns from the differences between two samples of a worker."""
        changes = {
            image: change
            for image in before.loads.keys() | sample.loads.keys()
            if abs(
                change := sample.loads.get(image, 0.0)
                - before.loads.get(image, 0.0)
            )
            > _MIN_LOAD_CHANGE
        }
        if not changes:
            return
        for key, (image, tail) in sample.tails.items():
            if key in before.tails:
                change = tail - before.tails[key][1]
                self._model.observe_change(image, changes, change, now_ms)

    def _update_expected(self, worker: workers.Worker) -> None:
        """Sets the expected tails of a worker's services from its sample."""
        assert worker.sample is not None
        tails: dict[ids.TaskClass, float] = {}
        for image, tail in worker.sample.tails.values():
            tails[image] = max(tail, tails.get(image, _MIN_LOG_RATIO))
        worker.expected_tails = tails
        for attempt in worker.opportunistic_attempts():
            if not attempt.reported:
                self.add(worker, attempt.task.step_run.step)

    def effect(
        self, service: ids.TaskClass, step: model.Step, capacity: int
    ) -> float:
        """Returns what a run of a step adds to the logarithm of a tail.

        :param service: image of the service.
        :param capacity: processors of the worker, in thousandths of a core.
        """
        image = ids.TaskClass(step.image)
        share = step.resources.cpu / max(1, capacity)
        return self._model.excess(service, image) * share

    def add(self, worker: workers.Worker, step: model.Step) -> None:
        """Adds the effect of a run that is not yet in a report."""
        capacity = worker.entry.capacity.cpu
        for image in worker.expected_tails:
            worker.expected_tails[image] += self.effect(image, step, capacity)

    def expected_ratio(
        self, worker: workers.Worker, step: model.Step
    ) -> float:
        """Returns the highest tail ratio expected with another run of a step.

        Services on which the run has no effect do not count, however high
        their tail latency is.
        """
        share = step.resources.cpu / max(1, worker.entry.capacity.cpu)
        image = ids.TaskClass(step.image)
        worst = _MIN_LOG_RATIO
        for service, tail in worker.expected_tails.items():
            effect = self._model.excess(service, image) * share
            if effect > _MIN_LOG_EFFECT and tail + effect > worst:
                worst = tail + effect
        return math.exp(worst)


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
    tails = {}
    for attempt in worker.service_attempts():
        step = attempt.task.step_run.step
        if attempt.gauge > 0:
            image = ids.TaskClass(step.image)
            tails[attempt.task.key] = (image, math.log(attempt.tail_ratio))
    loads: dict[ids.TaskClass, float] = {}
    for attempt in worker.opportunistic_attempts():
        image = ids.TaskClass(attempt.task.step_run.step.image)
        loads[image] = loads.get(image, 0.0) + attempt.gauge / capacity
    return workers.Sample(now_s, tails, loads)


def running_opportunistic(
    worker: workers.Worker,
) -> t.Iterator[execution.Attempt]:
    """Yields the opportunistic runs of a worker that are running."""
    for attempt in worker.opportunistic_attempts():
        if attempt.state is execution.AttemptState.RUNNING:
            yield attempt
