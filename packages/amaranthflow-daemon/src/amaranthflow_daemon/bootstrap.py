"""Startup of an instance while the platform's log does not answer."""

from google.protobuf import message as protobuf_message

from amaranthflow import exceptions
from amaranthflow_schema.v1 import peer_pb2
from amaranthflow_schema.v1 import records_pb2

from . import logs
from . import node as node_lib

_LOG_WAIT_S = 2.0
_FETCH_TIMEOUT_S = 10.0
_RETRY_S = 1.0


async def fetch_state_from_peers(node: node_lib.Node) -> None:
    """Adopts the newest state of the start peers, unless the log answers.

    Gives the log ``_LOG_WAIT_S`` to answer first. Returns once the instance
    has a state, or after that wait if no start peers are configured.
    Configuration cannot go back to an older version this way: the process
    had none before, and the log only adds to what was fetched.
    """
    await node.clock.sleep(_LOG_WAIT_S)
    while not node.follower.caught_up and node.cfg.start_peers:
        found = [await _fetch(node, a) for a in node.cfg.start_peers]
        usable = [snapshot for snapshot in found if snapshot is not None]
        if usable and not node.follower.caught_up:
            newest = max(usable, key=lambda snapshot: snapshot.at_offset)
            node.follower.adopt(newest)
            node.state_from_peer = True
            logs.log_event('state fetched from peer', offset=newest.at_offset)
            return
        await node.clock.sleep(_RETRY_S)


async def _fetch(
    node: node_lib.Node, address: str
) -> records_pb2.Snapshot | None:
    """Returns a peer's state, or None if it has none or does not answer.

    A state without members is ignored.
    """
    channel = node.links.connect_peer(address)
    req = peer_pb2.FetchStateRequest(instance_id=node.member.instance)
    try:
        data = await channel.fetch_state(req, _FETCH_TIMEOUT_S)
        snapshot = records_pb2.Snapshot.FromString(data)
    except (
        exceptions.AmaranthflowError,
        protobuf_message.DecodeError,
    ) as exc:
        logs.log_event('no state from peer', peer=address, reason=str(exc))
        return None
    finally:
        await channel.close()
    return snapshot if snapshot.members else None
