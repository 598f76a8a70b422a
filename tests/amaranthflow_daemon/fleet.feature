Feature: fleet under failure

  Each scenario runs the daemon's components on a fake clock. Meanwhile the
  steps check that no rack is served by two instances, no worker exceeds a
  limit and no job runs in two places.

  Background:
    Given a fleet of 3 instances

  Scenario: a running job of a killed owner is adopted, not restarted
    When fleet job "j" of 14 s is submitted
    And the fleet runs for 2 s
    And the fleet instance that runs job "j" is killed
    And the fleet runs for 20 s
    Then fleet job "j" is "completed" after 1 runs
    And each fleet rack is served

  Scenario: a job resumes from its checkpoint after its owner and worker die
    When fleet job "j" of 14 s is submitted
    And the fleet runs for 8 s
    And the fleet worker that runs job "j" dies
    And the fleet instance that owns job "j" is killed
    And the fleet runs for 40 s
    Then fleet job "j" is "completed" after 2 runs
    And the last fleet run of job "j" resumed from a checkpoint

  Scenario: a non-idempotent job without checkpoint is not run again
    When non-idempotent fleet job "j" of 14 s is submitted
    And the fleet runs for 2 s
    And the fleet worker that runs job "j" dies
    And the fleet runs for 20 s
    Then fleet job "j" is "set-aside" after 1 runs

  Scenario: the second owner dies during its takeover
    When fleet job "j" of 30 s is submitted
    And the fleet runs for 2 s
    And the fleet instance that owns job "j" is killed
    And the fleet runs for 4 s
    And the fleet instance that owns job "j" is killed
    And the fleet runs for 90 s
    Then fleet job "j" is "completed"
    And each fleet rack is served

  Scenario: a paused owner admits nothing when it resumes
    When the fleet owner of "rack-0" is paused
    And the fleet runs for 15 s
    Then fleet rack "rack-0" is served by another instance
    When the paused fleet instances resume
    And the fleet runs for 0.1 s
    Then fleet rack "rack-0" is served by another instance
    When the fleet runs for 20 s
    Then each fleet rack is served

  Scenario: an owner partitioned from all peers keeps or releases its racks
    When the fleet owner of "rack-0" is partitioned from all others
    And the fleet runs for 30 s
    Then each fleet rack is served

  Scenario: requests and running jobs continue while the log is down
    When fleet job "j" of 20 s is submitted
    And the fleet runs for 2 s
    And the fleet log is down
    And the fleet runs for 120 s
    Then each fleet rack is served
    And fleet call "q" through each instance is answered
    And a fleet job submitted now is refused as not run
    And a non-idempotent fleet call now is refused as not run
    When the fleet log answers again
    And the fleet runs for 10 s
    Then fleet job "j" is "completed" after 1 runs
    When fleet job "k" of 1 s is submitted
    And the fleet runs for 10 s
    Then fleet job "k" is "completed" after 1 runs

  Scenario: a rack whose owner dies while the log is down is served once the log is back
    When the fleet log is down
    And the fleet runs for 10 s
    And the fleet owner of "rack-0" is killed
    And the fleet runs for 60 s
    Then fleet rack "rack-0" is not served
    And fleet call "q" through each instance is answered
    When the fleet log answers again
    And the fleet runs for 20 s
    Then each fleet rack is served

  Scenario: the remaining instance takes over when a majority dies at once
    When all fleet instances but one are killed
    And the fleet runs for 60 s
    Then each fleet rack is served

  Scenario: an instance that ended before it was ever listed does not block takeovers
    When fleet instance "late" starts
    And the fleet runs for 1 s
    And fleet instance "late" is killed
    And all fleet instances but one are killed
    And the fleet runs for 90 s
    Then each fleet rack is served

  Scenario: lost replies of the log cause no duplicate runs
    When the fleet log loses 20 replies
    And fleet job "j" of 1 s is submitted
    And the fleet runs for 30 s
    Then fleet job "j" is "completed" after 1 runs

  Scenario: a journal that failed is used again once the log answers
    When the fleet log loses 2 replies
    And fleet job "j" of 1 s is submitted
    And the fleet log is down
    And the fleet runs for 5 s
    And the fleet log answers again
    And the fleet runs for 5 s
    And fleet job "k" of 1 s is submitted
    And the fleet runs for 10 s
    Then fleet job "k" is "completed" after 1 runs

  Scenario: a non-idempotent call sent to several instances runs once
    When non-idempotent fleet call "q" is sent through each instance
    Then fleet call "q" has 1 runs and was answered once

  Scenario: a refused non-idempotent call may be sent again
    When the fleet workers die
    And the fleet runs for 5 s
    And non-idempotent fleet call "q" is sent through each instance
    Then every answer to the fleet call is "not run"
    When the fleet workers return
    And the fleet runs for 10 s
    And non-idempotent fleet call "q" is sent through each instance
    Then fleet call "q" has 1 runs and was answered once

  Scenario: jobs of an unresponsive worker resume elsewhere, once
    When fleet job "j" of 14 s is submitted
    And the fleet runs for 8 s
    And the fleet worker that runs job "j" freezes
    And the fleet runs for 8 s
    And the fleet workers return
    And the fleet runs for 40 s
    Then fleet job "j" is "completed" after 2 runs

  Scenario: the lease of a start is awaited when its worker stops answering
    When the fleet runs for 10 s
    And fleet job "j" of 14 s is submitted
    And the fleet runs for 0.2 s
    And the fleet worker that runs job "j" freezes
    And the fleet runs for 30 s
    Then fleet job "j" is "completed" after 2 runs

  Scenario: a leaving worker gets no new work and its jobs are moved
    When fleet job "j" of 30 s is submitted
    And the fleet runs for 2 s
    And the fleet worker that runs job "j" is leaving
    And the fleet runs for 3 s
    Then fleet calls of 5 s run on other workers
    When the fleet runs for 40 s
    Then fleet job "j" is "completed" after 2 runs
    And the last fleet run of job "j" resumed from a checkpoint

  Scenario: a drain under load reports correct verdicts and hands over
    When fleet job "j" of 20 s is submitted
    And the fleet runs for 2 s
    And the fleet instance that owns job "j" drains under load
    Then each fleet call was answered or did not run
    When the fleet runs for 25 s
    Then fleet job "j" is "completed" after 1 runs
    And each fleet rack is served

  Scenario: a booked change takes effect on time while the log is down
    When a fleet booking lowers worker "worker-0-0" to 2 slots in 20 s
    And the fleet log is down
    And the fleet runs for 19.9 s
    Then the fleet owner of "rack-0" counts 8 slots on "worker-0-0"
    When the fleet runs for 0.2 s
    Then the fleet owner of "rack-0" counts 2 slots on "worker-0-0"

  Scenario: a worker keeps its tasks when its capacity is changed
    When fleet job "j" of 20 s is submitted
    And the fleet runs for 2 s
    And the fleet worker that runs job "j" is given 7 slots
    Then the fleet ledger of the worker that runs job "j" holds 1 task

  Scenario: an instance that starts while the log is down stays not ready
    When the fleet log is down
    And fleet instance "late" starts
    And the fleet runs for 10 s
    Then fleet instance "late" is not ready
    When the fleet log answers again
    And the fleet runs for 5 s
    Then fleet instance "late" is ready

  Scenario: an instance that starts while the log is down fetches a peer's state
    When the fleet log is down
    And fleet instance "late" starts with peer "i1"
    And the fleet runs for 10 s
    Then fleet instance "late" is ready for calls
    And fleet call "q" through each instance is answered
    When the fleet log answers again
    And the fleet runs for 5 s
    Then fleet instance "late" is ready

  Scenario: a leaving worker gets no new work although its owner sees an outdated list
    When the list that the fleet owner of "worker-0-0" sees is outdated
    And fleet worker "worker-0-0" is leaving
    And the fleet runs for 3 s
    Then fleet calls of 5 s run on other workers

  Scenario: a job that fails everywhere is set aside
    When failing fleet job "j" is submitted
    And the fleet runs for 60 s
    Then fleet job "j" is "set-aside"

  Scenario: batch tasks that slow requests are throttled
    When the fleet answers calls for 10 s
    And batch tasks slow the fleet's calls 3 times
    And fleet jobs of 60 s run on each worker
    And the fleet answers calls for 30 s
    Then the fleet has throttled or moved batch tasks
    And every fleet job of 60 s has run in one place at a time

  Scenario: a higher slowdown limit in the policy prevents throttling
    When the fleet policy allows a slowdown of 9 times
    And the fleet answers calls for 10 s
    And batch tasks slow the fleet's calls 3 times
    And fleet jobs of 60 s run on each worker
    And the fleet answers calls for 30 s
    Then the fleet has not throttled or moved batch tasks

  Scenario: a burst of changes and task records stays within the log's rate
    When 100 fleet changes arrive in 5 s along with 100 jobs
    Then every fleet change was in force everywhere within 9 s
    And the fleet log accepted at most 300 appends a second

  Scenario: a policy that allows no slowdown is refused
    Then a fleet policy with a slowdown limit of 1 is refused

  Scenario: a cancelled job is stopped
    When fleet job "j" of 60 s is submitted
    And the fleet runs for 2 s
    And fleet job "j" is cancelled
    And the fleet runs for 5 s
    Then fleet job "j" is "cancelled" after 1 runs

  Scenario Outline: random failures with seed <seed>
    Then a fleet with random failures of seed <seed> has no invariant violations

    Examples:
      | seed |
      | 10   |
      | 23   |
      | 35   |
      | 106  |
