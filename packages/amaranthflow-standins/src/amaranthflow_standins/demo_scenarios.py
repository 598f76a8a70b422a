"""Fault scenarios of the demo."""

import enum
import sys

from amaranthflow import clock as clock_lib
from amaranthflow import ids

from . import observations
from . import process_fleet as fleet_lib

DRAIN_TIMEOUT_S = 40.0


class Scenario(enum.Enum):
    """Names of the scenarios."""

    INSTANCE_LOSS = 'instance-loss'
    LOG_OUTAGE = 'log-outage'
    WORKER_LOSS = 'worker-loss'
    INSTANCE_PAUSE = 'instance-pause'
    LOST_REPLIES = 'lost-replies'


class Faults:
    """Injects the faults of one scenario at set fractions of the load time."""

    def __init__(
        self,
        *,
        fleet: fleet_lib.Fleet,
        clock: clock_lib.Clock,
        observed: observations.Observations,
        seconds: float,
    ):
        self._fleet = fleet
        self._clock = clock
        self._observed = observed
        self._seconds = seconds

    async def run(self, scenario: Scenario) -> None:
        """Injects the faults of a scenario and returns after the last one."""
        runners = {
            Scenario.INSTANCE_LOSS: self._lose_instances,
            Scenario.LOG_OUTAGE: self._stop_log,
            Scenario.WORKER_LOSS: self._lose_workers,
            Scenario.INSTANCE_PAUSE: self._pause_instance,
            Scenario.LOST_REPLIES: self._lose_replies,
        }
        await runners[scenario]()

    async def _wait(self, share: float) -> None:
        await self._clock.sleep(self._seconds * share)

    async def _lose_instances(self) -> None:
        killed, drained, _ = list(self._fleet.instances)
        await self._wait(0.3)
        print_progress(f'{killed} is killed')
        self._observed.killed_at_s[killed] = self._clock.monotonic()
        await self._fleet.kill(killed)
        await self._wait(0.1)
        print_progress('instance-4 replaces it')
        await self._fleet.start_instance(
            ids.InstanceId('instance-4'), ids.ZoneId('kannur')
        )
        await self._wait(0.2)
        print_progress(f'{drained} is drained')
        begun_s = self._clock.monotonic()
        self._observed.drained_at_s[drained] = begun_s
        code = await self._fleet.drain(drained, DRAIN_TIMEOUT_S)
        self._observed.exit_codes[drained] = code
        took_s = self._clock.monotonic() - begun_s
        print_progress(f'{drained} exited with {code} after {took_s:.1f} s')

    async def _stop_log(self) -> None:
        await self._wait(1 / 3)
        print_progress('the log goes down')
        begin_s = self._clock.monotonic()
        await self._fleet.set_log(down=True)
        await self._wait(1 / 3)
        end_s = self._clock.monotonic()
        await self._fleet.set_log(down=False)
        self._observed.outage = (begin_s, end_s)
        print_progress('the log is back')

    async def _lose_workers(self) -> None:
        dead, frozen, leaving, *_ = self._fleet.worker_addresses
        await self._wait(0.25)
        print_progress(f'worker {dead} dies')
        self._observed.died_at_s[dead] = self._clock.monotonic()
        await self._fleet.set_worker(dead, dead=True)
        await self._wait(0.15)
        print_progress(f'worker {frozen} freezes')
        await self._fleet.set_worker(frozen, frozen=True)
        await self._wait(0.1)
        print_progress(f'worker {leaving} is listed as leaving')
        self._observed.leaving_at_s[leaving] = self._clock.monotonic()
        await self._fleet.set_phase(leaving, 'leaving')
        await self._wait(0.15)
        print_progress(f'worker {frozen} wakes')
        await self._fleet.set_worker(frozen, frozen=False)

    async def _pause_instance(self) -> None:
        paused, *_ = self._fleet.instances
        await self._wait(0.2)
        print_progress(f'{paused} is paused')
        self._fleet.pause(paused)
        await self._wait(0.5)
        print_progress(f'{paused} wakes')
        self._fleet.resume(paused)

    async def _lose_replies(self) -> None:
        await self._fleet.set_log(
            lost_reply_share=0.03, lost_request_share=0.02
        )
        for worker_id in self._fleet.worker_addresses:
            await self._fleet.set_worker(
                worker_id,
                garbage_share=0.02,
                cut_short_share=0.02,
                foreign_share=0.02,
                late_share=0.02,
                duplicated_start_share=0.3,
                late_s=1.0,
            )


def print_progress(text: str) -> None:
    """Prints a line of progress to stderr."""
    print(f'demo: {text}', file=sys.stderr, flush=True)
