Feature: Calls that reach a later incarnation of a worker

  Scenario Outline: No task runs twice after a lease deadline for a worker's former clock
    Given a task fleet of 3 instances and 6 workers with seed <seed>
    And calls that come while a task worker is down are executed after its restart
    And task jobs of short and long tasks arrive
    And 4 s pass in the task fleet
    When task workers "w1 w2 w3" restart after <down> s and are cut off <later> s later for 9 s, 4 times
    And no more task jobs arrive
    And 30 s pass in the task fleet
    Then the task fleet violated no invariant

    Examples:
      | seed | down | later |
      | 1    | 0.3  | 0.2   |
      | 2    | 0.3  | 0.5   |
      | 3    | 0.3  | 0.8   |
      | 1    | 0.6  | 0.2   |
      | 4    | 0.9  | 1.2   |
