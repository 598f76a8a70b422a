"""Sends the state of the process as gauges, once a second."""

import os
import pathlib
import typing as t

from amaranthflow_schema.v1 import peer_pb2

from . import metrics
from . import node as node_lib
from . import peers as peers_lib

_PERIOD_S = 1.0
_MS_PER_S = 1000
_BYTES_PER_MB = 1024 * 1024
_MEMORY = pathlib.Path('/proc/self/statm')
_RESIDENT_FIELD = 1

_Metric = metrics.Metric


class Gauges:
    """Samples the components of the process and sends gauges.

    :param load: returns the slots of the racks owned here.
    :param queue: requests waiting for a slot.
    """

    def __init__(
        self,
        *,
        node: node_lib.Node,
        peers: peers_lib.Peers,
        load: t.Callable[[], peer_pb2.LoadSummary],
        queue: t.Sized,
    ):
        self._node = node
        self._peers = peers
        self._load = load
        self._queue = queue
        self._appends = 0

    async def run(self) -> None:
        """Sends until cancelled; returns at once if no receiver is set."""
        clock = self._node.clock
        while self._node.metrics.enabled:
            started_s = clock.monotonic()
            await clock.sleep(_PERIOD_S)
            lag_s = clock.monotonic() - started_s - _PERIOD_S
            self.send(max(0.0, lag_s) * _MS_PER_S)

    def send(self, loop_lag_ms: float) -> None:
        """Sends all gauges and the number of appends since the last call."""
        self._send_ownership()
        self._send_work()
        gauge = self._node.metrics.gauge
        gauge(_Metric.LOG_REACHABLE, int(self._node.follower.reachable))
        gauge(_Metric.LOOP_LAG_MS, loop_lag_ms)
        gauge(_Metric.RESIDENT_MB, _resident_mb())
        connected = sum(link.connected for link in self._peers.links.values())
        gauge(_Metric.PEERS, connected)
        self._send_appends()

    def _send_ownership(self) -> None:
        node = self._node
        owned = node.state.racks.owned_by(node.member)
        fenced = sum(not node.ownership.admits(h.rack_id) for h in owned)
        node.metrics.gauge(_Metric.RACKS_OWNED, len(owned))
        node.metrics.gauge(_Metric.RACKS_FENCED, fenced)

    def _send_work(self) -> None:
        load = self._load()
        gauge = self._node.metrics.gauge
        gauge(_Metric.SLOTS_FREE, load.free_slots)
        gauge(_Metric.SLOTS_TOTAL, load.total_slots)
        gauge(_Metric.REQUESTS_QUEUED, len(self._queue))
        gauge(_Metric.JOBS_WAITING, len(self._node.state.jobs.waiting))
        gauge(_Metric.JOBS_RUNNING, len(self._node.state.jobs.running))

    def _send_appends(self) -> None:
        appends = self._node.journal.appends
        # The count of a replaced journal restarts at zero.
        added = (
            appends - self._appends if appends >= self._appends else appends
        )
        self._appends = appends
        if added:
            self._node.metrics.count(_Metric.LOG_APPENDS, n=added)


def _resident_mb() -> float:
    pages = int(_MEMORY.read_text().split()[_RESIDENT_FIELD])
    return pages * os.sysconf('SC_PAGE_SIZE') / _BYTES_PER_MB
