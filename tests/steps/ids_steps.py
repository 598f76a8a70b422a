"""Steps for ids.feature."""

import behave

from amaranthflow import ids


@behave.given('the batch task id of job "{job}" and attempt {attempt:d}')
def step_batch_id(context, job, attempt):
    context.task_id = ids.batch_task_id(job, attempt)


@behave.given('the task id of request "{request}" and attempt {attempt:d}')
def step_request_id(context, request, attempt):
    context.task_id = ids.request_task_id(request, attempt)


@behave.given('the task id "{text}"')
def step_text_id(context, text):
    context.task_id = text


@behave.then('splitting the id gives job "{job}" and attempt {attempt:d}')
def step_split(context, job, attempt):
    assert ids.split_batch_task_id(context.task_id) == (job, attempt)


@behave.then('splitting the id gives no job')
def step_no_split(context):
    assert ids.split_batch_task_id(context.task_id) is None
