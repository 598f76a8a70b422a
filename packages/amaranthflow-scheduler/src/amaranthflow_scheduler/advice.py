"""Tickets of an adviser that alone knows where a step may run.

The adviser takes one call at a time and needs time for each worker it is
asked about. So a step asks about few workers, best first, and what is known
of a worker is not asked again while it holds.
"""

import typing as t

from amaranthflow import ids

# Workers in one question: the platform's chain of a job counts one call on
# about this many.
_MOST_ASKED = 30
# A ticket is not used when it is about to end on its way to the worker.
_MARGIN_S = 0.3


class StepKey(t.NamedTuple):
    """One occurrence of a step of a job."""

    job: ids.JobId
    occurrence: int
    step: int


class Question(t.NamedTuple):
    """Which of some workers may run a step."""

    step: StepKey
    workers: tuple[ids.WorkerId, ...]


class _Ticket(t.NamedTuple):
    text: str
    until_s: float
    born_ms: int


class Advice:
    """Tickets and refusals by step, and what is still to be asked."""

    def __init__(self):
        self._tickets: dict[StepKey, dict[ids.WorkerId, _Ticket]] = {}
        self._refused: dict[StepKey, set[ids.WorkerId]] = {}
        self._wanted: dict[StepKey, tuple[ids.WorkerId, ...]] = {}

    def ticket(
        self, step: StepKey, worker: ids.WorkerId, born_ms: int, now_s: float
    ) -> str:
        """Returns a ticket for this life of a worker, empty if none holds."""
        found = self._tickets.get(step, {}).get(worker)
        if found is None or found.born_ms != born_ms:
            return ''
        return found.text if now_s + _MARGIN_S < found.until_s else ''

    def request(
        self, step: StepKey, candidates: t.Iterable[ids.WorkerId]
    ) -> None:
        """Asks about workers of which nothing is known, best first."""
        refused = self._refused.get(step, set())
        asked = [worker for worker in candidates if worker not in refused]
        if asked:
            self._wanted[step] = tuple(asked[:_MOST_ASKED])

    def next_question(self) -> Question | None:
        """Takes the question that was wanted first, or None."""
        for step in self._wanted:
            return Question(step, self._wanted.pop(step))
        return None

    def on_answer(
        self,
        question: Question,
        tickets: dict[ids.WorkerId, str],
        until_s: float,
        lives: dict[ids.WorkerId, int],
    ) -> None:
        """Takes an answer.

        :param lives: life of each worker that was asked about, when asked.
        """
        known = self._tickets.setdefault(question.step, {})
        refused = self._refused.setdefault(question.step, set())
        for worker in question.workers:
            text = tickets.get(worker)
            if text is None:
                refused.add(worker)
            else:
                known[worker] = _Ticket(text, until_s, lives.get(worker, 0))

    def forget(self, job: ids.JobId) -> None:
        """Drops all that is known of an ended job's steps."""
        for table in (self._tickets, self._refused, self._wanted):
            for step in [step for step in table if step.job == job]:
                del table[step]
