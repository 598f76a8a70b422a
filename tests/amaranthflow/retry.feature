Feature: retry

  Scenario Outline: only requests that did not run or are idempotent are retried
    Given a retry policy of 3 attempts
    When attempt <attempt> of a retry request that is <kind> ends "<verdict>"
    Then the retry decision is <reason>

    Examples:
      | kind           | attempt | verdict      | reason       |
      | idempotent     | 1       | NOT_RUN      | RETRY        |
      | non-idempotent | 1       | NOT_RUN      | RETRY        |
      | idempotent     | 2       | MAY_HAVE_RUN | RETRY        |
      | non-idempotent | 1       | MAY_HAVE_RUN | MAY_HAVE_RUN |
      | idempotent     | 1       | COMPLETED    | COMPLETED    |
      | idempotent     | 3       | NOT_RUN      | ATTEMPTS     |

  Scenario: no retry is made after the deadline
    Given a retry policy of 3 attempts
    When an attempt fails with 5 ms of the retry deadline left
    Then the retry decision is DEADLINE
    And the retry budget still has its token

  Scenario: a retry waits as long as the refusing side asked for
    Given a retry policy of 3 attempts
    When an attempt is refused with a request to retry after 700 ms
    Then the retry decision is RETRY
    And the retry is made after 700 ms

  Scenario: retries in an outage stay a tenth of the first attempts
    Given a retry policy of 3 attempts
    When 1000 first attempts and all their retries fail at one moment
    Then at most 101 retries were allowed

  Scenario: a tenant with few requests may still retry
    Given a retry policy of 3 attempts
    When a retry is refused for the budget
    And 5 s of retry time pass
    Then one more retry is allowed

  Scenario: one tenant's retries do not spend another's budget
    Given retry budgets of tenants "a" and "b"
    When the retry budget of "a" is spent
    Then "b" may retry and "a" may not

  Scenario: the number of retry budgets is bounded
    Given retry budgets of tenants "a" and "b"
    When 3000 unknown tenants ask for a retry budget
    Then at most 1025 retry budgets exist

  Scenario: delays grow with each attempt and differ
    Given a backoff from 20 ms to 2000 ms
    Then the backoff delays of each attempt lie in the upper half of its range
    And the backoff delays of two seeds differ
