"""Formats replies as text and as JSON."""

import datetime
import typing as t

from google.protobuf import json_format
from google.protobuf import message

from amaranthflow import verdict as verdict_lib
from amaranthflow_schema.v1 import operators_pb2
from amaranthflow_schema.v1 import world_pb2

_COLUMN_GAP = '  '


def escape_control(text: str) -> str:
    """Replaces control characters, which a terminal would interpret."""
    return ''.join(
        char if char.isprintable() or char == '\n' else '?' for char in text
    )


def pretty_json(msg: message.Message) -> str:
    """Returns the fields of a message that are set, as indented JSON."""
    return json_format.MessageToJson(msg, preserving_proto_field_name=True)


def fields(msg: message.Message) -> dict[str, t.Any]:
    """Returns all fields of a message for JSON, including unset ones."""
    return json_format.MessageToDict(
        msg,
        preserving_proto_field_name=True,
        always_print_fields_with_no_presence=True,
    )


def format_time(at_ms: int) -> str:
    """Formats a Unix time in ms as UTC, or returns "at once" for 0."""
    if not at_ms:
        return 'at once'
    try:
        moment = datetime.datetime.fromtimestamp(at_ms / 1000, datetime.UTC)
    except (ValueError, OverflowError, OSError):
        return f'{at_ms} ms'
    return moment.isoformat(timespec='milliseconds').replace('+00:00', 'Z')


def verdict_label(reply: t.Any) -> str:
    """Returns the verdict of a reply as text."""
    if not reply.verdict:
        return 'no verdict'
    return verdict_lib.Verdict(reply.verdict).label


def table(header: t.Sequence[str], rows: t.Sequence[t.Sequence[str]]) -> str:
    """Returns a table with left-aligned columns and a header line."""
    lines = [header, *rows]
    widths = [max(len(line[i]) for line in lines) for i in range(len(header))]
    return '\n'.join(
        _COLUMN_GAP.join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def change_reply(reply: operators_pb2.ChangeReply) -> str:
    """Returns one line about a change that was sent."""
    if reply.accepted:
        return f'accepted: version {reply.version}'
    return f'{verdict_label(reply)}: {reply.reason}'


def review(
    req: operators_pb2.ChangeRequest,
    reply: operators_pb2.ChangeReply,
) -> str:
    """Returns the result of the checks and when the change takes effect."""
    if reply.accepted:
        checks = f'passed, would be version {reply.version}'
    else:
        checks = f'refused, {reply.reason}'
    return (
        f'takes effect: {format_time(req.change.effective_at_ms)}\n'
        f'checks: {checks}'
    )


def configuration(reply: operators_pb2.ShowConfigurationReply) -> str:
    """Returns each key with its value in force and its booked changes."""
    return '\n'.join(_entry(entry) for entry in reply.entries)


def _entry(entry: operators_pb2.ConfigurationEntry) -> str:
    lines = [f'{entry.key}  version {entry.version}']
    if entry.HasField('in_force'):
        lines.append(f'  in force: {_change(entry.in_force)}')
    else:
        lines.append('  in force: nothing')
    for change in entry.booked:
        at = format_time(change.effective_at_ms)
        lines.append(f'  booked {at}: {_change(change)}')
    return '\n'.join(lines)


def _change(change: world_pb2.Change) -> str:
    body = change.WhichOneof('body')
    if body is None:
        return 'nothing'
    by = f'(change {change.change_id} by {change.operator or "unnamed"})'
    if body in ('remove', 'withdraw'):
        return f'{body} {by}'
    text = json_format.MessageToJson(
        getattr(change, body), preserving_proto_field_name=True, indent=None
    )
    return f'{text} {by}'


def job_reply(reply: operators_pb2.JobReply) -> str:
    """Returns one line about a job that was submitted or cancelled."""
    if reply.accepted:
        return f'accepted: job {reply.job_id}, {reply.phase}'
    return f'{verdict_label(reply)}: {reply.reason}'


def job(reply: operators_pb2.JobReply) -> str:
    """Returns one job as lines of "name: value"."""
    rows = [
        ('job', reply.job_id),
        ('phase', reply.phase),
        ('attempt', str(reply.attempt)),
        ('evictions', str(reply.evictions)),
        ('worker', reply.worker_id),
        ('checkpoint', reply.checkpoint),
        ('reason', reply.reason),
        ('result', reply.result.decode(errors='replace')),
    ]
    return '\n'.join(
        f'{name + ":":12}{value}' for name, value in rows if value
    )


def jobs(reply: operators_pb2.ListJobsReply) -> str:
    """Returns a table of jobs."""
    rows = [
        (
            row.job_id,
            row.phase,
            str(row.attempt),
            str(row.evictions),
            row.worker_id or '-',
            row.reason or '-',
        )
        for row in reply.jobs
    ]
    header = ('JOB', 'PHASE', 'ATTEMPT', 'EVICTIONS', 'WORKER', 'REASON')
    return table(header, rows)


def status(reply: operators_pb2.StatusReply) -> str:
    """Returns the state of one instance and the racks."""
    load = reply.load
    state = 'draining' if reply.draining else 'ready'
    if not reply.ready and not reply.draining:
        state = 'not ready'
    log = 'reachable' if reply.log_reachable else 'unreachable'
    lines = [
        f'instance {reply.instance_id} #{reply.incarnation}'
        f' in {reply.zone_id}: {state}',
        f'  log {log}, applied offset {reply.applied_offset}',
        f'  members: {", ".join(reply.members) or "none"}',
        f'  jobs: {reply.jobs_waiting} waiting, {reply.jobs_running} running',
        f'  slots: {load.free_slots} of {load.total_slots} free,'
        f' {load.queued} requests queued',
    ]
    rows = [
        (
            rack.rack_id,
            rack.owner or '-',
            str(rack.epoch),
            rack.right,
            str(rack.workers),
        )
        for rack in reply.racks
    ]
    if rows:
        header = ('RACK', 'OWNER', 'EPOCH', 'RIGHT', 'WORKERS')
        lines += ['  ' + line for line in table(header, rows).splitlines()]
    return '\n'.join(lines)


def explanation(reply: operators_pb2.ExplainReply) -> str:
    """Returns decisions with their reasons, oldest first."""
    entries = sorted(reply.entries, key=lambda entry: entry.at_ms)
    rows = [
        (
            format_time(entry.at_ms),
            entry.instance_id,
            entry.decision,
            entry.reason,
        )
        for entry in entries
    ]
    return table(('TIME', 'INSTANCE', 'DECISION', 'REASON'), rows)


def latency(reply: operators_pb2.LatencyReply) -> str:
    """Returns a table of percentiles in ms for each tenant and class."""
    rows = [
        (
            row.tenant_id,
            row.task_class,
            str(row.count),
            f'{row.p50_ms:.1f}',
            f'{row.p99_ms:.1f}',
            f'{row.p999_ms:.1f}',
            f'{row.max_ms:.1f}',
        )
        for row in reply.rows
    ]
    header = ('TENANT', 'CLASS', 'COUNT', 'P50 MS', 'P99 MS', 'P99.9 MS')
    return table((*header, 'MAX MS'), rows)
