"""Snapshots of the state in the log, which outlive the log's retention."""

from google.protobuf import message as protobuf_message

from amaranthflow_schema.v1 import records_pb2

from . import exceptions
from . import ids
from . import platform
from . import state as state_lib

CHUNK_BYTES = 256 * 1024


def chunks(
    state: state_lib.State, writer: ids.Member
) -> tuple[records_pb2.Record, ...]:
    """Cuts a snapshot of the state into records for the log."""
    snapshot = state.snapshot()
    data = snapshot.SerializeToString(deterministic=True)
    parts = [
        data[start : start + CHUNK_BYTES]
        for start in range(0, len(data), CHUNK_BYTES)
    ]
    found = []
    for index, part in enumerate(parts):
        chunk = records_pb2.SnapshotChunk(
            snapshot_id=f'{writer}@{snapshot.at_offset}',
            at_offset=snapshot.at_offset,
            index=index,
            count=len(parts),
            data=part,
        )
        found.append(records_pb2.Record(snapshot_chunk=chunk))
    return tuple(found)


class Assembly:
    """Collects the chunks of snapshots until one is complete."""

    def __init__(self):
        self._parts: dict[str, dict[int, bytes]] = {}

    def add(
        self, chunk: records_pb2.SnapshotChunk
    ) -> records_pb2.Snapshot | None:
        """Takes a chunk; returns the snapshot that it completes.

        :raises InvalidRecord: the snapshot cannot be decoded.
        """
        parts = self._parts.setdefault(chunk.snapshot_id, {})
        parts[chunk.index] = chunk.data
        if len(parts) < chunk.count:
            return None
        del self._parts[chunk.snapshot_id]
        data = b''.join(parts[index] for index in range(chunk.count))
        snapshot = records_pb2.Snapshot()
        try:
            snapshot.ParseFromString(data)
        except protobuf_message.DecodeError as exc:
            raise exceptions.InvalidRecord(
                f'snapshot {chunk.snapshot_id} cannot be decoded'
            ) from exc
        return snapshot


class Replay:
    """Start of a follower whose position the log no longer keeps.

    Collects entries from the oldest kept one until a snapshot is complete
    that does not begin before them.
    """

    def __init__(self, *, start: ids.Offset):
        self._start = start
        self._entries: list[platform.Entry] = []
        self._assembly = Assembly()
        self._found: records_pb2.Snapshot | None = None
        self.next_offset = start

    def add(self, entry: platform.Entry) -> None:
        """Takes the next entry."""
        self._entries.append(entry)
        self.next_offset = ids.Offset(entry.offset + 1)
        batch = records_pb2.Batch()
        try:
            batch.ParseFromString(entry.data)
        except protobuf_message.DecodeError:
            return
        for record in batch.records:
            if record.WhichOneof('kind') == 'snapshot_chunk':
                self._add_chunk(record.snapshot_chunk)

    def found(self) -> records_pb2.Snapshot | None:
        """Returns a snapshot that can be started from, None if none yet."""
        return self._found

    def entries_from(self, offset: int) -> list[platform.Entry]:
        """Returns the collected entries from an offset on."""
        return [e for e in self._entries if e.offset >= offset]

    def _add_chunk(self, chunk: records_pb2.SnapshotChunk) -> None:
        try:
            snapshot = self._assembly.add(chunk)
        except exceptions.InvalidRecord:
            return
        if snapshot is not None and snapshot.at_offset >= self._start:
            self._found = snapshot
