Feature: stand-in clock

  Scenario: sleepers wake in the order of their deadlines
    Given a stand-in clock with sleepers of 3, 1 and 2 seconds
    When the stand-in clock is advanced by 2 seconds
    Then the stand-in clock has woken the sleepers of 1 and 2 seconds

  Scenario: a sleeper that sleeps again wakes again within the same run
    Given a stand-in clock with a task that wakes every 2 seconds
    When the stand-in clock runs for 7 seconds
    Then the stand-in clock's task woke at 2, 4 and 6 seconds
