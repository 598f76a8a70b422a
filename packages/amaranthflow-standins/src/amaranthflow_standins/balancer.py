"""Stand-in for the platform's load balancer."""

import asyncio
import random
import typing as t

import aiohttp

from amaranthflow import ids

_POLL_S = 0.25
_TIMEOUT = aiohttp.ClientTimeout(total=1.0)


class Balancer:
    """Chooses ready instances, whose readiness check it polls.

    :param addresses: HTTP ``IP:PORT`` of each instance; read at each poll.
    :ivar ready: instances that were ready at the last poll.
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
        """Polls every instance once."""
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
        """Returns a random ready instance, preferably none of ``avoid``."""
        candidates = sorted(self.ready - set(avoid)) or sorted(self.ready)
        return self._rng.choice(candidates) if candidates else None

    def url(self, instance_id: ids.InstanceId) -> str:
        """Returns the base URL of an instance."""
        return f'http://{self._addresses[instance_id]}'

    async def _is_ready(self, instance_id: ids.InstanceId) -> bool:
        url = f'{self.url(instance_id)}/ready'
        try:
            async with self._session.get(url, timeout=_TIMEOUT) as resp:
                return resp.status == 200
        except (aiohttp.ClientError, OSError):
            return False
