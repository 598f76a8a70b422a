"""Snapshots of the state in the log, which replace expired entries."""

import hashlib

from google.protobuf import message as protobuf_message

from amaranthflow_schema.v1 import records_pb2

from . import exceptions
from . import ids
from . import platform
from . import state as state_lib

CHUNK_BYTES = 256 * 1024
MAX_CHUNKS = 100_000
# A log numbers its first entry 0 or 1; no other entry precedes it.
MAX_FIRST_OFFSET = ids.Offset(1)
_INITIAL_WINDOW_ENTRIES = 1024
_WINDOW_GROWTH = 8


def chunks(
    state: state_lib.State, writer: ids.Member
) -> tuple[records_pb2.Record, ...]:
    """Splits a snapshot of the state into records for the log."""
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
        """Adds a chunk; returns the snapshot if that completes it.

        :raises InvalidRecord: the snapshot cannot be decoded.
        """
        if not chunk.index < chunk.count <= MAX_CHUNKS:
            raise exceptions.InvalidRecord(
                'chunk index is not below the chunk count'
            )
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
        raise exceptions.InvalidRecord(
            f'snapshot {snapshot_id} does not match its SHA-256'
        )
    snapshot = records_pb2.Snapshot()
    try:
        snapshot.ParseFromString(data)
    except protobuf_message.DecodeError as exc:
        raise exceptions.InvalidRecord(
            f'snapshot {snapshot_id} cannot be decoded'
        ) from exc
    return snapshot


class Replay:
    """Search for the start of a follower whose state the log cannot continue.

    Collects the newest entries of the log until they contain a complete
    snapshot that does not begin before them. If they contain none,
    ``widened`` returns a replay that begins earlier. No snapshot is needed
    if the log still has its first entry.

    :param first: oldest offset kept by the log.
    :param end: offset of the next append at the time of the request.
    :param window: number of newest entries to collect.
    """

    def __init__(
        self,
        *,
        first: ids.Offset,
        end: ids.Offset,
        window: int = _INITIAL_WINDOW_ENTRIES,
    ):
        self._first = first
        self._end = end
        self._window = window
        self._start = ids.Offset(max(first, end - window))
        self._entries: list[platform.Entry] = []
        self._assembler = ChunkAssembler()
        self._found: records_pb2.Snapshot | None = None
        self.next_offset = self._start

    @property
    def missing(self) -> bool:
        """True if all entries were read and no start was found."""
        return self._is_complete() and self.found() is None

    def widened(self) -> 'Replay | None':
        """Returns a replay that begins earlier if this one found no start.

        None while entries are left to read, or if there are no older ones.
        """
        if not self.missing or self._start == self._first:
            return None
        return Replay(
            first=self._first,
            end=self._end,
            window=self._window * _WINDOW_GROWTH,
        )

    def add(self, entry: platform.Entry) -> None:
        """Adds the next entry."""
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
        """Returns a snapshot to start from, None if none was found yet."""
        if self._found is None and self._has_log_start():
            return records_pb2.Snapshot(at_offset=self._start)
        return self._found

    def entries_from(self, offset: int) -> list[platform.Entry]:
        """Returns the collected entries from an offset on."""
        return [e for e in self._entries if e.offset >= offset]

    def _is_complete(self) -> bool:
        return self.next_offset >= self._end

    def _has_log_start(self) -> bool:
        return self._is_complete() and self._start <= MAX_FIRST_OFFSET

    def _add_chunk(self, chunk: records_pb2.SnapshotChunk) -> None:
        try:
            snapshot = self._assembler.add(chunk)
        except exceptions.InvalidRecord:
            return
        if snapshot is not None and snapshot.at_offset >= self._start:
            self._found = snapshot
