"""Steps for sizes.feature."""

import behave
import hypothesis
from hypothesis import strategies as st

from amaranthflow import platform
from amaranthflow import sizes
from amaranthflow import world

_WINDOW_MS = 10_000


def _report(task, at_ms, cores, memory_mb):
    return platform.UsageReport(
        task_id=task,
        task_class='sort',
        measured_at_ms=at_ms,
        cores=cores,
        memory_mb=memory_mb // 2,
        peak_memory_mb=memory_mb,
        slowdown=1.0,
    )


def _size(context, cores, memory_mb):
    declared = world.Size(cores=cores, memory_mb=memory_mb)
    return context.sizes.size_for('house', 'sort', declared)


@behave.given('a size model')
def step_model(context):
    context.sizes = sizes.SizeModel()


@behave.when(
    'the size model gets reports of {tasks:d} tasks with {cores:g} cores'
    ' and {memory:d} MB'
)
def step_reports(context, tasks, cores, memory):
    age_ms = 30_000
    for number in range(tasks):
        report = _report(f't{number}', number * 1000, cores, memory)
        context.sizes.observe('house', report, age_ms)


@behave.then(
    'the size model gives {cores:g} cores and {memory:d} MB'
    ' for {declared:g} cores and {declared_mb:d} MB'
)
def step_gives(context, cores, memory, declared, declared_mb):
    size = _size(context, declared, declared_mb)
    assert abs(size.cores - cores) < 0.01, size
    assert abs(size.memory_mb - memory) <= 1, size


@behave.then(
    'the size model gives at least {memory:d} MB'
    ' for {declared:g} cores and {declared_mb:d} MB'
)
def step_at_least(context, memory, declared, declared_mb):
    assert _size(context, declared, declared_mb).memory_mb >= memory


@behave.then(
    'the memory of a size is at least each peak of the reference window'
)
def step_peaks(context):
    report = st.tuples(st.integers(0, 4_000), st.integers(1, 50_000))

    @hypothesis.given(st.lists(report, min_size=1, max_size=40))
    def check(steps):
        model = sizes.SizeModel(window_ms=_WINDOW_MS)
        peaks = []
        now_ms = 0
        for number, (elapsed_ms, peak_mb) in enumerate(steps):
            now_ms += elapsed_ms
            peaks.append((now_ms, peak_mb))
            report = _report(f't{number}', now_ms, 1, peak_mb)
            model.observe('house', report, now_ms)
            recent = [p for at, p in peaks if now_ms - at < _WINDOW_MS]
            size = model.size_for('house', 'sort', world.ZERO_SIZE)
            assert size.memory_mb >= max(recent)
            assert size.memory_mb <= max(p for _, p in peaks) * 1.1 + 1

    check()


@behave.when(
    'the size model gets reports of {tasks:d} young tasks with {cores:g} cores'
    ' and {memory:d} MB'
)
def step_young(context, tasks, cores, memory):
    for number in range(tasks):
        report = _report(f't{number}', number * 1000, cores, memory)
        context.sizes.observe('house', report, 1_000)
