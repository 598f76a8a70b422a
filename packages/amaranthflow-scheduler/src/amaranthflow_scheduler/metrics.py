"""Counters, gauges and latency histograms in Prometheus' text format."""

import bisect

_PREFIX = 'amaranthflow'
# Bucket bounds of the latency histograms in seconds, from the duration of one
# append to the longest timeout of callers.
_BOUNDS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0)


class _Histogram:
    __slots__ = ('buckets', 'total')

    def __init__(self):
        self.buckets = [0] * (len(_BOUNDS_S) + 1)
        self.total = 0.0

    def observe(self, seconds: float) -> None:
        self.buckets[bisect.bisect_left(_BOUNDS_S, seconds)] += 1
        self.total += seconds


class Metrics:
    """Counters, gauges and histograms of one process."""

    def __init__(self):
        self._counters: dict[str, int] = {}
        self._gauges: dict[str, float] = {}
        self._histograms: dict[str, _Histogram] = {}

    def count(self, name: str, n: int = 1) -> None:
        """Adds to a counter."""
        self._counters[name] = self._counters.get(name, 0) + n

    def gauge(self, name: str, value: float) -> None:
        """Sets a gauge."""
        self._gauges[name] = value

    def observe(self, name: str, seconds: float) -> None:
        """Adds a duration to a histogram."""
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = self._histograms[name] = _Histogram()
        histogram.observe(seconds)

    def render(self) -> bytes:
        """Returns all metrics as text."""
        lines = [
            f'{_PREFIX}_{name}_total {value}'
            for name, value in sorted(self._counters.items())
        ]
        lines.extend(
            f'{_PREFIX}_{name} {value}'
            for name, value in sorted(self._gauges.items())
        )
        for name, histogram in sorted(self._histograms.items()):
            lines.extend(_histogram_lines(name, histogram))
        return '\n'.join(lines).encode() + b'\n'


def _histogram_lines(name: str, histogram: _Histogram) -> list[str]:
    name = f'{_PREFIX}_{name}_seconds'
    lines = []
    count = 0
    for bound, n in zip((*_BOUNDS_S, '+Inf'), histogram.buckets, strict=True):
        count += n
        lines.append(f'{name}_bucket{{le="{bound}"}} {count}')
    lines.append(f'{name}_sum {histogram.total:.6f}')
    lines.append(f'{name}_count {count}')
    return lines
