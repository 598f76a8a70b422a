"""Whom an instance that cannot read the store asks who leads.

Answers an outage of the store that concerns some instances, among them the
leader: another one is elected, and those without the store have to find it, or
they refuse the jobs that it would store. The former leader is asked first, as
it learns of its successor when it hands over its term. An answer of an
instance that cannot read the store either proves nothing, so that another
instance is asked as well, a different one each time.
"""

import typing as t

import msgspec

from amaranthflow import exceptions
from amaranthflow import ids

from . import elections
from . import model

# While the store is away for all, no answer is certain. More calls would only
# cost the instances processor time.
_MAX_ANSWERS = 2


class Answer(msgspec.Struct):
    """What another instance knows of the leader.

    :ivar token: of the newest term; none if it knows no leader.
    :ivar reads: it reads the store, so that it would know of a newer term.
        Instances of earlier versions do not tell.
    """

    token: t.Annotated[int, msgspec.Meta(ge=1)] | None = None
    instance: str = ''
    address: str = ''
    small: bool = False
    reads: bool = True

    def term(self) -> elections.Term | None:
        """Returns the newest term that the other instance knows."""
        if self.token is None:
            return None
        return elections.Term(
            token=model.Token(self.token),
            instance=ids.InstanceId(self.instance),
            address=self.address,
            small=self.small,
        )

    @classmethod
    def of(cls, term: elections.Term | None, *, reads: bool) -> 'Answer':
        """Returns the answer of an instance that knows a term."""
        if term is None:
            return cls(reads=reads)
        return cls(
            token=term.token,
            instance=term.instance,
            address=term.address,
            small=term.small,
            reads=reads,
        )


def decode(response: dict) -> Answer:
    """Returns the answer in a response. Raises InvalidRecord."""
    try:
        return msgspec.convert(response, Answer)
    except msgspec.ValidationError as exc:
        raise exceptions.InvalidRecord(f'leader: {exc}') from exc


class LeaderSearch:
    """The instances to ask, round by round."""

    def __init__(self):
        self._rounds = 0

    def begin(
        self,
        term: elections.Term | None,
        seeds: t.Sequence[str],
        *,
        own_address: str,
    ) -> list[str]:
        """Returns the addresses to ask in a new round, in their order.

        :param term: the newest known term.
        :param seeds: addresses of other instances.
        """
        known = [term.address] if term is not None else []
        others = [seed for seed in seeds if seed not in (own_address, *known)]
        first = self._rounds % max(1, len(others))
        self._rounds += 1
        order = [*known, *others[first:], *others[:first]]
        return [address for address in order if address != own_address]


def is_enough(answers: t.Sequence[Answer], *, found_newer: bool) -> bool:
    """Returns whether a round can end with these answers.

    :param found_newer: one of them has named a newer term than was known.
    """
    if found_newer or len(answers) >= _MAX_ANSWERS:
        return True
    return any(answer.reads and answer.token for answer in answers)
