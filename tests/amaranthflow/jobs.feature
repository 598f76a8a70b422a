Feature: Jobs run, resume and end once

  Background:
    Given a job table whose member owns rack r1

  Scenario: The same job submitted again has no effect
    When the job table gets the idempotent job a submitted
    And the job table gets the idempotent job a submitted
    Then the job table accepts that
    And the job table holds 1 job

  Scenario: Another job under the same id is refused
    When the job table gets the idempotent job a submitted
    And the job table gets the non-idempotent job a submitted
    Then the job table refuses that with "another job has this id"

  Scenario: An attempt starts once
    When the job table gets the idempotent job a submitted
    And the job table gets attempt 1 of a started
    And the job table gets attempt 1 of a started
    Then the job table refuses that with "does not wait"

  Scenario: Only the next attempt starts
    When the job table gets the idempotent job a submitted
    And the job table gets attempt 2 of a started
    Then the job table refuses that with "attempt 1 is next"

  Scenario: An attempt is not started under an old epoch
    When the job table gets the idempotent job a submitted
    And the job table gets rack r1 claimed by i2
    And the job table gets attempt 1 of a started
    Then the job table refuses that with "does not own"

  Scenario: The next owner ends an attempt of the previous one once
    When the job table gets the idempotent job a submitted
    And the job table gets attempt 1 of a started
    And the job table gets rack r1 claimed by i2
    And the job table gets attempt 1 of a ended by i2 as lost
    Then the job table has a as waiting after attempt 1
    When the job table gets attempt 1 of a ended by i1 as completed
    Then the job table refuses that with "does not own"

  Scenario Outline: What follows an attempt
    When the job table gets the <kind> job a submitted
    And the job table gets attempt 1 of a started
    And the job table gets checkpoint "<earlier>" of attempt 1 of a
    And the job table gets attempt 1 of a ended as <outcome> with "<last>"
    Then the job table has a as <phase> after attempt 1
    And the job table resumes a from "<resume>"

    Examples:
      | kind           | earlier | outcome   | last | phase     | resume |
      | idempotent     |         | completed |      | completed |        |
      | idempotent     |         | not run   |      | waiting   |        |
      | idempotent     |         | evicted   | c2   | waiting   | c2     |
      | idempotent     | c1      | evicted   |      | waiting   | c1     |
      | idempotent     | c1      | evicted   | c2   | waiting   | c2     |
      | idempotent     | c1      | lost      |      | waiting   | c1     |
      | idempotent     |         | failed    |      | waiting   |        |
      | non-idempotent |         | not run   |      | waiting   |        |
      | non-idempotent |         | evicted   | c2   | waiting   | c2     |
      | non-idempotent |         | evicted   |      | set-aside |        |
      | non-idempotent | c1      | evicted   |      | set-aside | c1     |
      | non-idempotent | c1      | lost      |      | set-aside | c1     |
      | non-idempotent |         | failed    |      | set-aside |        |

  Scenario: A job that fails repeatedly is set aside
    When the job table gets the idempotent job a submitted
    And the job table gets 5 attempts of a started and failed
    Then the job table has a as set-aside after attempt 5

  Scenario: The policy limits the attempts from its time on
    When the job table gets a policy of 2 attempts, booked in 1 h
    And the job table gets the idempotent job a submitted
    And the job table gets the idempotent job b submitted
    And the job table gets 2 attempts of a started and failed
    Then the job table has a as waiting after attempt 2
    When 1.1 h pass in the job table
    And the job table gets 2 attempts of b started and failed
    Then the job table has b as set-aside after attempt 2

  Scenario: A running job that is cancelled does not start again
    When the job table gets the idempotent job a submitted
    And the job table gets attempt 1 of a started
    And the job table gets job a cancelled
    And the job table gets attempt 1 of a ended as evicted with "c1"
    Then the job table has a as cancelled after attempt 1

  Scenario: Finished jobs are dropped, waiting ones kept
    When the job table gets the idempotent job a submitted
    And the job table gets the idempotent job b submitted
    And the job table gets job a cancelled
    And 6.1 h pass in the job table
    And the job table gets the idempotent job c submitted
    Then the job table holds 2 jobs

  Scenario: A request is claimed only once by any instance
    When the job table gets request q claimed by i1
    Then the job table accepts that
    When the job table gets request q claimed by i2
    Then the job table refuses that with "sent before"
    When the job table gets request q claimed by i1
    Then the job table refuses that with "sent before"

  Scenario: Only the claimant releases a claim
    When the job table gets request q claimed by i1
    And the job table gets request q released by i2
    Then the job table refuses that with "does not hold"
    When the job table gets request q released by i1
    And the job table gets request q claimed by i2
    Then the job table accepts that

  Scenario: Claims are dropped after an hour
    When the job table gets request q claimed by i1
    And 1.1 h pass in the job table
    And the job table gets request r claimed by i1
    Then the job table holds 1 claim

  Scenario: Records have the same effect in one batch or several
    Then job tables agree on random records in any batches in 40 runs

  Scenario: No record makes a reader fail
    Then job tables survive 200 records of random bytes
