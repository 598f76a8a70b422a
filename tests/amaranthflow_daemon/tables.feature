Feature: Tables of the operators' documentation

  Scenario Outline: A page contains the table generated from the code
    Then the tables page "<page>" contains the current "<name>" table

    Examples:
      | page                        | name     |
      | docs/operations/settings.md | settings |
      | docs/operations/metrics.md  | metrics  |

  Scenario: Every option and every metric has one row
    Then the tables have one row for each option and metric
