"""Steps for jobs.feature."""

import random

import behave
import hypothesis
from hypothesis import strategies

from amaranthflow import exceptions
from amaranthflow import ids
from amaranthflow import jobs
from amaranthflow import state as state_lib
from amaranthflow_schema.v1 import records_pb2
from amaranthflow_schema.v1 import world_pb2

_START_MS = 1_700_000_000_000
_OUTCOMES = {
    'completed': records_pb2.OUTCOME_COMPLETED,
    'not run': records_pb2.OUTCOME_NOT_RUN,
    'evicted': records_pb2.OUTCOME_EVICTED,
    'lost': records_pb2.OUTCOME_LOST,
    'failed': records_pb2.OUTCOME_FAILED,
}


class _Bench:
    def __init__(self):
        self.state = state_lib.State()
        self.now_ms = _START_MS
        self.sequences = {}
        self.result = None
        self.epoch = 0
        self.owner = 'i1'

    def apply(self, writer, **kinds):
        """Applies a batch of one record and stores its result."""
        sequence = self.sequences.get(writer, 0) + 1
        self.sequences[writer] = sequence
        batch = records_pb2.Batch(
            writer=writer,
            incarnation=1,
            sequence=sequence,
            written_at_ms=self.now_ms,
            records=[records_pb2.Record(**kinds)],
        )
        applied = self.state.apply(
            self.state.next_offset, batch.SerializeToString()
        )
        self.result = applied.results[0]

    def claim_rack(self, name):
        joined = records_pb2.MemberJoined(instance_id=name, incarnation=1)
        self.apply(name, member_joined=joined)
        claimed = records_pb2.RackClaimed(rack_id='r1', after_epoch=self.epoch)
        self.apply(name, rack_claimed=claimed)
        assert self.result.accepted
        self.epoch += 1
        self.owner = name

    def start(self, name, attempt):
        started = records_pb2.AttemptStarted(
            job_id=f't/{name}',
            attempt=attempt,
            worker_id='w1',
            rack_id='r1',
            rack_epoch=1,
        )
        self.apply('i1', attempt_started=started)

    def end(self, writer, name, attempt, outcome, checkpoint=''):
        ended = records_pb2.AttemptEnded(
            job_id=f't/{name}',
            attempt=attempt,
            outcome=_OUTCOMES[outcome],
            checkpoint=checkpoint,
            rack_epoch=1 if writer == 'i1' else self.epoch,
        )
        self.apply(writer, attempt_ended=ended)

    def entry(self, name):
        key = jobs.JobKey(ids.TenantId('t'), ids.JobId(name))
        return self.state.jobs.jobs[key]


@behave.given('a job table whose member owns rack r1')
def step_table(context):
    context.bench = _Bench()
    context.bench.claim_rack('i1')


@behave.when('the job table gets the {kind} job {name:w} submitted')
def step_submit(context, kind, name):
    job = world_pb2.Job(
        job_id=name,
        tenant_id='t',
        task_class='sort',
        idempotent=kind == 'idempotent',
    )
    submitted = records_pb2.JobSubmitted(job=job)
    context.bench.apply('i1', job_submitted=submitted)


@behave.when('the job table gets attempt {attempt:d} of {name:w} started')
def step_start(context, attempt, name):
    context.bench.start(name, attempt)


@behave.when(
    'the job table gets {count:d} attempts of {name:w} started and failed'
)
def step_fail(context, count, name):
    for attempt in range(1, count + 1):
        context.bench.start(name, attempt)
        assert context.bench.result.accepted
        context.bench.end('i1', name, attempt, 'failed')


@behave.when('the job table gets rack r1 claimed by {name:w}')
def step_claim_rack(context, name):
    context.bench.claim_rack(name)


@behave.when(
    'the job table gets checkpoint "{checkpoint}" of attempt {attempt:d} of'
    ' {name:w}'
)
def step_checkpoint(context, checkpoint, attempt, name):
    written = records_pb2.AttemptCheckpointed(
        job_id=f't/{name}',
        attempt=attempt,
        checkpoint=checkpoint,
        rack_epoch=1,
    )
    context.bench.apply('i1', attempt_checkpointed=written)
    assert context.bench.result.accepted


@behave.when(
    'the job table gets checkpoint "" of attempt {attempt:d} of {name:w}'
)
def step_no_checkpoint(context, attempt, name):
    assert context.bench.entry(name).attempt == attempt


@behave.when(
    'the job table gets attempt {attempt:d} of {name:w} ended by {writer:w}'
    ' as {outcome:w}'
)
def step_end_by(context, attempt, name, writer, outcome):
    context.bench.end(writer, name, attempt, outcome)


@behave.when(
    'the job table gets attempt {attempt:d} of {name:w} ended as {outcome}'
    ' with "{checkpoint}"'
)
def step_end(context, attempt, name, outcome, checkpoint):
    context.bench.end('i1', name, attempt, outcome, checkpoint)
    assert context.bench.result.accepted


@behave.when(
    'the job table gets attempt {attempt:d} of {name:w} ended as {outcome}'
    ' with ""'
)
def step_end_without(context, attempt, name, outcome):
    step_end(context, attempt, name, outcome, '')


@behave.when(
    'the job table gets a policy of {count:d} attempts, booked in {hours:d} h'
)
def step_policy(context, count, hours):
    change = world_pb2.Change(
        change_id='p1',
        key='policy/global',
        effective_at_ms=context.bench.now_ms + hours * 3600 * 1000,
    )
    change.policy.max_attempts = count
    change.policy.relief_slowdown = 1.5
    context.bench.apply('i1', change=change)
    assert context.bench.result.accepted, context.bench.result.reason


@behave.when('the job table gets job {name:w} cancelled')
def step_cancel(context, name):
    cancelled = records_pb2.JobCancelled(job_id=name, tenant_id='t')
    context.bench.apply('i1', job_cancelled=cancelled)


@behave.when('the job table gets request {name:w} claimed by {writer:w}')
def step_claim(context, name, writer):
    claimed = records_pb2.RequestClaimed(tenant_id='t', request_id=name)
    context.bench.apply(writer, request_claimed=claimed)


@behave.when('the job table gets request {name:w} released by {writer:w}')
def step_release(context, name, writer):
    released = records_pb2.RequestReleased(tenant_id='t', request_id=name)
    context.bench.apply(writer, request_released=released)


@behave.when('{hours:g} h pass in the job table')
def step_pass(context, hours):
    context.bench.now_ms += int(hours * 3600 * 1000)


@behave.then('the job table accepts that')
def step_accepts(context):
    assert context.bench.result.accepted, context.bench.result.reason


@behave.then('the job table refuses that with "{text}"')
def step_refuses(context, text):
    assert not context.bench.result.accepted
    assert text in context.bench.result.reason, context.bench.result.reason


@behave.then('the job table has {name:w} as {phase} after attempt {attempt:d}')
def step_phase(context, name, phase, attempt):
    entry = context.bench.entry(name)
    assert entry.phase.label == phase, entry
    assert entry.attempt == attempt, entry


@behave.then('the job table resumes {name:w} from "{checkpoint}"')
def step_resumes(context, name, checkpoint):
    assert context.bench.entry(name).checkpoint == checkpoint


@behave.then('the job table resumes {name:w} from ""')
def step_resumes_anew(context, name):
    assert context.bench.entry(name).checkpoint == ''


@behave.then('the job table holds {count:d} job')
@behave.then('the job table holds {count:d} jobs')
def step_holds(context, count):
    assert len(context.bench.state.jobs.jobs) == count


@behave.then('the job table holds {count:d} claim')
def step_holds_claims(context, count):
    assert len(context.bench.state.claims) == count


def _random_records(rng):
    names = ('a', 'b', 'c')
    name = rng.choice(names)
    key = f't/{name}'
    attempt = rng.randrange(1, 4)
    job = world_pb2.Job(
        job_id=name,
        tenant_id='t',
        task_class='sort',
        idempotent=rng.random() < 0.5,
    )
    return rng.choice(
        (
            {'job_submitted': records_pb2.JobSubmitted(job=job)},
            {
                'job_cancelled': records_pb2.JobCancelled(
                    job_id=name, tenant_id='t'
                )
            },
            {
                'attempt_started': records_pb2.AttemptStarted(
                    job_id=key,
                    attempt=attempt,
                    worker_id='w1',
                    rack_id='r1',
                    rack_epoch=1,
                )
            },
            {
                'attempt_ended': records_pb2.AttemptEnded(
                    job_id=key,
                    attempt=attempt,
                    outcome=rng.randrange(1, 7),
                    rack_epoch=1,
                )
            },
            {
                'request_claimed': records_pb2.RequestClaimed(
                    tenant_id='t', request_id=name
                )
            },
        )
    )


def _tables(bench):
    """Returns the state that must not depend on the batches."""
    snapshot = bench.state.snapshot()
    return snapshot.jobs, snapshot.requests, snapshot.next_job_sequence


@behave.then(
    'job tables agree on random records in any batches in {count:d} runs'
)
def step_batches(context, count):
    @hypothesis.settings(max_examples=count)
    @hypothesis.given(
        seed=strategies.integers(0, 10**6), size=strategies.integers(2, 60)
    )
    def check(seed, size):
        rng = random.Random(seed)
        kinds = [_random_records(rng) for _ in range(60)]
        single, grouped = _Bench(), _Bench()
        single.claim_rack('i1')
        grouped.claim_rack('i1')
        for kind in kinds:
            single.apply('i1', **kind)
        for start in range(0, len(kinds), size):
            part = kinds[start : start + size]
            batch = records_pb2.Batch(
                writer='i1',
                incarnation=1,
                sequence=100 + start,
                written_at_ms=_START_MS,
                records=[records_pb2.Record(**kind) for kind in part],
            )
            grouped.state.apply(
                grouped.state.next_offset, batch.SerializeToString()
            )
        assert _tables(single) == _tables(grouped)

    check()


@behave.then('job tables survive {count:d} records of random bytes')
def step_bytes(context, count):
    state = context.bench.state

    @hypothesis.settings(max_examples=count)
    @hypothesis.given(data=strategies.binary(max_size=60))
    def check(data):
        # Field 5 of a batch is a record of these bytes.
        entry = b'\x0a\x01x\x18\x01\x2a' + bytes([len(data)]) + data
        before = state.next_offset
        try:
            state.apply(before, entry)
        except exceptions.InvalidRecord:
            pass
        assert state.next_offset == before + 1
        state.writers.pop('x', None)
        assert state.digest()

    check()
