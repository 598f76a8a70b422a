Feature: A worker is asked again for a report that is overdue

  # A job of one task of 1 s with an objective of 2.5 s. The times count from
  # the start of its run.
  Scenario Outline: A run <state>, with a report requested at <asked> s
    Given a short job's run <state>
    When its worker's report is requested at <asked> s
    Then the report is overdue <when>

    Examples:
      | state                                | asked | when         |
      | that no report has listed            | 0.1   | after 1.1 s  |
      | that no report has listed            | 1.2   | at no time   |
      | at 50%, listed at 0.5 s              | 0.5   | after 1.1 s  |
      | at 25%, listed at 0.5 s              | 0.5   | after 2.1 s  |
      | at 99%, listed at 1.0 s              | 1.2   | at no time   |
      | whose start has no answer            | 0.1   | at no time   |
      | that is being stopped                | 0.1   | at no time   |
      | from a checkpoint, not yet listed    | 0.1   | at no time   |
      | beside one at 80%, listed at 0.4 s   | 0.4   | after 0.6 s  |

  # Both differ from the job above in one respect only.
  Scenario Outline: A run of <kind>
    Given a run of <kind>
    When its worker's report is requested at 0.1 s
    Then the report is overdue at no time

    Examples:
      | kind                   |
      | a job of 5 s           |
      | a service              |
      | an opportunistic task  |
