"""Connections to the other instances, with one task each."""

import asyncio
import typing as t

from amaranthflow import exceptions
from amaranthflow import ids
from amaranthflow import membership
from amaranthflow import state as state_lib
from amaranthflow_schema.v1 import peer_pb2

from . import logs
from . import metrics
from . import node as node_lib

_REPLY_GRACE_S = 0.1


class PeerLink:
    """One peer: its channel, heartbeats and newest load summary.

    A channel without a reply for the suspicion timeout is replaced by a new
    one. Closing the old one ends its pending calls with a verdict.
    """

    def __init__(
        self,
        *,
        node: node_lib.Node,
        info: membership.MemberInfo,
        make_heartbeat: t.Callable[[], peer_pb2.HeartbeatRequest],
    ):
        self._node = node
        self._make_heartbeat = make_heartbeat
        self.info = info
        self.load = peer_pb2.LoadSummary()
        self.draining = False
        self.silent_peers: frozenset[str] = frozenset()
        self.leaving_workers: frozenset[str] = frozenset()
        self.answered_at = node.clock.monotonic()
        self.connected = False
        self._opened_at = self.answered_at
        self._open()

    @property
    def silent_s(self) -> float:
        """Seconds since the last reply, or since the link was created."""
        return self._node.clock.monotonic() - self.answered_at

    @property
    def suspect(self) -> bool:
        """Whether the peer has not replied for the suspicion timeout."""
        return self.silent_s > self._node.cfg.suspect_s

    async def run(self) -> t.NoReturn:
        """Sends heartbeats until cancelled."""
        try:
            while True:
                await self._heartbeat()
                await self._replace_if_unresponsive()
                await self._node.clock.sleep(self._node.cfg.heartbeat_s)
        finally:
            await self._channel.close()

    async def execute(
        self, req: peer_pb2.ExecuteRequest
    ) -> peer_pb2.ExecuteReply:
        """Forwards a request.

        :raises NotReady: the peer is not connected; nothing was sent.
        :raises Overloaded: the peer refused it for want of memory.
        :raises RequestUncertain: the request may have run.
        """
        if not self.connected or self.suspect:
            raise exceptions.NotReady('the owner is not connected')
        timeout_s = req.timeout_ms / 1000 + _REPLY_GRACE_S
        reply = await self._channel.execute(req, timeout_s)
        if (reply.request_id, reply.attempt) != (req.request_id, req.attempt):
            raise exceptions.RequestUncertain(
                'the reply is for another request'
            )
        return reply

    def _open(self) -> None:
        connect = self._node.links.connect_peer
        self._channel = connect(self.info.peer_address)
        self._opened_at = self._node.clock.monotonic()

    async def _heartbeat(self) -> None:
        asked_at = self._node.clock.monotonic()
        timeout_s = self._node.cfg.heartbeat_s
        try:
            reply = await self._channel.heartbeat(
                self._make_heartbeat(), timeout_s
            )
        except (exceptions.RequestUncertain, exceptions.Overloaded):
            self.connected = self.connected and not self.suspect
            return
        self._note(reply, asked_at)

    def _note(self, reply: peer_pb2.HeartbeatReply, asked_at: float) -> None:
        answered = ids.Member(
            ids.InstanceId(reply.instance_id),
            ids.Incarnation(reply.incarnation),
        )
        self._node.ownership.note_answer(
            answered, asked_at, ids.Offset(reply.view_offset)
        )
        if answered != self.info.member:
            return
        self.answered_at = self._node.clock.monotonic()
        self.connected = True
        self.load = reply.load
        self.draining = reply.draining
        self.silent_peers = frozenset(reply.silent)
        self.leaving_workers = frozenset(reply.leaving)

    async def _replace_if_unresponsive(self) -> None:
        now = self._node.clock.monotonic()
        newest = max(self.answered_at, self._opened_at)
        if now - newest <= self._node.cfg.suspect_s:
            return
        self.connected = False
        old_channel = self._channel
        self._open()
        await old_channel.close()
        self._node.metrics.count(metrics.Metric.CONNECTIONS_REPLACED)
        logs.log_event(
            'connection replaced',
            level=logs.WARNING,
            peer=str(self.info.member),
        )


class Peers:
    """Links to all other members, updated with the membership.

    :ivar leaving: workers that are leaving according to the list that this
        instance sees.
    """

    def __init__(
        self,
        *,
        node: node_lib.Node,
        load: t.Callable[[], peer_pb2.LoadSummary],
    ):
        self._node = node
        self._load = load
        self._tasks: dict[ids.InstanceId, asyncio.Task] = {}
        self.links: dict[ids.InstanceId, PeerLink] = {}
        self.leaving: frozenset[str] = frozenset()

    def all_leaving(self) -> frozenset[str]:
        """Returns workers that this instance or a connected peer sees leaving.

        The platform's list may reach the instances at different times.
        """
        found = set(self.leaving)
        for link in self.links.values():
            if link.connected:
                found |= link.leaving_workers
        return frozenset(found)

    def on_applied(self, applied: state_lib.Applied) -> None:
        """Updates the links when the membership has changed."""
        if applied.offset == self._node.state.view_offset:
            self.refresh()

    def on_loaded(self) -> None:
        """Updates the links from the replaced state."""
        self.refresh()

    def refresh(self) -> None:
        """Opens links to new members and closes links to former ones."""
        wanted = dict(self._node.state.members.members)
        wanted.pop(self._node.member.instance, None)
        for instance_id in list(self.links):
            if wanted.get(instance_id) != self.links[instance_id].info:
                del self.links[instance_id]
                self._tasks.pop(instance_id).cancel()
        for instance_id, info in wanted.items():
            if instance_id not in self.links:
                link = PeerLink(
                    node=self._node,
                    info=info,
                    make_heartbeat=self.make_heartbeat,
                )
                self.links[instance_id] = link
                self._tasks[instance_id] = self._node.spawn(
                    link.run(), f'peer {instance_id}'
                )

    def suspects(self) -> frozenset[str]:
        """Returns instances without a reply for the suspicion timeout."""
        return frozenset(
            instance_id
            for instance_id, link in self.links.items()
            if link.suspect
        )

    def majority_suspects(self) -> frozenset[str]:
        """Returns instances that most responsive members suspect.

        Empty if a majority of members does not reply: then this instance is
        more likely to be the partitioned one.
        """
        responsive = [n for n in self.links.values() if not n.suspect]
        members = len(self.links) + 1
        if len(responsive) + 1 <= members // 2:
            return frozenset()
        agreed = set()
        for instance_id in self.suspects():
            votes = 1 + sum(instance_id in n.silent_peers for n in responsive)
            if votes * 2 > len(responsive) + 1:
                agreed.add(instance_id)
        return frozenset(agreed)

    def make_heartbeat(self) -> peer_pb2.HeartbeatRequest:
        """Builds the heartbeat message of this instance."""
        return peer_pb2.HeartbeatRequest(
            instance_id=self._node.member.instance,
            incarnation=self._node.member.incarnation,
            view_offset=self._node.state.view_offset,
            load=self._load(),
            draining=self._node.draining,
            silent=sorted(self.suspects()),
            leaving=sorted(self.leaving),
        )
