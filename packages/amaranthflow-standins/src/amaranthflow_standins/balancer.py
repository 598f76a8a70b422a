"""The platform's balancer: sends clients to instances that are ready."""

import asyncio
import random
import typing as t

import aiohttp

from amaranthflow import ids

_POLL_S = 0.25
_TIMEOUT = aiohttp.ClientTimeout(total=1.0)


class Balancer:
    """Polls the readiness check of each instance.

    :param addresses: HTTP ``IP:PORT`` of each instance; may be changed.
    """

    def __init__(
        self,
        *,
        session: aiohttp.ClientSession,
        addresses: t.Mapping[ids.InstanceId, str],
        rng: random.Random,
    ):
        self._session = session
        self._addresses = addresses
        self._rng = rng
        self.ready: frozenset[ids.InstanceId] = frozenset()

    async def run(self) -> t.NoReturn:
        """Polls until cancelled."""
        while True:
            await self.poll()
            await asyncio.sleep(_POLL_S)

    async def poll(self) -> None:
        """Asks every instance once."""
        instance_ids = list(self._addresses)
        answers = await asyncio.gather(
            *(self._is_ready(instance_id) for instance_id in instance_ids)
        )
        self.ready = frozenset(
            instance_id
            for instance_id, ready in zip(instance_ids, answers, strict=True)
            if ready
        )

    def choose(
        self, avoid: t.Collection[ids.InstanceId] = ()
    ) -> ids.InstanceId | None:
        """Returns a ready instance, one of ``avoid`` only as a last resort."""
        candidates = sorted(self.ready - set(avoid)) or sorted(self.ready)
        return self._rng.choice(candidates) if candidates else None

    def url(self, instance_id: ids.InstanceId) -> str:
        """Returns the base address of an instance."""
        return f'http://{self._addresses[instance_id]}'

    async def _is_ready(self, instance_id: ids.InstanceId) -> bool:
        url = f'{self.url(instance_id)}/ready'
        try:
            async with self._session.get(url, timeout=_TIMEOUT) as resp:
                return resp.status == 200
        except (aiohttp.ClientError, OSError):
            return False
