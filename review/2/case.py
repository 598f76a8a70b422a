"""An entry of another writer among the workers' entries."""

import asyncio
import json

from standins import scenario as scenario_lib
from standins import store as store_lib

_WORKERS = 4
_STEP = {'count': 2, 'cpu': 500, 'mem_mb': 256, 'estimate_ms': 400}
_FINISH_S = 14.0  # ``finish_s`` of the pages
_STARVED_S = 3.0


def _foreign_entry() -> bytes:
    """Returns an entry of another system.

    Its service is not named in the configuration, and its address cannot be
    read.
    """
    return json.dumps(
        {
            'service': 'billing',
            'address': '127.0.0..9:8080',
            'zone': 'z1',
            'version': '4',
            'slots': 8,
            'state': 'ready',
            'cold_ms': 0,
            'seq': 1,
            'born': 1,
            'capacity': {'cpu': 8000, 'mem_mb': 64000},
            'labels': ['a', 'r9'],
        }
    ).encode()


async def play(case: scenario_lib.Scenario) -> None:
    """Plays the case."""
    case.configure()
    for number in range(_WORKERS):
        await case.add_worker(f'w{number}')
    for number in range(3):
        await case.add_instance(f'edge-{number}')
    await case.start_instances()
    first = await case.submit('00000000000000a1', [_STEP], 'ms=400')
    state = await case.wait_state(first, ('completed',), 10.0)
    if state != 'completed':
        raise scenario_lib.Held('the first job was not completed')
    if case.trouble:
        case.log('another writer registers an entry')
        case.store.put(store_lib.SERVERS, 'billing-7', _foreign_entry())
    await asyncio.sleep(2.0)
    jobs = [
        await case.submit(f'{0xB0 + number:016x}', [_STEP], 'ms=400')
        for number in range(4)
    ]
    accepted = [job for job in jobs if job.accepted_s is not None]
    case.log(f'{len(accepted)} of {len(jobs)} jobs accepted')
    await asyncio.sleep(_FINISH_S)
    for job in accepted:
        state = await case.state(job, tries=3)
        started = [run for run in case.runs(job.id)]
        if not started:
            waited = case.fleet.now_s() - job.accepted_s
            case.fail(
                f'LOST {job.id}: accepted {waited:.1f} s ago, no task has '
                f'started, all workers are free; limit {_STARVED_S} s'
            )
        if not state or state == 'unknown':
            case.fail(f'LOST {job.id}: no answer about it: {state!r}')
    if not accepted:
        raise scenario_lib.Held('no job was accepted')


scenario_lib.main(play, __file__)
