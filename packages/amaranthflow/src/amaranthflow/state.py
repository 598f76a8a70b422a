"""The replicated state that every instance derives from the log."""

import dataclasses
import hashlib

from google.protobuf import message as protobuf_message

from amaranthflow_schema.v1 import records_pb2

from . import claims
from . import configuration
from . import exceptions
from . import ids
from . import jobs
from . import membership
from . import racks
from . import results

# No append can still be in flight from a writer that was silent for so long.
KEEP_WRITERS_MS = 24 * 3600 * 1000


@dataclasses.dataclass(slots=True, kw_only=True)
class WriterPosition:
    """Position of a writer's newest applied batch."""

    incarnation: int
    sequence: int
    last_seen_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Applied:
    """An applied batch with the result of each record.

    :ivar results: empty for a duplicate of an earlier batch.
    """

    offset: ids.Offset
    batch: records_pb2.Batch
    results: tuple[results.Result, ...]


class State:
    """State that results from applying the entries of the log in order.

    Instances that have applied the same entries hold equal states, whether
    they started from the beginning of the log or from a snapshot.

    :ivar next_offset: offset of the next entry to apply.
    :ivar log_time_ms: largest time that a writer has put into a batch.
    :ivar view_offset: offset of the newest entry that changed members or
        owners.
    """

    def __init__(self):
        self.next_offset = ids.Offset(0)
        self.log_time_ms = 0
        self.view_offset = ids.Offset(0)
        self.members = membership.Membership()
        self.racks = racks.RackTable()
        self.jobs = jobs.JobTable()
        self.claims = claims.ClaimTable()
        self.config = configuration.Configuration()
        self.writers: dict[str, WriterPosition] = {}

    def apply(self, offset: ids.Offset, data: bytes) -> Applied:
        """Applies one entry.

        :raises InvalidRecord: the entry cannot be decoded; it counts as
            applied and has no effect.
        """
        self.next_offset = ids.Offset(offset + 1)
        batch = records_pb2.Batch()
        try:
            batch.ParseFromString(data)
        except protobuf_message.DecodeError as exc:
            raise exceptions.InvalidRecord(
                f'entry at offset {offset} is not a batch'
            ) from exc
        if not self._accept_position(batch):
            return Applied(offset=offset, batch=batch, results=())
        self.log_time_ms = max(self.log_time_ms, batch.written_at_ms)
        self.jobs.expire(self.log_time_ms)
        self.claims.expire(self.log_time_ms)
        found = tuple(
            self._apply_record(record, batch, offset)
            for record in batch.records
        )
        return Applied(offset=offset, batch=batch, results=found)

    def now_ms(self, wall_ms: int) -> int:
        """Returns the time to use for reading the configuration.

        It is at least the log's time, so that an instance whose clock is
        behind does not return to an older configuration.
        """
        return max(wall_ms, self.log_time_ms)

    def snapshot(self) -> records_pb2.Snapshot:
        """Returns the whole state as a message."""
        snapshot = records_pb2.Snapshot(
            at_offset=self.next_offset,
            log_time_ms=self.log_time_ms,
            view_offset=self.view_offset,
        )
        for writer in sorted(self.writers):
            position = self.writers[writer]
            snapshot.writers.add(
                writer=writer,
                incarnation=position.incarnation,
                sequence=position.sequence,
                last_seen_ms=position.last_seen_ms,
            )
        for table in self._tables():
            table.dump(snapshot)
        return snapshot

    def load(self, snapshot: records_pb2.Snapshot) -> None:
        """Replaces the whole state with that of a snapshot."""
        self.next_offset = ids.Offset(snapshot.at_offset)
        self.log_time_ms = snapshot.log_time_ms
        self.view_offset = ids.Offset(snapshot.view_offset)
        self.writers = {
            state.writer: WriterPosition(
                incarnation=state.incarnation,
                sequence=state.sequence,
                last_seen_ms=state.last_seen_ms,
            )
            for state in snapshot.writers
        }
        for table in self._tables():
            table.load(snapshot)

    def digest(self) -> str:
        """Returns the SHA-256 of the whole state, for comparison."""
        data = self.snapshot().SerializeToString(deterministic=True)
        return hashlib.sha256(data).hexdigest()

    def _tables(self):
        return (self.members, self.racks, self.jobs, self.claims, self.config)

    def _accept_position(self, batch: records_pb2.Batch) -> bool:
        """Records a batch's position; returns False for an old batch."""
        seen = self.writers.get(batch.writer)
        position = (batch.incarnation, batch.sequence)
        if seen and position <= (seen.incarnation, seen.sequence):
            return False
        self.writers[batch.writer] = WriterPosition(
            incarnation=batch.incarnation,
            sequence=batch.sequence,
            last_seen_ms=batch.written_at_ms,
        )
        return True

    def _apply_record(self, record, batch, offset) -> results.Result:
        kind = record.WhichOneof('kind')
        writer = ids.Member(
            ids.InstanceId(batch.writer), ids.Incarnation(batch.incarnation)
        )
        if kind is None:
            return results.refused('unknown kind of record')
        handler = getattr(self, f'_apply_{kind}', None)
        if handler is None:
            return results.ACCEPTED
        return handler(getattr(record, kind), writer, offset)

    def _apply_member_joined(self, record, writer, offset):
        self._forget_old_writers()
        return self._note_view(self.members.join(record, offset), offset)

    def _apply_member_left(self, record, writer, offset):
        return self._note_view(self.members.leave(record, offset), offset)

    def _apply_views_closed(self, record, writer, offset):
        return self.members.close_views(ids.Offset(record.through_offset))

    def _apply_rack_claimed(self, record, writer, offset):
        if self.members.current(writer.instance) != writer:
            return results.refused('the claimant is not a member')
        result = self.racks.claim(record, writer, offset)
        return self._note_view(result, offset)

    def _apply_rack_released(self, record, writer, offset):
        return self._note_view(self.racks.release(record, writer), offset)

    def _apply_change(self, record, writer, offset):
        return self.config.apply(record, self.log_time_ms)

    def _apply_job_submitted(self, record, writer, offset):
        return self.jobs.submit(record.job, self.log_time_ms)

    def _apply_job_cancelled(self, record, writer, offset):
        return self.jobs.cancel(record, self.log_time_ms)

    def _apply_attempt_started(self, record, writer, offset):
        rack_id = ids.RackId(record.rack_id)
        if not self.racks.may_start(rack_id, writer, record.rack_epoch):
            return results.refused('the writer does not own the rack')
        return self.jobs.start(record, self.log_time_ms)

    def _apply_attempt_checkpointed(self, record, writer, offset):
        if not self._owns_attempt(record, writer):
            return results.refused('the writer does not own the attempt')
        return self.jobs.checkpoint(record)

    def _apply_attempt_ended(self, record, writer, offset):
        if not self._owns_attempt(record, writer):
            return results.refused('the writer does not own the attempt')
        limit = self._max_attempts()
        return self.jobs.end(record, self.log_time_ms, limit)

    def _apply_request_claimed(self, record, writer, offset):
        return self.claims.claim(record, writer, self.log_time_ms)

    def _apply_request_released(self, record, writer, offset):
        return self.claims.release(record, writer)

    def _max_attempts(self) -> int:
        """Returns the limit of the policy in force at the log's time."""
        version = self.config.in_force('policy/global', self.log_time_ms)
        limit = version.change.policy.max_attempts if version else 0
        return limit or jobs.DEFAULT_MAX_ATTEMPTS

    def _forget_old_writers(self) -> None:
        limit_ms = self.log_time_ms - KEEP_WRITERS_MS
        self.writers = {
            writer: position
            for writer, position in self.writers.items()
            if position.last_seen_ms >= limit_ms
        }

    def _owns_attempt(self, record, writer: ids.Member) -> bool:
        entry = self.jobs.running.get(jobs.JobKey.parse(record.job_id))
        if entry is None:
            return False
        return self.racks.is_owner(entry.rack_id, writer, record.rack_epoch)

    def _note_view(self, result: results.Result, offset) -> results.Result:
        if result.accepted:
            self.view_offset = offset
        return result
