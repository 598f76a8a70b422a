Feature: Tables of the operators' pages

  Scenario Outline: A page holds the table that the code gives
    Then the tables page "<page>" holds the current "<name>" table

    Examples:
      | page                        | name     |
      | docs/operations/settings.md | settings |
      | docs/operations/metrics.md  | metrics  |

  Scenario: Every option and every metric has one row
    Then the tables have one row for each option and metric
