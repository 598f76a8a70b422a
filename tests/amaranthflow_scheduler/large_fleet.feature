Feature: One leader serves several thousand workers

  # A call takes processor time of the leader, also one that times out. A
  # connection that takes longer than 0.5 s fails.

  # Before, all connections were opened at once, and none within its timeout.
  Scenario: A new leader hears from 3,000 workers
    Given a large fleet of 3000 workers with calls of 0.2 ms and first calls of 1 ms
    When the large fleet is led for 5 s
    Then the large fleet's leader has heard from 3000 workers
    And at most 3100 first calls were made in the large fleet
    And the large fleet has had 1 term

  Scenario: After the loss of all instances one silent worker of 3,000 delays restored jobs
    Given a large fleet of 3000 workers with calls of 0.2 ms and first calls of 1 ms
    When the large fleet is led for 4 s
    And a job with 20 tasks of 8 s that is due in 1 s is stored in the large fleet
    And 1 worker of the large fleet does not respond from now on
    And all instances of the large fleet are lost for 0.5 s
    Then the job of the large fleet starts within 6.8 s after that

  Scenario: Workers that do not respond hardly delay the others
    Given a large fleet of 1000 workers with calls of 0.1 ms and first calls of 0.5 ms
    And 350 workers of the large fleet do not respond
    When the large fleet is led for 1.5 s
    Then the large fleet's leader has heard from 650 workers

  Scenario: Reports of idle workers leave most of a slow processor free
    Given a large fleet of 3000 workers with calls of 0.2 ms and first calls of 1 ms
    When the large fleet is led for 5 s
    And the large fleet is led for 4 s more
    Then the large fleet has used at most 0.55 of its leader's processor
    And the large fleet's leader may use 3000 workers

  Scenario: Idle workers of a smaller fleet report as often as busy ones
    Given a large fleet of 450 workers with calls of 0.1 ms and first calls of 0.5 ms
    When the large fleet is led for 3 s
    And the large fleet is led for 4 s more
    Then workers of the large fleet have reported each 0.5 s

  Scenario: A worker with a run reports each half second
    Given a large fleet of 3000 workers with calls of 0.02 ms and first calls of 0.1 ms
    When the large fleet is led for 3 s
    And a job with 20 tasks of 8 s runs in the large fleet
    And the large fleet is led for 2 s more
    And the large fleet is led for 4 s more
    Then the workers of the large fleet with runs have reported each 0.5 s

  # Before, most starts of one plan took longer than their timeout.
  Scenario: Many runs that have waited start without a repetition
    Given a large fleet of 600 workers with calls of 0.1 ms and first calls of 1.5 ms
    When the large fleet is led for 2 s
    And a job with 500 tasks of 8 s runs in the large fleet
    And the large fleet is led for 2 s more
    Then 500 runs of the large fleet have started, each with one answered call

  Scenario: Few looks tell an unconfirmed leader whether all workers report
    Given a large fleet of 2000 workers of which all have just reported
    When it is asked 1000 times within 0.1 s whether all workers report
    Then it was true 1000 times with at most 8 looks at all workers
    When one of the large fleet's workers is silent
    And it is asked 1000 times within 0.1 s whether all workers report
    Then it was true 0 times with at most 1 looks at all workers

  # Before, each step looked at all workers, and 300 steps after a takeover
  # blocked the leader for seconds.
  Scenario Outline: A plan looks at some workers for each step
    Given a large pool of 3000 workers
    And <steps> <kind> steps of 6 tasks wait in the large pool
    When the large pool is planned
    Then <runs> runs are planned with at most <looks> looks at a worker

    Examples:
      | steps | kind          | runs | looks |
      | 50    | batch         | 300  | 11000 |
      | 50    | service       | 300  | 11000 |
      | 50    | opportunistic | 300  | 11000 |
      | 10    | gang          | 60   | 13000 |

  Scenario: A plan looks at all workers of a smaller pool
    Given a large pool of 450 workers
    And 10 batch steps of 6 tasks wait in the large pool
    When the large pool is planned
    Then 60 runs are planned with at least 4500 looks at a worker

  Scenario: A step finds the workers with its label in a large pool
    Given a large pool of 3000 workers
    And only 3 workers of the large pool have the label "fast"
    And 2 labelled steps of 6 tasks wait in the large pool
    When the large pool is planned
    Then 12 runs are planned with at most 1000 looks at a worker

  Scenario: A step finds the worker with its memory in a large pool
    Given a large pool of 3000 workers
    And only 1 worker of the large pool has memory left
    And 1 service steps of 2 tasks wait in the large pool
    When the large pool is planned
    Then 2 runs are planned with at most 3500 looks at a worker

  Scenario: A gang starts on few racks of a large pool
    Given a large pool of 3000 workers
    And 5 gang steps of 12 tasks wait in the large pool
    When the large pool is planned
    Then each step of the large pool runs on 1 rack

  # Before, all workers were looked at for each one that was lost.
  Scenario: One look at each worker tells that a zone is lost
    Given a large pool of 3000 workers
    And 492 workers of the large pool run a young task each, in a zone of their own
    When these workers have been silent until their leases expire
    Then 492 runs of the large pool have ended, none of which is a suspect
    And workers were looked at 3000 times for losses

  Scenario Outline: Losses are told as by a look at all workers for each
    Given 40 random fleets of <count> workers in <zones> zones of <racks> racks
    Then each worker there is lost together with others exactly if a direct count says so

    Examples:
      | count | zones | racks |
      | 3     | 1     | 1     |
      | 12    | 2     | 2     |
      | 60    | 3     | 4     |
