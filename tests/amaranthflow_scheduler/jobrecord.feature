Feature: Records of jobs, and of their progress, can be read back

  # review/6: a step without amounts was written without its resources, and
  # the leader set the record of the accepted job aside.
  Scenario: Each job that a caller may submit is read back from its record as it was
    Then the record of any valid job request restores the job

  Scenario Outline: A job whose steps request nothing is read back: <step>
    When a caller submits a job with step <step>
    Then the record of the job restores it

    Examples:
      | step                                |
      | {"count":1}                         |
      | {"count":1,"estimate_ms":300}       |
      | {"count":3,"cpu":0,"mem_mb":0}      |
      | {"count":2,"gpu":0,"perpetual":true} |

  Scenario: A step without resources of an earlier version's record is read
    When a record of a job has a step without resources
    Then the job's step requests nothing

  Scenario: The progress of each job that a caller may submit is read back
    Then the progress record of any valid job, however far it is, restores it

  Scenario: A job that could not be read back is not accepted
    Given a task fleet of 1 instances and 2 workers with seed 1
    When a job with a payload that is no Unicode text is submitted there
    Then the job is refused as "cannot be recorded"

  Scenario: An instance stores no job of which the leader cannot read the record
    Given a task fleet of 2 instances and 2 workers with seed 1
    When the task fleet's leader cannot read the records of new jobs
    And a job is submitted to the other instance
    Then the job is refused, and its record is not stored
