"""How often workers report.

Answers fleets of thousands of workers, whose reports would take more than the
processor of one leader. Workers without runs then report less often.
"""

# A worker with runs reports at least this often, so that each lease is renewed
# several times before it expires.
MIN_INTERVAL_S = 0.5
# The first report of a run that starts on an idle worker comes after this time
# at the latest. It has to come before the run could count as hung.
MAX_INTERVAL_S = 1.2
# Reports a second of idle workers. A report takes some 0.1 ms of a processor.
_MAX_IDLE_REPORTS_PER_S = 2_000
# Round trip, and delays of this process.
_MARGIN_S = 0.7


def idle_interval_s(fleet_size: int) -> float:
    """Returns how often a worker without runs reports."""
    needed_s = fleet_size / _MAX_IDLE_REPORTS_PER_S
    return min(max(needed_s, MIN_INTERVAL_S), MAX_INTERVAL_S)


def silent_after_s(fleet_size: int) -> float:
    """Returns the age of a report from which a worker counts as silent."""
    return idle_interval_s(fleet_size) + _MARGIN_S
