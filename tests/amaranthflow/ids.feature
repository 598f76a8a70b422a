Feature: ids

  Scenario: the id of a batch task names its job and attempt
    Given the batch task id of job "a:b" and attempt 3
    Then splitting the id gives job "a:b" and attempt 3

  Scenario: the id of a request is not parsed as a batch task id
    Given the task id of request "job:1" and attempt 1
    Then splitting the id gives no job

  Scenario Outline: an id with an invalid attempt is not a batch task id
    Given the task id "<text>"
    Then splitting the id gives no job

    Examples:
      | text               |
      | job:a/b:²          |
      | job:a/b:٣          |
      | job:a/b:99999999999 |
      | job:a/b:           |
      | job::1             |
