Feature: Choice among instances by verdict

  Scenario Outline: The next instance is tried only if the verdict allows it
    Given a cli fleet of 2 instances
    And cli's instance 1 <fault>
    When cli's client <call>
    Then cli's client outcome is "<outcome>"
    And cli's instance 2 received <count> calls

    Examples:
      | fault                    | call   | outcome      | count |
      | is stopped               | writes | answered     | 1     |
      | is not ready for 1500 ms | writes | answered     | 1     |
      | loses its replies        | writes | may have run | 0     |
      | is silent                | writes | may have run | 0     |
      | rejects calls as invalid | writes | not run      | 0     |
      | rejects calls as invalid | reads  | not run      | 0     |
      | is stopped               | reads  | answered     | 1     |
      | loses its replies        | reads  | answered     | 1     |
      | is silent                | reads  | answered     | 1     |

  Scenario: The shortest retry time is reported if no instance is ready
    Given a cli fleet of 2 instances
    And cli's instance 1 is not ready for 1500 ms
    And cli's instance 2 is not ready for 700 ms
    When cli's client writes
    Then cli's client outcome is "not run"
    And cli's client may try again after 700 ms

  Scenario: A refusal by one instance does not hide another's acceptance
    Given a cli fleet of 2 instances
    And cli's instance 1 refuses every change: "log lost"
    When cli's client writes
    Then cli's client outcome is "answered"
    And cli's client reply is accepted

  Scenario: If all instances refuse, the first refusal is returned
    Given a cli fleet of 3 instances
    And cli's instance 1 refuses every change: "log lost"
    And cli's instance 2 is stopped
    And cli's instance 3 refuses every change: "draining"
    When cli's client writes
    Then cli's client reply says "log lost"
