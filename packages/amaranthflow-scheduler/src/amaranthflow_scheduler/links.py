"""Connections of a leader to the workers."""

from amaranthflow import ids

from . import ports
from . import workers


class Links:
    """The link to each worker, at the address of its entry."""

    def __init__(self, *, factory: ports.WorkerLinkFactory):
        self._factory = factory
        self._links: dict[ids.WorkerId, tuple[str, ports.WorkerLink]] = {}

    def get(self, worker: workers.Worker) -> ports.WorkerLink:
        """Returns the link to a worker; a new one if its address changed."""
        address = worker.entry.address
        cached = self._links.get(worker.id)
        if cached is not None and cached[0] == address:
            return cached[1]
        self.drop(worker.id)
        link = self._factory.link(worker.id, address)
        self._links[worker.id] = (address, link)
        return link

    def drop(self, worker_id: ids.WorkerId) -> None:
        """Closes the link to a worker if there is one."""
        cached = self._links.pop(worker_id, None)
        if cached is not None:
            cached[1].close()

    def close(self) -> None:
        """Closes all links."""
        for _, link in self._links.values():
            link.close()
