"""What opportunistic runs do to the tail latency of services beside them.

Each pair of a service's image and another image has a strength, learned from
how tails change when neighbours come, go or change pace. Tails are handled
as logarithms of their share of the target: disturbances multiply.
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

# Unknown pairs count as harmful: a neighbour that takes a fifth of the worker
# then raises the tail by half. A service that is hurt loses more than a run
# that starts elsewhere.
_PRIOR = 2.0
_PRIOR_DEVIATION = 2.5
# Spread of a tail between two reports when nothing changes beside it.
_NOISE = 0.22
# Reports this far apart tell of one change; closer ones overlap.
_LEAST_S = 0.4
_MOST_S = 0.8
_LEAST_CHANGE = 0.01
# Runs that add less than this to a tail, as a logarithm, leave it as it is:
# the spread of what is learned of a pair without any effect.
_HARMLESS = 0.04
_FORMAT = 1  # layout of the record; raise it when a field changes its meaning
# A neighbour on the whole worker would raise a tail by e to this power; beyond
# it a record is damaged, and the power of it overflows.
_MOST_EXCESS = 100.0
_DIGITS = 3  # a strength is hardly known to a tenth
# About 50 bytes each; keeps the record well under the store's limit.
_MOST_RECORDED = 2_000
# Own load may raise a low tail while a run lasts.
_FLOOR = math.log(0.4)


class TailModel:
    """Learns strengths and predicts tails.

    What is learned outlives a leader by a record, so that the next one does
    not have to hurt services to learn it anew.
    """

    def __init__(self):
        self._model = interference.InterferenceModel(
            prior_excess=_PRIOR,
            prior_deviation=_PRIOR_DEVIATION,
            noise_deviation=_NOISE,
        )

    def observe(
        self, worker: workers.Worker, now_s: float, now_ms: int
    ) -> None:
        """Takes a worker's newest report."""
        if not worker.service_count:
            worker.expected_tails = {}
            worker.sample = None
            return
        before = worker.sample
        if before is not None and now_s - before.at_s < _LEAST_S:
            return
        sample = _sample(worker, now_s)
        if before is not None and now_s - before.at_s < _MOST_S:
            self._learn(before, sample, now_ms)
        worker.sample = sample
        self._refresh(worker)

    def encode(self) -> bytes:
        """Returns a record of the strengths that are known best."""
        found = sorted(
            self._model.estimates(), key=lambda pair: pair.deviation
        )
        rows = [
            [
                pair.victim,
                pair.neighbour,
                round(pair.excess, _DIGITS),
                round(pair.deviation, _DIGITS),
                pair.updated_at_ms,
            ]
            for pair in found[:_MOST_RECORDED]
        ]
        return msgspec.json.encode([_FORMAT, rows])

    def restore(self, value: bytes) -> int:
        """Takes the strengths that an earlier leader recorded.

        Returns their number. Raises InvalidRecord and takes none then.
        """
        try:
            fields = msgspec.json.decode(value, type=tuple[int, list[_Row]])
        except (msgspec.MsgspecError, ValueError) as exc:
            raise exceptions.InvalidRecord(f'strengths: {exc}') from exc
        if fields[0] != _FORMAT:
            raise exceptions.InvalidRecord(f'format {fields[0]} of strengths')
        self._model.adopt(_estimate(row) for row in fields[1])
        return len(fields[1])

    def _learn(
        self, before: workers.Sample, sample: workers.Sample, now_ms: int
    ) -> None:
        changes = {
            image: change
            for image in before.loads.keys() | sample.loads.keys()
            if abs(
                change := sample.loads.get(image, 0.0)
                - before.loads.get(image, 0.0)
            )
            > _LEAST_CHANGE
        }
        if not changes:
            return
        for key, (image, tail) in sample.tails.items():
            if key in before.tails:
                change = tail - before.tails[key][1]
                self._model.observe_change(image, changes, change, now_ms)

    def _refresh(self, worker: workers.Worker) -> None:
        """Sets the tails that are expected of a worker's services."""
        assert worker.sample is not None
        tails: dict[ids.TaskClass, float] = {}
        for image, tail in worker.sample.tails.values():
            tails[image] = max(tail, tails.get(image, _FLOOR))
        worker.expected_tails = tails
        for attempt in worker.opportunistic_attempts():
            if not attempt.reported:
                self.add(worker, attempt.task.step_run.step)

    def effect(
        self, service: ids.TaskClass, step: model.Step, capacity: int
    ) -> float:
        """Returns what a whole run of a step adds to a service's tail."""
        image = ids.TaskClass(step.image)
        share = step.resources.cpu / max(1, capacity)
        return self._model.excess(service, image) * share

    def add(self, worker: workers.Worker, step: model.Step) -> None:
        """Counts a run that no report shows yet."""
        capacity = worker.entry.capacity.cpu
        for image in worker.expected_tails:
            worker.expected_tails[image] += self.effect(image, step, capacity)

    def expected_ratio(
        self, worker: workers.Worker, step: model.Step
    ) -> float:
        """Returns the worst tail that another run would raise.

        As a share of its target; tails that the run leaves as they are do
        not count, however high.
        """
        share = step.resources.cpu / max(1, worker.entry.capacity.cpu)
        image = ids.TaskClass(step.image)
        worst = _FLOOR
        for service, tail in worker.expected_tails.items():
            effect = self._model.excess(service, image) * share
            if effect > _HARMLESS and tail + effect > worst:
                worst = tail + effect
        return math.exp(worst)


class _Row(t.NamedTuple):
    """One pair in a record."""

    victim: str
    neighbour: str
    excess: t.Annotated[float, msgspec.Meta(ge=-_MOST_EXCESS, le=_MOST_EXCESS)]
    deviation: t.Annotated[float, msgspec.Meta(gt=0, le=_MOST_EXCESS)]
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


def running_beside(worker: workers.Worker) -> t.Iterator[execution.Attempt]:
    """Yields the opportunistic runs of a worker that work."""
    for attempt in worker.opportunistic_attempts():
        if attempt.state is execution.AttemptState.RUNNING:
            yield attempt
