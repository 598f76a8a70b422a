"""Counts clients that were refused, with one line in the log a second."""

import collections

from . import logs
from . import metrics as metrics_lib


class Refusals:
    """Refusals at one server, by reason.

    :param event: name of the log line.
    """

    def __init__(self, *, event: str, metrics: metrics_lib.Metrics):
        self._event = event
        self._metrics = metrics
        self._reasons: collections.Counter[str] = collections.Counter()

    def count(self, reason: str) -> None:
        """Counts a refusal."""
        self._reasons[reason] += 1
        self._metrics.count(metrics_lib.Metric.CLIENTS_REFUSED)

    def report(self, *, connections: int, held_bytes: int) -> None:
        """Logs what was refused since the last report."""
        if not self._reasons:
            return
        logs.log_event(
            self._event,
            level=logs.WARNING,
            reasons=dict(self._reasons),
            connections=connections,
            held_bytes=held_bytes,
        )
        self._reasons.clear()
