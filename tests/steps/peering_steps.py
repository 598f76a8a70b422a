"""Steps for peering.feature."""

import asyncio
import json

import behave

from amaranthflow_scheduler import httpserver
from amaranthflow_scheduler import peering


class _Node:
    """Records the calls of other instances."""

    def __init__(self):
        self.calls: list[tuple[str, dict]] = []

    async def handle_call(self, name: str, message: dict) -> dict:
        self.calls.append((name, message))
        return {}


@behave.when('an instance calls "{name}" of another one with "{fields}"')
def step_call(context, name, fields):
    context.name, context.fields = name, json.loads(fields)
    context.node = _Node()
    handler = peering.PeerHandler(node=context.node)
    req = httpserver.Request(
        method='POST',
        path=f'/peer/{name}',
        headers={},
        body=fields.encode(),
    )
    context.response = asyncio.run(handler(req))


@behave.then('the other instance gets these fields')
def step_arrived(context):
    assert context.response.status == 200, context.response
    assert context.node.calls == [(context.name, context.fields)]


@behave.then('the other instance gets the fields "{fields}"')
def step_fields(context, fields):
    assert context.node.calls == [(context.name, json.loads(fields))]
