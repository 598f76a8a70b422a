Feature: Loopback addresses of one run

  Scenario: Two processes that try the same prefix first get different ones
    Given another process has reserved the loopback prefix number 700
    When a loopback prefix is reserved, trying number 700 first
    Then it is another one than that of the other process

  Scenario: A prefix that is released is given out again
    Given another process has reserved the loopback prefix number 800
    When that process ends
    And a loopback prefix is reserved, trying number 800 first
    Then it is the one that the other process had

  # The daemon's ports were looked for and released before the daemon bound
  # them, so that any process could take them.
  Scenario: No other process gets the ports of a daemon that is being started
    Given a daemon as a process
    When that daemon ends
    Then no other process gets its ports from the system or from a reservation
