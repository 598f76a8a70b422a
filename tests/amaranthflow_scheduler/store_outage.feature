Feature: Callers are answered truly and soon while the store is away

  Background:
    Given a task fleet of 4 instances and 4 workers with seed 5

  # Until the first read timed out, each job was appended in vain and its
  # caller told 1.4 s later that the outcome was unknown.
  Scenario Outline: Jobs are refused soon after the store has become silent
    Given the store does not respond to all task instances
    And 0.5 s pass in the task fleet
    When a store outage meets a job at <instance>
    Then the store outage has it refused within <seconds> s
    When a store outage meets a job at <instance>
    Then the store outage has it refused within 0.05 s
    And the task store holds no job

    Examples:
      | instance   | seconds |
      | the leader | 0.4     |
      | a follower | 0.4     |

  Scenario: Few jobs are appended to a store that has become silent
    Given the store does not respond to all task instances
    When a store outage meets 20 jobs at the leader within 0.6 s
    Then the store outage leaves the outcome of at most 5 unknown
    And the store outage has the others refused within 0.5 s

  Scenario: Jobs are refused while the store turns all instances away
    Given the store is busy for all task instances
    And 0.5 s pass in the task fleet
    When a store outage meets a job at a follower
    Then the store outage has it refused within 0.1 s
    And the task store holds no job

  Scenario: An instance that reaches the store takes the jobs of a leader that does not
    When the store does not respond to the task fleet's leader
    And 0.2 s pass in the task fleet
    And a store outage meets a job at a follower
    Then the store outage has it accepted within 0.45 s
    When a store outage meets a job at a follower
    Then the store outage has it accepted within 0.1 s

  # The former leader was asked for as long as the store refused it, and said
  # that the store is away, while the next one stored the jobs of all others.
  Scenario Outline: Jobs are accepted once others than the leader reach the store
    Given the store outage is of the leader and <count> more instances
    And 2 s pass in the task fleet
    When a store outage meets a job at <instance>
    Then the store outage has it accepted within 0.1 s
    And the task fleet has another leader

    Examples: the fourth instance is no seed of any other
      | count | instance          |
      | 1     | a cut off one     |
      | 1     | the former leader |
      | 2     | a cut off one     |
      | 2     | the former leader |

  Scenario: An instance without the store asks further ones who leads
    Given the store outage is of the first and the last follower
    When the task fleet's leader is killed
    And 3 s pass in the task fleet
    And a store outage meets a job at a cut off one
    Then the store outage has it accepted within 0.1 s

  Scenario Outline: Jobs are accepted as soon as the store is back
    Given the store does not respond to all task instances
    And <seconds> s pass in the task fleet
    When the store is back
    And 0.4 s pass in the task fleet
    And a store outage meets a job at <instance>
    Then the store outage has it accepted within 0.1 s

    Examples:
      | instance   | seconds |
      | the leader | 3.9     |
      | the leader | 4.1     |
      | the leader | 4.3     |
      | a follower | 3.9     |
      | a follower | 4.1     |
      | a follower | 4.3     |

  Scenario: A refusal tells callers to return about when the outage is over
    Given the store does not respond to all task instances
    And 0.7 s pass in the task fleet
    When a store outage meets a job at the leader
    Then the store outage has its caller return after 1 s
    Given 6 s pass in the task fleet
    When a store outage meets a job at the leader
    Then the store outage has its caller return after 2 s

  Scenario: A store that turns slow is not taken for one that is away
    Given the store's responses take 0.25 s more
    When a store outage meets 20 jobs at the leader within 2.0 s
    Then the store outage has all of them accepted

  # Renewals and appends of jobs timed out: three terms, and most callers were
  # told that the outcome is unknown.
  Scenario Outline: A store that takes <append> s for an append serves jobs on
    Given the store outage has appends take <append> s and responses <response> s
    When a store outage meets 60 jobs at <instance> within 6.0 s
    Then the store outage leaves the outcome of at most 15 unknown
    And the task fleet has had 1 term

    Examples:
      | append | response | instance   |
      | 0.2    | 0.2      | the leader |
      | 0.2    | 0.2      | a follower |
      | 0.36   | 0.36     | the leader |
      | 0.36   | 0.36     | a follower |

  Scenario: A store that loses responses is not taken for one that is away
    Given the store loses 0.3 of its responses
    When a store outage meets 20 jobs at the leader within 2.0 s
    Then the store outage has none of them refused

  Scenario Outline: The health of the store follows from calls and responses
    Given the store's health has seen the calls "<calls>"
    Then at <seconds> s the store outage health is "<state>"

    # sent-responded, - for no response yet, x for a refusal; :w waits w s
    Examples:
      | calls                   | seconds | state    |
      | 0.0-0.01                | 5.0     | responds |
      | 0.0-0.01 1.0-           | 1.05    | responds |
      | 0.0-0.01 1.0-           | 1.2     | doubtful |
      | 0.0-0.01 1.0-           | 1.4     | away     |
      | 0.0-0.01 1.0- 1.1-1.11  | 1.8     | responds |
      | 0.0-0.01 1.0:0.7-       | 1.65    | responds |
      | 0.0-0.01 1.0:0.7-       | 2.1     | away     |
      | 0.0-0.3 1.0-            | 1.4     | responds |
      | 0.0-0.3 1.0-            | 1.8     | doubtful |
      | 0.0-0.3 1.0-            | 2.0     | away     |
      | 0.0-0.01 1.0-x          | 1.1     | responds |
      | 0.0-0.01 1.0-x 1.1-x    | 1.2     | away     |
      | 0.0-0.01 1.0-x 1.1-1.11 | 1.2     | responds |
