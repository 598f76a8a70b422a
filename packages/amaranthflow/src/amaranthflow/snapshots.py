"""Snapshots of the state in the log, which outlive the log's retention."""

import hashlib

from google.protobuf import message as protobuf_message

from amaranthflow_schema.v1 import records_pb2

from . import exceptions
from . import ids
from . import platform
from . import state as state_lib

CHUNK_BYTES = 256 * 1024
MAX_CHUNKS = 100_000
# A log may call its first entry 0 or 1; no other entry can come before it.
LAST_BEGINNING = ids.Offset(1)
_FIRST_WINDOW_ENTRIES = 1024
_WINDOW_GROWTH = 8


def chunks(
    state: state_lib.State, writer: ids.Member
) -> tuple[records_pb2.Record, ...]:
    """Cuts a snapshot of the state into records for the log."""
    snapshot = state.snapshot()
    data = snapshot.SerializeToString(deterministic=True)
    digest = hashlib.sha256(data).hexdigest()
    parts = [
        data[start : start + CHUNK_BYTES]
        for start in range(0, len(data), CHUNK_BYTES)
    ]
    found = []
    for index, part in enumerate(parts):
        chunk = records_pb2.SnapshotChunk(
            snapshot_id=f'{writer}@{snapshot.at_offset}:{digest}',
            at_offset=snapshot.at_offset,
            index=index,
            count=len(parts),
            data=part,
        )
        found.append(records_pb2.Record(snapshot_chunk=chunk))
    return tuple(found)


class ChunkAssembler:
    """Collects the chunks of snapshots until one is complete."""

    def __init__(self):
        self._parts: dict[str, dict[int, bytes]] = {}

    def add(
        self, chunk: records_pb2.SnapshotChunk
    ) -> records_pb2.Snapshot | None:
        """Takes a chunk; returns the snapshot that it completes.

        :raises InvalidRecord: the snapshot cannot be decoded.
        """
        if not chunk.index < chunk.count <= MAX_CHUNKS:
            raise exceptions.InvalidRecord('chunk outside its snapshot')
        parts = self._parts.setdefault(chunk.snapshot_id, {})
        parts[chunk.index] = chunk.data
        if any(index not in parts for index in range(chunk.count)):
            return None
        del self._parts[chunk.snapshot_id]
        data = b''.join(parts[index] for index in range(chunk.count))
        return _decode(chunk.snapshot_id, data)


def _decode(snapshot_id: str, data: bytes) -> records_pb2.Snapshot:
    digest = snapshot_id.rpartition(':')[2]
    if digest != hashlib.sha256(data).hexdigest():
        raise exceptions.InvalidRecord(f'snapshot {snapshot_id} is damaged')
    snapshot = records_pb2.Snapshot()
    try:
        snapshot.ParseFromString(data)
    except protobuf_message.DecodeError as exc:
        raise exceptions.InvalidRecord(
            f'snapshot {snapshot_id} cannot be decoded'
        ) from exc
    return snapshot


class Replay:
    """Start of a follower that holds no state the log could continue.

    Collects the newest entries of the log until a snapshot is complete that
    does not begin before them. Where they hold none, ``widened`` makes one
    that begins earlier. No snapshot is needed where the log still keeps its
    beginning.

    :param first: oldest offset kept.
    :param end: offset of the next append when the log was asked.
    """

    def __init__(
        self,
        *,
        first: ids.Offset,
        end: ids.Offset,
        window: int = _FIRST_WINDOW_ENTRIES,
    ):
        self._first = first
        self._end = end
        self._window = window
        self._start = ids.Offset(max(first, end - window))
        self._entries: list[platform.Entry] = []
        self._assembly = ChunkAssembler()
        self._found: records_pb2.Snapshot | None = None
        self.next_offset = self._start

    @property
    def missing(self) -> bool:
        """True once all kept entries were seen and no start was found."""
        return self._at_end() and self.found() is None

    def widened(self) -> 'Replay | None':
        """Returns a replay that begins earlier, once this one is in vain.

        None while there are entries left to see, and where none is older.
        """
        if not self.missing or self._start == self._first:
            return None
        return Replay(
            first=self._first,
            end=self._end,
            window=self._window * _WINDOW_GROWTH,
        )

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
        if self._found is None and self._keeps_beginning():
            return records_pb2.Snapshot(at_offset=self._start)
        return self._found

    def entries_from(self, offset: int) -> list[platform.Entry]:
        """Returns the collected entries from an offset on."""
        return [e for e in self._entries if e.offset >= offset]

    def _at_end(self) -> bool:
        return self.next_offset >= self._end

    def _keeps_beginning(self) -> bool:
        return self._at_end() and self._start <= LAST_BEGINNING

    def _add_chunk(self, chunk: records_pb2.SnapshotChunk) -> None:
        try:
            snapshot = self._assembly.add(chunk)
        except exceptions.InvalidRecord:
            return
        if snapshot is not None and snapshot.at_offset >= self._start:
            self._found = snapshot
