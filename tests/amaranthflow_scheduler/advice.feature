Feature: Steps that need the permission of an adviser

  # review/10: calls were given up after 3 s, and the next one waited for them.
  Scenario Outline: Jobs start though an adviser needs <decide> ms and <each> ms for each worker, the configuration says <says>
    Given an advised fleet of <workers> workers with advice in <decide> and <each> ms, valid for 60000 ms
    And the advised fleet's configuration says <says> ms
    When <jobs> advised jobs of <tasks> tasks are accepted
    Then each advised job has started within <seconds> s

    Examples: the platform judges 14 s after the last job
      | decide | each | says         | workers | jobs | tasks | seconds |
      | 400    | 100  | 400 and 100  | 40      | 3    | 1     | 3.0     |
      | 40     | 10   | 40 and 10    | 40      | 3    | 1     | 1.0     |
      | 1000   | 300  | 1000 and 300 | 40      | 3    | 1     | 9.0     |
      | 3000   | 500  | 3000 and 500 | 40      | 3    | 1     | 12.0    |
      | 400    | 100  | 400 and 100  | 4       | 3    | 20    | 6.0     |
      | 400    | 100  | 0 and 0      | 40      | 3    | 1     | 14.0    |
      | 400    | 100  | 20 and 5     | 40      | 3    | 1     | 14.0    |

  Scenario: A call that an adviser does not receive delays other steps for a moment
    Given an advised fleet of 10 workers with advice in 20 and 5 ms, valid for 60000 ms
    And the adviser does not receive 1 call
    When 3 advised jobs of 1 tasks are accepted
    Then each advised job has started within 2.0 s

  Scenario Outline: Tickets are used though they are valid for <valid> ms
    Given an advised fleet of 20 workers with advice in <decide> and <each> ms, valid for <valid> ms
    When 3 advised jobs of 2 tasks are accepted
    Then each advised job has started within 14 s

    Examples: a call about 30 workers takes longer
      | decide | each | valid |
      | 400    | 100  | 1500  |
      | 40     | 50   | 300   |
      | 100    | 100  | 200   |

  Scenario: A short call goes before a long one, which waits for its turn
    Given advice for a step with calls of 5000 ms is requested at 0.0 s
    And advice for a step with calls of 100 ms is requested at 1.0 s
    And advice for a step with calls of 100 ms is requested at 6.0 s
    Then the calls for advice are those of 100, 5000 and 100 ms

  Scenario: A step with a call under way makes no further one
    Given an advised fleet of 10 workers with advice in 400 and 10 ms, valid for 60000 ms
    When 1 advised jobs of 1 tasks are accepted
    Then each advised job has started within 1.0 s
    And the adviser has handled 1 call

  Scenario: Jobs that need an adviser are refused where the settings name none
    Given a task fleet of 1 instances and 2 workers with seed 1
    When an advised job is submitted there
    Then it is refused as "needs an adviser"
