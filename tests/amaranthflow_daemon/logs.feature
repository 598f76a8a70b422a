Feature: Log of the daemon

  Scenario: The lines of a request carry its id on every instance
    Given a logs stream at level "info" for instance "i1"
    When logs write request "r@1" with an event inside attempt 2
    And logs switch to instance "i2" and write job "j1"
    Then logs have 7 lines
    And logs lines 1 to 5 are of task "r%401" on "i1"
    And logs lines 6 to 7 are of task "j1" on "i2"
    And logs nest the lines of attempt 2 under those of the request

  Scenario: A line about a job carries its id outside any action
    Given a logs stream at level "info" for instance "i1"
    When logs write an event about "j@1"
    Then logs have 1 lines
    And logs lines 1 to 1 are of task "j%401" on "i1"

  Scenario: An exception that leaves an action is logged and propagates
    Given a logs stream at level "info" for instance "i1"
    When logs write request "r1" that fails with "no room"
    Then logs line 2 has "reason" as "no room"

  Scenario Outline: Lines below the level are dropped
    Given a logs stream at level "<level>" for instance "i1"
    When logs write one event and one action of each level
    Then logs have <count> lines

    Examples:
      | level   | count |
      | debug   | 12    |
      | info    | 9     |
      | warning | 6     |
      | error   | 3     |

  Scenario: A stalled reader loses lines and does not block the writer
    Given a logs writer for 10 lines whose reader stalls
    When logs queue 25 lines and the reader resumes
    Then logs have the first 10 lines and the count of 15 dropped

  Scenario: A closed reader is not an error
    Given a logs writer whose reader has closed
    When logs queue 25 lines and the reader resumes
    Then logs have 0 lines
    And logs show no failure of the writer
