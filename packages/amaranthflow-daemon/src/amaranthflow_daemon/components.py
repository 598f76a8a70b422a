"""Builds and connects the components of the daemon, without servers."""

import asyncio
import random

from amaranthflow import clock as clock_lib
from amaranthflow import health
from amaranthflow import interference
from amaranthflow import placement
from amaranthflow import sizes

from . import batch
from . import bootstrap
from . import config_watcher as config_watcher_lib
from . import controller as controller_lib
from . import dispatch
from . import gauges as gauges_lib
from . import http_api as http_api_lib
from . import jobqueue
from . import node as node_lib
from . import observer as observer_lib
from . import peers as peers_lib
from . import router as router_lib
from . import settings
from . import submissions as submissions_lib
from . import worker_sessions as sessions_lib

_BALANCER_NOTICE_S = 1.0
_DRAIN_POLL_S = 0.05


class Components:
    """All components of one daemon, connected to each other."""

    def __init__(
        self,
        *,
        cfg: settings.Settings,
        clock: clock_lib.Clock,
        links: node_lib.PlatformLinks,
        rng: random.Random,
    ):
        self._cfg = cfg
        self.node = node_lib.Node(cfg=cfg, clock=clock, links=links, rng=rng)
        self._build_worker_side(rng)
        self._build_caller_side()
        self._subscribe()

    def start(self) -> None:
        """Starts the background tasks of all components."""
        node = self.node
        node.spawn(node.follower.run(), 'follower')
        node.spawn(node.journal.run(), 'journal')
        node.spawn(bootstrap.fetch_state_from_peers(node), 'bootstrap')
        node.spawn(self.config_watcher.run(), 'bookings')
        node.spawn(self.dispatcher.queue.run(), 'admission queue')
        node.spawn(self.runner.run(), 'batch runner')
        node.spawn(self.controller.run(), 'controller')
        node.spawn(self.controller.watch_list(), 'list')
        node.spawn(self.gauges.run(), 'gauges')

    async def drain(self) -> bool:
        """Leaves the balancer, hands over the racks, finishes requests.

        Returns False if that took longer than the settings allow.
        """
        self.node.draining = True
        work = asyncio.ensure_future(self._hand_over_all())
        timer = asyncio.ensure_future(self.node.clock.sleep(self._cfg.drain_s))
        done, _ = await asyncio.wait(
            {work, timer}, return_when=asyncio.FIRST_COMPLETED
        )
        work.cancel()
        timer.cancel()
        return work in done

    def _build_worker_side(self, rng: random.Random) -> None:
        """Builds the components that own workers."""
        node = self.node
        model = interference.InterferenceModel()
        learned = sizes.SizeModel()
        self.placer = placement.InterferencePlacer(model=model)
        self.queue = jobqueue.JobQueue(node=node, sizes=learned)
        self.observer = observer_lib.UsageObserver(
            node=node, placer=self.placer, sizes=learned, model=model
        )
        worker_health = health.WorkerHealth(rng=rng, jobs=health.JobHealth())
        self.runner = batch.BatchRunner(
            node=node,
            placer=self.placer,
            queue=self.queue,
            health=worker_health,
            observer=self.observer,
        )
        self.observer.mover = self.runner
        calls = health.CallHealth(rng=rng)
        self.sessions = sessions_lib.WorkerSessions(
            node=node,
            placer=self.placer,
            reconciler=self.runner,
            observer=self.observer,
            health_trackers=(worker_health, calls),
        )
        self.runner.sessions = self.sessions
        self.dispatcher = dispatch.Dispatcher(
            node=node,
            placer=self.placer,
            sessions=self.sessions,
            health=calls,
            observer=self.observer,
        )

    def _build_caller_side(self) -> None:
        """Builds the components that serve callers and maintain the fleet."""
        node = self.node
        self.peers = peers_lib.Peers(node=node, load=self.sessions.load)
        self.controller = controller_lib.Controller(
            node=node,
            peers=self.peers,
            sessions=self.sessions,
            runner=self.runner,
        )
        self.router = router_lib.Router(
            node=node,
            peers=self.peers,
            sessions=self.sessions,
            dispatcher=self.dispatcher,
        )
        self.gauges = gauges_lib.Gauges(
            node=node,
            peers=self.peers,
            load=self.sessions.load,
            queue=self.dispatcher.queue,
        )
        self.submissions = submissions_lib.Submissions(node=node)
        self.http_api = http_api_lib.HttpApi(
            node=node, router=self.router, submissions=self.submissions
        )

    def _subscribe(self) -> None:
        """Registers the components as listeners."""
        self.config_watcher = config_watcher_lib.ConfigWatcher(node=self.node)
        self.config_watcher.listeners += [
            self.sessions,
            self.queue,
            self.observer,
            self.router,
            self.dispatcher,
        ]
        self.node.listeners += [
            self.config_watcher,
            self.sessions,
            self.peers,
            self.queue,
            self.controller,
            self.runner,
        ]

    async def _hand_over_all(self) -> None:
        # The balancer needs time to notice that this instance is leaving.
        await self.node.clock.sleep(_BALANCER_NOTICE_S)
        await self.controller.leave()
        while self.http_api.in_progress:
            await self.node.clock.sleep(_DRAIN_POLL_S)
