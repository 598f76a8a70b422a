Feature: relief

  Background:
    Given a relief worker with "quote" and batch tasks "noisy, mild"
    And relief knows that "noisy" slows "quote" by 0.7
    And relief knows that "mild" slows "quote" by 0.1

  Scenario: relief takes one step in each interval
    When relief decides each second for 5 s
    Then relief has taken no step
    When relief decides each second for 2 s
    Then relief has taken the steps "hold"
    When relief decides each second for 6 s
    Then relief has taken the steps "hold, throttle noisy"

  Scenario: relief moves a task only when holding and throttling did not help
    When relief decides each second for 30 s while "quote" measures 2.0
    Then relief has taken the steps "hold, throttle noisy, throttle mild, move noisy"

  Scenario: relief stops a task whose move had no effect
    When relief decides each second for 60 s while "quote" measures 2.0
    Then relief has stopped "noisy"

  Scenario: relief is undone once the interference is over
    When relief decides each second for 14 s
    Then relief has taken the steps "hold, throttle noisy"
    When relief learns that "noisy" slows "quote" by 0.0
    And relief decides each second for 120 s
    Then relief has taken the steps "hold, throttle noisy, resume noisy, accept"

  Scenario: relief keeps a task throttled whose full share would exceed the limit
    When relief decides each second for 200 s
    Then relief has taken the steps "hold, throttle noisy"

  Scenario: alternating pressure causes no relief steps
    When relief sees measured 1.6 and 1.0 in turn each 4 s for 200 s
    Then relief has taken no step

  Scenario: relief does not move a job that was evicted often
    Given the job of relief task "noisy" was evicted 2 times
    And the job of relief task "mild" was evicted 2 times
    When relief decides each second for 120 s while "quote" measures 2.0
    Then relief has moved nothing

  Scenario: relief ignores measurements from before its last step
    When relief decides each second for 7 s
    Then relief has taken the steps "hold"
    When relief gets a late report that "quote" measured 9.0 before its last step
    Then the relief reason of the next step does not report 9 times

  Scenario: measured memory over the capacity is relieved at once
    When relief task "mild" is measured to need 130000 MB
    And relief decides each second for 1 s
    Then relief has taken the steps "move mild"

  Scenario: relief moves stay within their limit per minute
    Then relief of many noisy workers moves at most 4 tasks in any minute
