Feature: The real program under injected faults

  Scenario: A short soak test violates no invariant
    When the real program is soaked for 8 s with seed 1
    Then callers got responses, tasks ran and no invariant was violated

  Scenario: A run of a refused job is detected
    Given a history in which a task of a refused job ran
    Then 1 violation names the job

  Scenario Outline: A proxy injects faults into its connections
    Given a proxy in front of an echo server
    When its fault is <fault> and a caller sends a line
    Then the server has <arrived> lines and the caller <returned> within 0.3 s

    Examples:
      | fault   | arrived | returned |
      | none    | 1       | 1        |
      | delay   | 1       | 1        |
      | one-way | 1       | 0        |
      | silent  | 0       | 0        |

  Scenario: A connection that lost bytes stays silent after the fault
    Given a proxy in front of an echo server
    When its fault is silent and a caller sends a line
    And the fault ends and the caller sends another line
    Then the server has 0 lines and the caller 0 within 0.3 s
