Feature: replay

  Scenario: a trace is read as it was written
    Then each generated trace reads back line by line

  Scenario: traces are equal for equal seeds only
    Then generated traces are equal for equal seeds and differ otherwise

  Scenario: traces have the sizes of the deployments
    Then the trace of "consortium" has 35 workers of 32 cores and 125000 MB, 8 to a rack
    And the trace of "kerbrat" has 25 workers of 64 cores and 250000 MB, 6 to a rack

  Scenario: the neighbours of a task determine its run time in a replay
    Then a replay machine completes a task when a small-step simulation does

  Scenario: a replay gives the same outcome each time
    Given the replay trace "noisy-waves"
    Then replaying it twice under the full policy gives the same outcome

  Scenario Outline: a replay under the full policy loses no job
    Given the replay trace "<trace>"
    When the trace is replayed under the full policy
    Then the replay accounts for each job and each request

    Examples:
      | trace             |
      | wrong-sizes       |
      | cancellation-wave |
      | failing-workers   |
      | rack-loss         |
      | booked-move       |

  Scenario: the full policy answers sooner than the naive one under replay
    Given the replay trace "noisy-waves"
    Then the replay p99 of each service is lower under the full policy
