"""Latency histograms for each tenant and task class."""

from hdrh import histogram

from amaranthflow_schema.v1 import operators_pb2

from . import ids

MAX_HISTOGRAMS = 256
MAX_LATENCY_US = 60_000_000
ALL_TENANTS = ids.TenantId('')
OVERFLOW_CLASS = ids.TaskClass('other')

_MIN_LATENCY_US = 1
_SIGNIFICANT_FIGURES = 2
_PERCENTILES = (50.0, 99.0, 99.9)
_US_PER_MS = 1000.0
_Key = tuple[ids.TenantId, ids.TaskClass]


class LatencyHistograms:
    """HDR histograms of 1 us to 60 s, created on the first record.

    There are at most ``MAX_HISTOGRAMS``. Latencies of further pairs of
    tenant and class are recorded in one row with the empty tenant and the
    class ``other``, which only operators see.
    """

    def __init__(self):
        self._histograms: dict[_Key, histogram.HdrHistogram] = {}

    def __len__(self) -> int:
        return len(self._histograms)

    def record(
        self,
        tenant_id: ids.TenantId,
        task_class: ids.TaskClass,
        latency_us: float,
    ) -> None:
        """Records a latency in us; values out of range are clamped."""
        counts = self._histograms.get((tenant_id, task_class))
        if counts is None:
            counts = self._add(tenant_id, task_class)
        value = max(_MIN_LATENCY_US, min(MAX_LATENCY_US, int(latency_us)))
        counts.record_value(value)

    def rows(
        self, tenant_id: ids.TenantId = ALL_TENANTS
    ) -> tuple[operators_pb2.LatencyRow, ...]:
        """Returns the rows of a tenant, or of all for the empty tenant."""
        return tuple(
            _row(key, self._histograms[key])
            for key in sorted(self._histograms)
            if tenant_id in (ALL_TENANTS, key[0])
        )

    def reset(self) -> None:
        """Removes all histograms to start a new window."""
        self._histograms.clear()

    def _add(
        self, tenant_id: ids.TenantId, task_class: ids.TaskClass
    ) -> histogram.HdrHistogram:
        key = (tenant_id, task_class)
        # The last histogram is reserved for the overflow row.
        if len(self._histograms) >= MAX_HISTOGRAMS - 1:
            key = (ALL_TENANTS, OVERFLOW_CLASS)
        counts = self._histograms.get(key)
        if counts is None:
            counts = histogram.HdrHistogram(
                _MIN_LATENCY_US, MAX_LATENCY_US, _SIGNIFICANT_FIGURES
            )
            self._histograms[key] = counts
        return counts


def _row(
    key: _Key, counts: histogram.HdrHistogram
) -> operators_pb2.LatencyRow:
    values = counts.get_percentile_to_value_dict(list(_PERCENTILES))
    p50, p99, p999 = (values[p] / _US_PER_MS for p in _PERCENTILES)
    return operators_pb2.LatencyRow(
        tenant_id=key[0],
        task_class=key[1],
        count=counts.get_total_count(),
        p50_ms=p50,
        p99_ms=p99,
        p999_ms=p999,
        max_ms=counts.max_value / _US_PER_MS,
    )
