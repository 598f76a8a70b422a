"""Demo: instances under a mixed load and faults, with invariant checks."""

import argparse
import asyncio
import contextlib
import pathlib
import random
import shutil
import sys
import tempfile
import typing as t

import aiohttp

from amaranthflow import clock as clock_lib
from amaranthflow import ids

from . import balancer as balancer_lib
from . import caller as caller_lib
from . import checks
from . import demo_scenarios
from . import demo_setup
from . import load as load_lib
from . import observations
from . import process_fleet as fleet_lib
from . import process_rules
from . import report as report_lib
from . import standin_process
from . import traffic

_READY_TIMEOUT_S = 45.0
_FINISH_TIMEOUT_S = 40.0
_POLL_S = 0.2
_IDLE_S = 3.0


class DemoFailed(Exception):
    """The fleet did not start or the load could not run."""


class Demo:
    """One run of the demo."""

    def __init__(
        self,
        *,
        session: aiohttp.ClientSession,
        logs: pathlib.Path,
        seed: int,
        seconds: float,
    ):
        self._session = session
        self._reader_logs = logs / 'reader'
        self._reader_logs.mkdir(exist_ok=True)
        self._seed = seed
        self._seconds = seconds
        self._clock = clock_lib.SystemClock()
        self._observed = observations.Observations()
        self._fleet = fleet_lib.Fleet(session=session, logs=logs)
        self._balancer = balancer_lib.Balancer(
            session=session,
            addresses=self._fleet.http_addresses,
            rng=random.Random(seed),
        )
        caller = caller_lib.Caller(
            session=session, balancer=self._balancer, clock=self._clock
        )
        self._load = load_lib.Load(
            caller=caller,
            balancer=self._balancer,
            clock=self._clock,
            seed=seed,
            tenants=demo_setup.TENANTS,
            observed=self._observed,
        )

    async def run(
        self, scenario: demo_scenarios.Scenario
    ) -> report_lib.Report:
        """Starts the fleet, runs a scenario and returns its report."""
        try:
            await self._start()
            return await self._measure(scenario)
        finally:
            await self._fleet.close()

    async def _measure(
        self, scenario: demo_scenarios.Scenario
    ) -> report_lib.Report:
        idle = await self._measure_idle()
        polling = asyncio.ensure_future(self._balancer.run())
        demo_scenarios.print_progress(
            f'load for {self._seconds:g} s, {scenario.value}'
        )
        begun_s = self._clock.monotonic()
        try:
            await self._run_load(scenario)
        finally:
            polling.cancel()
        took_s = self._clock.monotonic() - begun_s
        self._check_instances()
        self._observed.workers = await self._fleet.histories()
        return report_lib.Report(
            observed=self._observed,
            violations=checks.check_all(self._observed),
            idle=idle,
            took_s=took_s,
        )

    async def _run_load(self, scenario: demo_scenarios.Scenario) -> None:
        faults = demo_scenarios.Faults(
            fleet=self._fleet,
            clock=self._clock,
            observed=self._observed,
            seconds=self._seconds,
        )
        progress = asyncio.ensure_future(self._report_progress())
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._load.run(self._seconds))
                group.create_task(faults.run(scenario))
            demo_scenarios.print_progress(
                f'{self._load.unfinished} still under way'
            )
            await self._load.finish(_FINISH_TIMEOUT_S)
            if self._load.errors:
                raise DemoFailed(f'the load failed: {self._load.errors[0]!r}')
        finally:
            progress.cancel()

    async def _start(self) -> None:
        demo_scenarios.print_progress('starting stand-ins and instances')
        await fleet_lib.read_program_files(self._session, self._reader_logs)
        await self._fleet.start_platform(
            standin_process.ProcessSpec(seed=self._seed, platform=True)
        )
        for spec in demo_setup.worker_specs(self._seed):
            await self._fleet.start_workers(spec)
        for index, zone in enumerate(demo_setup.INSTANCE_ZONES):
            instance_id = ids.InstanceId(f'instance-{index + 1}')
            await self._fleet.start_instance(instance_id, zone)
        await self._wait(self._all_ready, 'every instance is ready')
        await self._configure()
        await self._wait(self._all_serve, 'every instance answers requests')

    async def _configure(self) -> None:
        for change in demo_setup.changes(self._fleet.worker_addresses):
            reason = await self._fleet.send_change(change)
            if reason:
                raise DemoFailed(f'{change.key} was not accepted: {reason}')
        demo_scenarios.print_progress('configuration is sent')

    async def _wait(
        self, condition: t.Callable[[], t.Awaitable[bool]], text: str
    ) -> None:
        deadline_s = self._clock.monotonic() + _READY_TIMEOUT_S
        while not await condition():
            for instance in self._fleet.unexpectedly_exited():
                code = instance.process.returncode
                raise DemoFailed(f'{instance.instance_id} ended with {code}')
            if self._clock.monotonic() > deadline_s:
                raise DemoFailed(f'not within {_READY_TIMEOUT_S:g} s: {text}')
            await self._clock.sleep(_POLL_S)
        demo_scenarios.print_progress(text)

    async def _all_ready(self) -> bool:
        await self._balancer.poll()
        return len(self._balancer.ready) == len(demo_setup.INSTANCE_ZONES)

    async def _all_serve(self) -> bool:
        """Returns whether every rack has an owner and requests complete."""
        await self._balancer.poll()
        for instance in self._fleet.instances.values():
            status = await self._fleet.status(instance)
            if status is None or len(status.racks) != len(
                demo_setup.RACK_ZONES
            ):
                return False
            if not all(rack.owner for rack in status.racks):
                return False
        for tenant in demo_setup.TENANTS:
            if not await self._load.probe(tenant):
                return False
        return True

    async def _measure_idle(self) -> report_lib.IdleUsage:
        pids = [i.process.pid for i in self._fleet.instances.values()]
        before = [traffic.read(pid) for pid in pids]
        await self._clock.sleep(_IDLE_S)
        after = [traffic.read(pid) for pid in pids]
        count = len(pids)
        pairs = list(zip(before, after, strict=True))
        sent = sum(traffic.bytes_between(a, b) for a, b in pairs)
        cpu_s = sum(b.cpu_s - a.cpu_s for a, b in pairs)
        return report_lib.IdleUsage(
            bytes_per_s=sent / count / _IDLE_S,
            core_share=cpu_s / count / _IDLE_S,
            rss_mb=sum(usage.rss_kb for usage in after) / count / 1024,
        )

    def _check_instances(self) -> None:
        for instance in self._fleet.unexpectedly_exited():
            code = instance.process.returncode
            self._observed.exit_codes[instance.instance_id] = code
        for instance in self._fleet.instances.values():
            if instance.process.returncode is None:
                self._observed.rules_broken += [
                    f'{instance.instance_id} {rule}'
                    for rule in process_rules.broken_rules(
                        instance.process.pid
                    )
                ]

    async def _report_progress(self) -> None:
        while True:
            await self._clock.sleep(2.0)
            requests = self._observed.requests
            jobs = self._observed.jobs
            answered = sum(r.right_answer is not None for r in requests)
            completed = sum(job.phase == 'completed' for job in jobs)
            ready = len(self._balancer.ready)
            demo_scenarios.print_progress(
                f'{answered}/{len(requests)} requests answered,'
                f' {completed}/{len(jobs)} jobs completed,'
                f' {ready} instances ready'
            )


async def _run(
    arguments: argparse.Namespace, logs: pathlib.Path
) -> report_lib.Report:
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        demo = Demo(
            session=session,
            logs=logs,
            seed=arguments.seed,
            seconds=arguments.seconds,
        )
        return await demo.run(demo_scenarios.Scenario(arguments.scenario))


def _print_report(report: report_lib.Report, logs: pathlib.Path) -> int:
    details = '\n'.join(report.details())
    (logs / 'tries.log').write_text(f'{details}\n')
    print(report.table(), file=sys.stderr, flush=True)
    print(report.json_line(), flush=True)
    return 1 if report.violations or not report.observed.requests else 0


def _parse(argv: t.Sequence[str] | None) -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=20.0)
    parser.add_argument(
        '--scenario',
        choices=[scenario.value for scenario in demo_scenarios.Scenario],
        default=demo_scenarios.Scenario.INSTANCE_LOSS.value,
    )
    parser.add_argument(
        '--logs',
        type=pathlib.Path,
        help='directory for the output of all processes',
    )
    return parser.parse_args(argv)


def _log_folder(requested: pathlib.Path | None) -> pathlib.Path:
    if requested is None:
        return pathlib.Path(tempfile.mkdtemp(prefix='amaranthflow-demo-'))
    requested.mkdir(parents=True, exist_ok=True)
    return requested


def main(argv: t.Sequence[str] | None = None) -> int:
    """Runs the demo and returns the exit code: 1 if an invariant was violated.

    The output of all processes is kept in case of failure or with ``--logs``.
    """
    arguments = _parse(argv)
    logs = _log_folder(arguments.logs)
    code = 1
    try:
        code = _print_report(asyncio.run(_run(arguments, logs)), logs)
    except (DemoFailed, TimeoutError) as exc:
        demo_scenarios.print_progress(f'failed: {exc}')
    except KeyboardInterrupt:
        demo_scenarios.print_progress('interrupted')
    if code == 0 and arguments.logs is None:
        with contextlib.suppress(OSError):
            shutil.rmtree(logs)
    else:
        demo_scenarios.print_progress(f'logs are in {logs}')
    return code


if __name__ == '__main__':
    sys.exit(main())
