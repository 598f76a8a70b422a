Feature: fleet under failure

  Each scenario runs the daemon's own parts over a fake clock. During each
  the steps check that no rack is served by two instances, no worker is over
  a limit and no job runs in two places.

  Background:
    Given a fleet of 3 instances

  Scenario: a killed owner's running job is adopted, not started again
    When fleet job "j" of 14 s is submitted
    And the fleet runs for 2 s
    And the fleet instance that runs job "j" is killed
    And the fleet runs for 20 s
    Then fleet job "j" is "completed" after 1 runs
    And each fleet rack is served

  Scenario: with owner and worker dead a job resumes from its checkpoint
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

  Scenario: a paused owner admits nothing when it wakes
    When the fleet owner of "rack-0" is paused
    And the fleet runs for 15 s
    Then fleet rack "rack-0" is served by another instance
    When the paused fleet instances resume
    And the fleet runs for 0.1 s
    Then fleet rack "rack-0" is served by another instance
    When the fleet runs for 20 s
    Then each fleet rack is served

  Scenario: an owner cut from all peers keeps its racks or gives them up
    When the fleet owner of "rack-0" is cut from all others
    And the fleet runs for 30 s
    Then each fleet rack is served

  Scenario: requests and running jobs go on while the log is down
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

  Scenario: a rack whose owner dies while the log is down is served after it
    When the fleet log is down
    And the fleet runs for 10 s
    And the fleet owner of "rack-0" is killed
    And the fleet runs for 60 s
    Then fleet rack "rack-0" is not served
    And fleet call "q" through each instance is answered
    When the fleet log answers again
    And the fleet runs for 20 s
    Then each fleet rack is served

  Scenario: a majority dies at once and the rest takes over
    When all fleet instances but one are killed
    And the fleet runs for 60 s
    Then each fleet rack is served

  Scenario: an instance that is replaced before it was ever listed
    When fleet instance "late" starts
    And the fleet runs for 1 s
    And fleet instance "late" is killed
    And all fleet instances but one are killed
    And the fleet runs for 90 s
    Then each fleet rack is served

  Scenario: lost replies of the log double nothing
    When the fleet log loses 20 replies
    And fleet job "j" of 1 s is submitted
    And the fleet runs for 30 s
    Then fleet job "j" is "completed" after 1 runs

  Scenario: a journal that failed last is used again once the log answers
    When the fleet log loses 2 replies
    And fleet job "j" of 1 s is submitted
    And the fleet log is down
    And the fleet runs for 5 s
    And the fleet log answers again
    And the fleet runs for 5 s
    And fleet job "k" of 1 s is submitted
    And the fleet runs for 10 s
    Then fleet job "k" is "completed" after 1 runs

  Scenario: a non-idempotent call sent again elsewhere runs once
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

  Scenario: a silent worker's jobs resume elsewhere, once
    When fleet job "j" of 14 s is submitted
    And the fleet runs for 8 s
    And the fleet worker that runs job "j" freezes
    And the fleet runs for 8 s
    And the fleet workers return
    And the fleet runs for 40 s
    Then fleet job "j" is "completed" after 2 runs

  Scenario: a worker that falls silent right after a start keeps its lease
    When the fleet runs for 10 s
    And fleet job "j" of 14 s is submitted
    And the fleet runs for 0.2 s
    And the fleet worker that runs job "j" freezes
    And the fleet runs for 30 s
    Then fleet job "j" is "completed" after 2 runs

  Scenario: a leaving worker gets no new work and is emptied
    When fleet job "j" of 30 s is submitted
    And the fleet runs for 2 s
    And the fleet worker that runs job "j" is leaving
    And the fleet runs for 3 s
    Then fleet calls of 5 s run on other workers
    When the fleet runs for 40 s
    Then fleet job "j" is "completed" after 2 runs
    And the last fleet run of job "j" resumed from a checkpoint

  Scenario: a drain under load refuses nothing falsely and hands over
    When fleet job "j" of 20 s is submitted
    And the fleet runs for 2 s
    And the fleet instance that owns job "j" drains under calls
    Then each fleet call was answered or truly not run
    When the fleet runs for 25 s
    Then fleet job "j" is "completed" after 1 runs
    And each fleet rack is served

  Scenario: a booking takes effect on time while the log is down
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

  Scenario: an instance that starts while the log is down asks a peer
    When the fleet log is down
    And fleet instance "late" starts with peer "i1"
    And the fleet runs for 10 s
    Then fleet instance "late" is ready for calls
    And fleet call "q" through each instance is answered
    When the fleet log answers again
    And the fleet runs for 5 s
    Then fleet instance "late" is ready

  Scenario: news of a leaving worker that reach its owner late
    When the list that the fleet owner of "worker-0-0" sees stands still
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

  Scenario: a higher limit in the policy leaves slowed workers alone
    When the fleet policy allows a slowdown of 9 times
    And the fleet answers calls for 10 s
    And batch tasks slow the fleet's calls 3 times
    And fleet jobs of 60 s run on each worker
    And the fleet answers calls for 30 s
    Then the fleet has not throttled or moved batch tasks

  Scenario: a burst of changes beside task records stays in the log's rate
    When 100 fleet changes arrive in 5 s beside 100 jobs
    Then every fleet change was in force everywhere within 9 s
    And the fleet log took at most 300 appends a second

  Scenario: a policy that leaves no room for a slowdown is refused
    Then a fleet policy with a slowdown limit of 1 is refused

  Scenario: a cancelled job is stopped
    When fleet job "j" of 60 s is submitted
    And the fleet runs for 2 s
    And fleet job "j" is cancelled
    And the fleet runs for 5 s
    Then fleet job "j" is "cancelled" after 1 runs

  Scenario Outline: random failures with seed <seed>
    Then a fleet with random failures of seed <seed> keeps its promises

    Examples:
      | seed |
      | 10   |
      | 23   |
      | 35   |
      | 106  |
