Feature: health

  Scenario: a worker that fails what succeeds elsewhere gets no more work
    Given worker health over 10 workers
    When health sees 30 jobs complete on each of "w1,w2,w3"
    And health sees 4 different jobs fail on "w0"
    Then health reports "worker quarantined" about "w0"
    And health keeps batch work off "w0" only
    And health counts no failure of those jobs

  Scenario: a job that fails on three workers is set aside, they are not
    Given worker health over 10 workers
    When health sees 5 jobs complete on each of "w0,w1,w2"
    And health sees job "bad" fail on "w0,w1,w2"
    Then health reports "job set aside" about "bad"
    And health keeps batch work off no worker

  Scenario: a few bad jobs that fail everywhere quarantine no worker
    Given worker health over 6 workers
    When health sees 10 jobs complete on each of "w0,w1,w2,w3,w4,w5"
    And health sees jobs "b1,b2,b3,b4,b5,b6" fail on each of "w0,w1,w2"
    Then health reports "job set aside" about "b6"
    And health keeps batch work off no worker

  Scenario: jobs that fail elsewhere too do not count against a worker
    Given worker health over 6 workers
    When health sees 10 jobs complete on each of "w0"
    And health sees jobs "b1,b2,b3,b4,b5" fail on each of "w0,w1"
    Then health keeps batch work off no worker

  Scenario: two workers that fail everything are both quarantined
    Given worker health over 10 workers
    When health sees 10 jobs complete on each of "w2,w3,w4"
    And health sees 4 different jobs fail on "w0"
    And health sees 4 different jobs fail on "w1"
    Then health reports "worker quarantined" about "w0"
    And health reports "worker quarantined" about "w1"

  Scenario: a common cause affects neither workers nor jobs
    Given worker health over 10 workers
    When everything fails on all workers of health for 10 minutes
    Then health has quarantined no worker
    And health has set no job aside

  Scenario: a job that fails everywhere for half an hour is set aside
    Given worker health over 10 workers
    When everything fails on all workers of health for 10 minutes
    And health sees job "bad" fail on "w7,w8"
    And 31 minutes of health time pass
    And health sees job "bad" fail on "w9"
    Then health reports "job set aside" about "bad"

  Scenario: a quarantined worker is probed one task at a time and restored
    Given worker health over 10 workers
    When health sees 4 different jobs fail on "w0"
    And 1 minutes of health time pass
    Then health lets one probe at a time start on "w0"
    When health sees both probes on "w0" complete
    Then health reports "worker restored" about "w0"
    And health keeps batch work off no worker

  Scenario: a stopped probe does not count and allows the next one
    Given worker health over 10 workers
    When health sees 4 different jobs fail on "w0"
    And 1 minutes of health time pass
    Then health lets one probe at a time start on "w0"
    When health is notified that the probe on "w0" was stopped
    Then health lets one probe at a time start on "w0"

  Scenario: the record of failed jobs is bounded
    Given worker health over 10 workers
    When health sees 9000 different jobs fail on "w0"
    Then health remembers at most 8192 jobs

  Scenario: backend servers of one service that fail are not called
    Given call health over 10 workers
    When calls of service "quote" succeed on all workers but "w0"
    And 8 calls of service "quote" fail on "w0"
    Then call health keeps "quote" off "w0" but not "plan"

  Scenario: a service that fails everywhere quarantines no more than the limit
    Given call health over 10 workers
    When 8 calls of service "quote" fail on each worker in turn
    Then call health keeps "quote" off at most 2 workers

  Scenario: some failures among many successes have no effect
    Given call health over 10 workers
    When every other call of service "quote" fails on "w0"
    Then call health keeps "quote" off at most 0 workers

  Scenario: backend servers are probed by single calls
    Given call health over 10 workers
    When 8 calls of service "quote" fail on "w0"
    And 1 minutes of health time pass
    Then call health lets one call of "quote" at a time through to "w0"
    When two probe calls of "quote" to "w0" succeed
    Then call health keeps "quote" off at most 0 workers
