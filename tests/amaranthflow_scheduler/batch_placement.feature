Feature: Batch runs leave opportunistic runs the processors that they use

  Services use half of the processors that they reserve, and opportunistic runs
  take what is unused. Where a batch run takes it from them, the services beside
  them are short of processors as well.

  Scenario Outline: The worker of a batch run
    Given workers of 32 cores whose services reserve 16, with opportunistic runs on "<opportunistic>" cores
    And batch runs on "<batch>" cores of these workers
    When a batch run of <cores> cores is placed
    Then it runs on worker <worker>

    Examples:
      | opportunistic | batch | cores | worker |
      | 0 0           | 0 4   | 4     | 1      |
      | 0 20          | 0 4   | 4     | 0      |
      | 12 12         | 0 4   | 4     | 1      |
      | 24 20         | 0 4   | 4     | 1      |
      | 20 20         | 0 12  | 4     | 0      |
      | 0 20          | 12 4  | 8     | 1      |

  Scenario: Operators see how many workers are short of processors
    Given workers of 32 cores whose services reserve 16, with opportunistic runs on "0 12 26 28 30" cores
    And batch runs on "16 16 0 2 4" cores of these workers
    Then 2 workers count as short of processors

  # A quarter of a service's tasks over their target costs its callers all of
  # it, and services are spread over all workers.
  Scenario Outline: Services keep their processors while batch runs come
    Given 24 workers of 32 cores whose services reserve 16
    When 16 opportunistic jobs a second and 8 batch jobs a second come for 20 s, with seed <seed>
    Then never more than 25% of the workers are short of an eighth of their processors
    And at least 95% of the batch jobs started at once

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
