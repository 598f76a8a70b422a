Feature: Jobs of any size are recorded within the limit of the store

  # review/8: the progress of one job of 10,000 tasks was refused for its size,
  # repeated for ever, and everything else waited behind it.
  Scenario Outline: A job of <tasks> tasks keeps no other job from being recorded: records of <bytes> bytes
    Given a task fleet of 2 instances and 4 workers with seed 1
    And the task fleet's store accepts records of up to <bytes> bytes
    When task job "a" with steps "<tasks>x0.2" is accepted
    And <seconds> s pass in the task fleet
    And 5 small task jobs are accepted beside it
    And 4 s pass in the task fleet
    Then the small task jobs are completed
    And task job "a" is completed within 60 s
    And task job "a" can be cancelled within 3 s
    And no record of the task fleet was refused
    And the task fleet violated no invariant

    Examples:
      | tasks | bytes | seconds |
      | 1000  | 8192  | 1       |
      | 1000  | 8192  | 4       |
      | 2000  | 8192  | 6       |
      | 300   | 4096  | 1       |

  Scenario Outline: The next leader goes on with a job in parts: <tasks> tasks of <each> s
    Given a task fleet of 2 instances and 4 workers with seed 1
    And the task fleet's store accepts records of up to 4096 bytes
    When task job "a" with steps "<tasks>x<each>" is accepted
    And <seconds> s pass in the task fleet
    And the task fleet's leader is killed
    Then task job "a" is completed within 60 s
    And no task of the task fleet has run again after it was done
    And no part of a job is left in the task fleet's store
    And no record of the task fleet was refused

    Examples:
      | tasks | each | seconds |
      | 600   | 0.3  | 1.5     |
      | 600   | 0.3  | 3       |
      | 200   | 4    | 2       |

  Scenario: The records of any job, however far it is, fit and restore it
    Then the records of any valid job have up to 3000 bytes and restore it at each point

  Scenario: A job of which the store refuses a record keeps no other one waiting
    Given a progress writer whose store refuses each record of job "j1"
    When jobs "j1" and "j2" change
    Then the change of job "j2" is stored, and those who wait are told
    And the refusal of job "j1" is counted and tried again after 5 s

  Scenario: An outage of the store is no refusal
    Given a progress writer whose store is busy for 1 s
    When jobs "j1" and "j2" change
    Then the changes of both jobs are stored

  Scenario: A job whose record would be too large is refused with the figures
    Given a task fleet of 1 instances and 2 workers with seed 1
    When a job with a payload of 300000 bytes is submitted there
    Then the job is refused as "bytes; the maximum is 262144"
