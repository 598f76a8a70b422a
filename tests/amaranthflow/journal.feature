Feature: Records written to the log take effect once and verdicts are correct

  Scenario: A record whose reply was lost takes effect once
    Given a journal over a log
    And the journal's log loses the next 2 replies
    When the journal writes record "a" and 10 s pass
    Then the journal's record "a" is accepted
    And the journal's log state holds "a" once

  Scenario: A confirmed append is not sent again while the reader lags
    Given a journal over a log
    And the journal's reader is stopped
    When the journal writes record "a" and 9 s pass
    Then the journal's log keeps 1 append

  Scenario: A record that times out before it was sent does not take effect
    Given a journal over a log
    And the journal's log is down
    When the journal writes record "a" and 10 s pass
    And the journal's log is up again for 10 s
    Then the journal's record "a" has the verdict "not run"
    And the journal's log state holds no "a"

  Scenario Outline: A record that times out between two tries does not take effect
    Given a journal over a log
    And the journal's log is down
    When the journal writes "a" for <timeout> s and "b" for 60 s
    And the journal's log is up again as soon as "a" has ended
    Then the journal's record "a" has the verdict "not run"
    And the journal's log state holds no "a"
    And the journal's record "b" is accepted

    Examples:
      | timeout |
      | 0.06    |
      | 0.1     |
      | 0.13    |
      | 0.2     |
      | 0.3     |
      | 0.5     |
      | 0.9     |

  Scenario: A record that may be in the log is not reported as not run
    Given a journal over a log
    And the journal's log loses the next 1000 replies
    And the journal's reader is stopped
    When the journal writes record "a" and 10 s pass
    Then the journal's record "a" has the verdict "may have run"

  Scenario: A writer that a newer incarnation has replaced is refused
    Given a journal over a log
    And a newer incarnation of the journal's member has written
    When the journal writes record "a" and 10 s pass
    Then the journal's record "a" has the verdict "not run"
    And the journal's log state holds no "a"
    And the journal's reader has not failed

  Scenario: A snapshot that includes the batch leaves its result unknown
    Given a journal over a log
    And the journal's reader is stopped
    When the journal writes record "a" with a timeout of 60 s
    And the journal's reader adopts a peer's state
    Then the journal's record "a" has the verdict "may have run"
    And the journal's log state holds "a" once

  Scenario: After an outage the backlog is written within the rate limit
    Given a journal over a log
    And the journal's log is down
    When the journal writes 3000 records and 3600 s pass
    And the journal's log is up again for 10 s
    Then the journal's records are all accepted
    And the journal's log keeps at most 12 appends
    And the journal appended at most 10 times a second

  Scenario: Random lost replies neither duplicate nor lose a record
    Then a journal under random faults agrees with the log in 25 runs
