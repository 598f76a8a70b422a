"""Implements the gRPC service for other instances."""

import typing as t

import grpc.aio

from amaranthflow_schema.v1 import peer_pb2
from amaranthflow_schema.v1 import peer_pb2_grpc

from . import call_guard
from . import dispatch
from . import node as node_lib
from . import peers as peers_lib

_CHUNK_BYTES = 256 * 1024


class PeerService(peer_pb2_grpc.PeerServicer):
    """Implements the ``Peer`` service of the schema."""

    def __init__(
        self,
        *,
        node: node_lib.Node,
        peers: peers_lib.Peers,
        dispatcher: dispatch.Dispatcher,
    ):
        self._node = node
        self._peers = peers
        self._dispatcher = dispatcher

    async def Execute(
        self,
        request: peer_pb2.ExecuteRequest,
        context: grpc.aio.ServicerContext,
    ) -> peer_pb2.ExecuteReply:
        """Runs a request on a worker of this instance."""
        return await self._dispatcher.execute(request)

    async def Heartbeat(
        self,
        request_iterator: t.AsyncIterator[peer_pb2.HeartbeatRequest],
        context: grpc.aio.ServicerContext,
    ) -> t.AsyncIterator[peer_pb2.HeartbeatReply]:
        """Answers each heartbeat of a peer."""
        async for _ in request_iterator:
            yield self.answer_heartbeat()

    def answer_heartbeat(self) -> peer_pb2.HeartbeatReply:
        """Returns the newest view applied here and the load."""
        heartbeat = self._peers.make_heartbeat()
        return peer_pb2.HeartbeatReply(
            instance_id=heartbeat.instance_id,
            incarnation=heartbeat.incarnation,
            view_offset=heartbeat.view_offset,
            load=heartbeat.load,
            draining=heartbeat.draining,
            silent=heartbeat.silent,
            leaving=heartbeat.leaving,
        )

    async def FetchState(
        self,
        request: peer_pb2.FetchStateRequest,
        context: grpc.aio.ServicerContext,
    ) -> t.AsyncIterator[peer_pb2.StateChunk]:
        """Sends a snapshot of the state in chunks."""
        snapshot = self._node.state.snapshot()
        data = snapshot.SerializeToString()
        call_guard.hold_response(len(data))
        for start in range(0, len(data), _CHUNK_BYTES):
            yield peer_pb2.StateChunk(data=data[start : start + _CHUNK_BYTES])
