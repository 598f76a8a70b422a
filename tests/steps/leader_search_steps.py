"""Steps for leader_search.feature."""

import json

import behave

from amaranthflow import exceptions
from amaranthflow import ids
from amaranthflow_scheduler import elections
from amaranthflow_scheduler import leader_search
from amaranthflow_scheduler import model


def _term(token, name):
    return elections.Term(
        token=model.Token(token), instance=ids.InstanceId(name), address=name
    )


@behave.given('a search for the leader by "{own}" with the seeds "{seeds}"')
def step_search(context, own, seeds):
    context.own, context.seeds, context.term = own, seeds.split(), None
    context.search = leader_search.LeaderSearch()


@behave.when('the search knows the leader "{name}"')
def step_leader(context, name):
    context.search = leader_search.LeaderSearch()
    context.term = _term(3, name)


@behave.then('its rounds ask {rounds}')
def step_rounds(context, rounds):
    for expected in rounds.split(', '):
        found = context.search.begin(
            context.term, context.seeds, own_address=context.own
        )
        assert found == expected.strip('"').split(), found


@behave.given(
    'an instance that knows the leader of token {token:d} asks others'
)
def step_known(context, token):
    context.observer = elections.Observer(instance=ids.InstanceId('n9'))
    context.observer.learn(_term(token, 'n1'), 0.0)


@behave.when('the leader search gets the answers "{answers}"')
def step_answers(context, answers):
    context.found_newer = False
    context.answers = []
    for text in answers.split(', '):
        token, how = text.split()
        term = None if token == 'none' else _term(int(token), f'n{token}')
        answer = leader_search.Answer.of(term, reads=how == 'reads')
        context.answers.append(answer)
        if term is not None:
            context.found_newer = context.observer.learn(answer.term(), 5.0)


@behave.then('the round of the leader search {goes}')
def step_goes(context, goes):
    enough = leader_search.is_enough(
        context.answers, found_newer=context.found_newer
    )
    assert enough == (goes == 'ends'), context.answers


@behave.then(
    'the leader of token {token:d} is followed, {age:d} s after it was learned'
)
def step_followed(context, token, age):
    assert context.observer.term.token == token, context.observer.term
    assert context.observer.term_age_s(5.0) == age


@behave.when('the answer {answer} to a search for the leader is decoded')
def step_decode(context, answer):
    try:
        context.answer = leader_search.decode(json.loads(answer))
    except exceptions.InvalidRecord:
        context.answer = None


@behave.then('the answer to the search for the leader is refused')
def step_refused(context):
    assert context.answer is None, context.answer


@behave.then(
    'the answer to the search for the leader counts as read from the store'
)
def step_reads(context):
    assert context.answer.reads
