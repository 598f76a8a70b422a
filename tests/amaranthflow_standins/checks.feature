Feature: checks

  Scenario: a run that violates no invariant passes
    Given a checked request "q1" that is not idempotent
    And a checked try of "q1" at 1 to 2 that ended "NOT_RUN"
    And a checked try of "q1" at 3 to 4 that ended "COMPLETED"
    And a checked request run of "q1" from 3.1 to 3.2
    And a checked job "j1" that is not idempotent and ended "completed"
    And a checked run of "j1" attempt 1 from 1 to 2 that ended "stopped"
    And a checked run of "j1" attempt 2 from 2 to 3 resumed from "j1@500"
    And a checked instance that exited with 0
    Then the checks find nothing

  Scenario Outline: an accepted job that does not finish is lost
    Given a checked job "j1" that is <idempotent> and ended "<phase>"
    Then the checks find "<found>"

    Examples:
      | idempotent     | phase     | found |
      | idempotent     | running   | lost  |
      | idempotent     | set-aside | lost  |
      | not idempotent | unknown   | lost  |
      | not idempotent | cancelled | lost  |
      | not idempotent | set-aside |       |

  Scenario: a non-idempotent request that runs on two workers is doubled
    Given a checked request "q1" that is not idempotent
    And a checked try of "q1" at 1 to 4 that ended "MAY_HAVE_RUN"
    And a checked request run of "q1" from 1.1 to 1.2
    And a checked request run of "q1" from 2.1 to 2.2 on another worker
    Then the checks find "doubled"

  Scenario: an idempotent request may run twice
    Given a checked request "q1" that is idempotent
    And a checked try of "q1" at 1 to 4 that ended "COMPLETED"
    And a checked request run of "q1" from 1.1 to 1.2
    And a checked request run of "q1" from 2.1 to 2.2 on another worker
    Then the checks find nothing

  Scenario: two tenants may use one request id
    Given a checked request "q1" that is not idempotent
    And a checked try of "q1" at 1 to 4 that ended "COMPLETED"
    And a checked request run of "q1" from 1.1 to 1.2
    And a checked request run of "q1" from 2.1 to 2.2 of another tenant
    Then the checks find nothing

  Scenario: runs of a job that overlap are doubled
    Given a checked job "j1" that is idempotent and ended "completed"
    And a checked run of "j1" attempt 1 from 1 to 3 that ended "stopped"
    And a checked run of "j1" attempt 2 from 2.9 to 4 resumed from "j1@500"
    Then the checks find "doubled"

  Scenario: one attempt that runs twice is doubled
    Given a checked job "j1" that is idempotent and ended "completed"
    And a checked run of "j1" attempt 1 from 1 to 2 that ended "lease lapsed"
    And a checked run of "j1" attempt 1 from 3 to 4 resumed from "j1@500"
    Then the checks find "doubled"

  Scenario: a job that runs again after it completed is doubled
    Given a checked job "j1" that is idempotent and ended "completed"
    And a checked run of "j1" attempt 1 from 1 to 2 that ended "completed"
    And a checked run of "j1" attempt 2 from 3 to 4 resumed from "j1@500"
    Then the checks find "doubled"

  Scenario: an idempotent job may run again after its worker died
    Given a checked job "j1" that is idempotent and ended "completed"
    And a checked run of "j1" attempt 1 from 1 to 2 that ended "completed"
    And a checked death of the worker at 2.5
    And a checked run of "j1" attempt 2 from 3 to 4 resumed from "j1@500"
    Then the checks find nothing

  Scenario: a non-idempotent job that runs again without a checkpoint is doubled
    Given a checked job "j1" that is not idempotent and ended "completed"
    And a checked run of "j1" attempt 1 from 1 to 2 that ended "lease lapsed"
    And a checked run of "j1" attempt 2 from 3 to 4 resumed from ""
    Then the checks find "doubled"

  Scenario: an answer that is not the request's own is wrong
    Given a checked request "q1" that is idempotent
    And a checked try of "q1" at 1 to 4 that ended "COMPLETED"
    And a checked answer to "q1" that is wrong
    Then the checks find "wrong_answers"

  Scenario: a result that is not the job's own is wrong
    Given a checked job "j1" that is idempotent and ended "completed"
    And a checked result of "j1" that is wrong
    Then the checks find "wrong_answers"

  Scenario: a request that ran after a refusal is found
    Given a checked request "q1" that is not idempotent
    And a checked try of "q1" at 1 to 2 that ended "NOT_RUN"
    And a checked try of "q1" at 3 to 4 that ended "MAY_HAVE_RUN"
    And a checked request run of "q1" from 2.5 to 2.6
    Then the checks find "false_not_run"

  Scenario: a job that ran although each submission was refused
    Given a checked job "j1" that is idempotent and was refused
    And a checked run of "j1" attempt 1 from 1 to 2 that ended "completed"
    Then the checks find "false_not_run"

  Scenario: a worker over its limits is found
    Given a checked worker that had 9 of 8 slots in use
    Then the checks find "over_capacity"

  Scenario Outline: work on a leaving worker is found after a few seconds
    Given a checked worker that is leaving since 10
    And a checked request run of "q1" from <start> to 20
    Then the checks find "<found>"

    Examples:
      | start | found           |
      | 14.9  |                 |
      | 15.1  | work_on_leaving |

  Scenario: a drained instance that fails is found
    Given a checked instance that exited with 1
    Then the checks find "ungraceful_stop"

  Scenario: a job shown to another tenant is found
    Given a checked read of "j1" by another tenant
    Then the checks find "foreign_reads"

  Scenario: a broken machine rule is found
    Given a checked instance that holds an io_uring ring
    Then the checks find "machine_rules"

  Scenario: a lease that lapses in an outage of the log is found
    Given a checked outage of the log from 10 to 20
    And a checked job "j1" that is idempotent and ended "completed"
    And a checked run of "j1" attempt 1 from 9 to 15 that ended "lease lapsed"
    Then the checks find "outage"

  Scenario: a request without an answer in an outage of the log is found
    Given a checked outage of the log from 10 to 20
    And a checked request "q1" that is idempotent
    And a checked try of "q1" at 11 to 12 that ended "NOT_RUN"
    Then the checks find "outage"

  Scenario: a job accepted in an outage of the log is found
    Given a checked outage of the log from 0.5 to 20
    And a checked job "j1" that is idempotent and ended "completed"
    Then the checks find "outage"

  Scenario: percentiles use the nearest rank
    Then the report's percentile 50 of 1 to 100 is 50
    And the report's percentile 99 of 1 to 100 is 99
    And the report's percentile 100 of 1 to 3 is 3

  Scenario: the added latency excludes the backend server's time
    Given a checked request "q1" that is idempotent
    And a checked try of "q1" at 1 to 2 that ended "COMPLETED"
    And a checked answer to "q1" that is right
    And a checked request run of "q1" from 1.25 to 1.75
    Then the checks measure an added latency of 0.5 s

  Scenario: a request cut off by an instance that drains is found
    Given a checked instance that drains since 1.5
    And a checked request "q1" that is idempotent
    And a checked try of "q1" at 1 to 2 that ended "MAY_HAVE_RUN"
    Then the checks find "ungraceful_stop"

  Scenario: a lease that lapses after a drain is found
    Given a checked instance that drains since 1.5
    And a checked job "j1" that is idempotent and ended "completed"
    And a checked run of "j1" attempt 1 from 1 to 2 that ended "lease lapsed"
    Then the checks find "ungraceful_stop"
    And the checks count 0 evictions

  Scenario: a lease granted by an instance that was killed may lapse
    Given a checked instance that drains since 1.5
    And a checked instance that was killed at 1
    And a checked job "j1" that is idempotent and ended "completed"
    And a checked run of "j1" attempt 1 from 1 to 2 that ended "lease lapsed"
    Then the checks find nothing

  Scenario: only tasks of jobs that were not cancelled count as evicted
    Given a checked job "j1" that is idempotent and ended "completed"
    And a checked run of "j1" attempt 1 from 1 to 2 that ended "stopped"
    And a checked job "j2" that is idempotent and ended "cancelled"
    And a checked cancellation of "j2"
    And a checked run of "j2" attempt 1 from 1 to 2 that ended "stopped"
    Then the checks count 1 evictions
