Feature: stand-in worker

  Background:
    Given a stand-in worker with 2 slots and 1000 MB

  Scenario: a task whose lease is not renewed is stopped by the worker
    When the stand-in worker starts "job:a:1" running 10 s on a lease of 3 s
    And 5 seconds pass for the stand-in worker
    Then the stand-in worker's run of "job:a:1" ended "lease lapsed" at 3.0 s
    And the stand-in worker reports "job:a:1" as "stopped"

  Scenario: a task whose lease is renewed completes
    When the stand-in worker starts "job:a:1" running 10 s on a lease of 3 s
    And the stand-in worker's lease of "job:a:1" is renewed for 20 s
    And 15 seconds pass for the stand-in worker
    Then the stand-in worker's run of "job:a:1" ended "completed" at 10.0 s
    And the stand-in worker reports "job:a:1" as "completed"

  Scenario: a start that arrives after its deadline is refused
    When 10 seconds pass for the stand-in worker
    Then a start whose deadline was 1 ms ago raises "PlatformError"
    And the stand-in worker has run 0 tasks

  Scenario: a start delivered twice runs once
    Given the stand-in worker's fault "duplicated_start_share" is 1.0
    When the stand-in worker starts "job:a:1" running 1 s on a lease of 9 s
    And the stand-in worker starts "job:a:1" running 1 s on a lease of 9 s
    And 15 seconds pass for the stand-in worker
    Then the stand-in worker has run 1 tasks

  Scenario: a stopped task resumes from its checkpoint
    When the stand-in worker starts "job:a:1" running 10 s on a lease of 30 s
    And 4 seconds pass for the stand-in worker
    And the stand-in worker writes a checkpoint of "job:a:1" and stops it
    And the stand-in worker resumes it as "job:a:2" on a lease of 30 s
    And 20 seconds pass for the stand-in worker
    Then the stand-in worker's run of "job:a:1" ended "stopped" at 4.0 s
    And the stand-in worker's run of "job:a:2" ended "completed" at 10.0 s

  Scenario: a throttled task takes longer
    When the stand-in worker starts "job:a:1" running 4 s on a lease of 30 s
    And 2 seconds pass for the stand-in worker
    And the stand-in worker throttles "job:a:1" to 0.5
    And 20 seconds pass for the stand-in worker
    Then the stand-in worker's run of "job:a:1" ended "completed" at 6.0 s

  Scenario: a neighbour slows a task and usage reports it with a delay
    Given the stand-in worker's tasks slow each other by 2.0
    When the stand-in worker starts "job:a:1" running 4 s on a lease of 30 s
    And the stand-in worker starts "job:b:1" running 4 s on a lease of 30 s
    Then the stand-in worker's usage reports no slowdown
    When 3 seconds pass for the stand-in worker
    Then the stand-in worker's usage reports a slowdown of 2.0 measured at 0 s
    When 20 seconds pass for the stand-in worker
    Then the stand-in worker's run of "job:b:1" ended "completed" at 8.0 s

  Scenario: the death of a worker ends all its runs
    When the stand-in worker starts "job:a:1" running 10 s on a lease of 30 s
    And 1 seconds pass for the stand-in worker
    And the stand-in worker dies
    Then the stand-in worker's run of "job:a:1" ended "died" at 1.0 s
    And a call to the stand-in worker raises "PlatformError"
    And the stand-in worker has run 0 requests

  Scenario: a frozen worker does not answer and runs the request when it wakes
    Given the stand-in worker's fault "frozen" is 1.0
    Then a call to the stand-in worker raises "PlatformUncertain"
    And the stand-in worker has run 0 requests
    When the stand-in worker wakes
    Then the stand-in worker has run 1 requests

  Scenario Outline: a wrong answer is rejected
    Given the stand-in worker's fault "<fault>" is 1.0
    Then a call to the stand-in worker raises "PlatformUncertain"
    And the stand-in worker has run 1 requests

    Examples:
      | fault            |
      | garbage_share    |
      | cut_short_share  |
      | foreign_share    |
      | late_share       |
      | fails_everything |

  Scenario: a request is answered, and stopped at its timeout
    Then a call to the stand-in worker is answered
    Given the stand-in worker's fault "interference" is 1000.0
    Then a call to the stand-in worker raises "PlatformUncertain"
    And the stand-in worker's last request ended "timed out"

  Scenario: work above the limits runs and is recorded as a violation
    When the stand-in worker starts "job:a:1" running 9 s on a lease of 30 s
    And the stand-in worker starts "job:b:1" running 9 s on a lease of 30 s
    Then the stand-in worker has recorded no violation
    When the stand-in worker starts "job:c:1" running 9 s on a lease of 30 s
    Then the stand-in worker has recorded violations of "slots memory_mb"
    And the stand-in worker has run 3 tasks
