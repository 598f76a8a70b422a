"""Stand-in for the platform's store: topics with one partition each."""

import asyncio
import base64
import json
import random
import struct
import typing as t

from . import http

SERVERS = 'keyed.servers'
OPERATOR = 'keyed.op'
LEADERS = 'keyed.leaders'
_APPEND_S = 0.004
_LATE_RANGE_S = (1.0, 6.0)
_PAGE_ITEMS = 500
_KEPT_APPENDS = 5
_RECORD_BYTES = 262_144
_CALL_BYTES = 2_097_152
_LENGTH = struct.Struct('>I')
_HEAD = struct.Struct('>QQ')


class Refused(Exception):
    """An append was refused; carries the response."""

    def __init__(self, response: http.Response):
        super().__init__(response.status)
        self.response = response


class Topic:
    """Records of one topic and the state of its producers."""

    def __init__(self):
        self.records: list[tuple[bytes, bytes]] = []
        self.changed = asyncio.Event()
        self._epochs: dict[str, int] = {}
        self._last: dict[str, int | None] = {}
        self._kept: dict[str, dict[int, int]] = {}

    @property
    def end(self) -> int:
        """Offset after the newest record."""
        return len(self.records)

    def append(self, items: list[tuple[bytes, bytes]]) -> int:
        """Appends records; returns the offset of the first one."""
        offset = self.end
        self.records.extend(items)
        self.changed.set()
        self.changed = asyncio.Event()
        return offset

    def append_as(
        self,
        producer: str,
        epoch: int,
        seq: int,
        items: list[tuple[bytes, bytes]],
    ) -> int:
        """Appends records of a producer. Raises Refused."""
        known = self._epochs.get(producer, -1)
        if epoch < known:
            raise Refused(http.json_response(409, reason='fenced'))
        if epoch > known:
            self._epochs[producer] = epoch
            self._last[producer] = None
            self._kept[producer] = {}
        if not items:
            return self.end
        kept = self._kept[producer]
        if seq in kept:
            return kept[seq]
        last = self._last[producer]
        if last is not None and seq != last + 1:
            raise Refused(http.json_response(409, reason='seq', seq=last + 1))
        self._last[producer] = seq
        kept[seq] = self.append(items)
        if len(kept) > _KEPT_APPENDS:
            del kept[min(kept)]
        return kept[seq]

    def newest(self) -> dict[bytes, tuple[int, bytes]]:
        """Returns offset and value of the newest record of each key."""
        found: dict[bytes, tuple[int, bytes]] = {}
        for offset, (key, value) in enumerate(self.records):
            if value:
                found[key] = (offset, value)
            else:
                found.pop(key, None)
        return found


Rewrite = t.Callable[[bytes], bytes]


class Store:
    """All topics of the store.

    :ivar late_share: share of the instances' appends that get no response
        and are carried out some seconds later.
    """

    def __init__(self):
        self.late_share = 0.0
        self._rng = random.Random(1)
        self._topics: dict[str, Topic] = {}
        self._locks: dict[str, asyncio.Lock] = {}

    def topic(self, name: str) -> Topic:
        """Returns a topic, created on first use."""
        return self._topics.setdefault(name, Topic())

    def put(self, name: str, key: str, value: bytes) -> None:
        """Writes a record as an operator or a worker."""
        self.topic(name).append([(key.encode(), value)])

    def leader_records(self) -> list[dict]:
        """Returns all records of leaders, the oldest first."""
        records = self.topic(LEADERS).records
        return [json.loads(value) for _, value in records if value]

    def handler(self, rewrite: Rewrite | None = None) -> http.Handler:
        """Returns the HTTP interface for one instance.

        :param rewrite: replaces the values of workers' entries, as each
            instance reaches the workers on paths of its own.
        """

        async def handle(req: http.Request) -> http.Response:
            name = req.query['topic']
            change = rewrite if name == SERVERS else None
            call = req.path.rpartition('/')[2]
            if call == 'log-append':
                return await self._append(name, req)
            if call == 'log-read':
                return await self._read(name, req, change)
            if call == 'log-newest':
                return self._newest(name, req, change)
            return http.json_response(404)

        return handle

    async def _append(self, name: str, req: http.Request) -> http.Response:
        if name in (SERVERS, OPERATOR):
            return http.json_response(403)
        topic = self.topic(name)
        items = list(_records(req.body))
        sizes = [1 + len(key) + len(value) for key, value in items]
        if max(sizes, default=0) > _RECORD_BYTES or sum(sizes) > _CALL_BYTES:
            return http.json_response(400)
        if self._rng.random() < self.late_share:
            delay_s = self._rng.uniform(*_LATE_RANGE_S)
            loop = asyncio.get_running_loop()
            loop.call_later(delay_s, self._append_now, topic, req, items)
            raise http.NoAnswer
        lock = self._locks.setdefault(name, asyncio.Lock())
        async with lock:
            await asyncio.sleep(_APPEND_S)
            return self._append_now(topic, req, items)

    def _append_now(
        self,
        topic: Topic,
        req: http.Request,
        items: list[tuple[bytes, bytes]],
    ) -> http.Response:
        at = req.query.get('at')
        if at is not None and int(at) != topic.end:
            return http.json_response(412, end=topic.end)
        producer = req.query.get('producer')
        if producer is None:
            offset = topic.append(items)
        else:
            epoch, seq = int(req.query['epoch']), int(req.query['seq'])
            try:
                offset = topic.append_as(producer, epoch, seq, items)
            except Refused as exc:
                return exc.response
        return http.json_response(200, offset=offset, end=topic.end)

    async def _read(
        self, name: str, req: http.Request, rewrite: Rewrite | None
    ) -> http.Response:
        topic = self.topic(name)
        start = int(req.query['from'])
        wait_s = int(req.query.get('wait_ms', '0')) / 1000
        if start >= topic.end and wait_s:
            try:
                async with asyncio.timeout(wait_s):
                    await topic.changed.wait()
            except TimeoutError:
                pass  # the response has no records
        records = topic.records[start:]
        body = b''.join(_encode(k, _apply(v, rewrite)) for k, v in records)
        return http.Response(200, _HEAD.pack(topic.end, 0) + body)

    def _newest(
        self, name: str, req: http.Request, rewrite: Rewrite | None
    ) -> http.Response:
        topic = self.topic(name)
        found = sorted(topic.newest().items())
        after = req.query.get('after', '').encode()
        found = [row for row in found if row[0] > after]
        items = [
            {
                'key': key.decode(),
                'value': base64.b64encode(_apply(value, rewrite)).decode(),
                'offset': offset,
            }
            for key, (offset, value) in found[:_PAGE_ITEMS]
        ]
        more = len(found) > _PAGE_ITEMS
        return http.json_response(200, items=items, more=more, end=topic.end)


def _apply(value: bytes, rewrite: Rewrite | None) -> bytes:
    return rewrite(value) if rewrite is not None and value else value


def _encode(key: bytes, value: bytes) -> bytes:
    length = 1 + len(key) + len(value)
    return _LENGTH.pack(length) + bytes((len(key),)) + key + value


def _records(body: bytes) -> t.Iterator[tuple[bytes, bytes]]:
    position = 0
    while position < len(body):
        (length,) = _LENGTH.unpack_from(body, position)
        position += _LENGTH.size
        record = body[position : position + length]
        position += length
        key_end = 1 + record[0]
        yield record[1:key_end], record[key_end:]
