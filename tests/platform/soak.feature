Feature: The real program under faults from outside

  Scenario: A short soak breaks no promise
    When the real program is soaked for 8 s with seed 1
    Then callers had answers, tasks ran and no promise was broken

  Scenario: A run of a job that was refused is found
    Given a history in which a refused job's task ran
    Then 1 broken promise names it

  Scenario Outline: A proxy harms the connections through it
    Given a proxy before a server that echoes
    When its harm is <harm> and a caller sends a line
    Then the server has <arrived> lines and the caller <returned> within 0.3 s

    Examples:
      | harm    | arrived | returned |
      | none    | 1       | 1        |
      | delay   | 1       | 1        |
      | one-way | 1       | 0        |
      | silent  | 0       | 0        |

  Scenario: A connection that lost bytes stays silent when the harm is over
    Given a proxy before a server that echoes
    When its harm is silent and a caller sends a line
    And the harm is over and the caller sends another line
    Then the server has 0 lines and the caller 0 within 0.3 s
