Feature: stand-in log

  Scenario: entries are read in order, the next offset follows them
    Given a stand-in log
    When 3 entries are appended to the stand-in log
    Then reading the stand-in log from 2 gives offsets "2 3" and next 4

  Scenario: the log drops the oldest entries above its entry limit
    Given a stand-in log that keeps 2 entries
    When 5 entries are appended to the stand-in log
    Then reading the stand-in log from 3 finds the offset expired
    And reading the stand-in log from 4 gives offsets "4 5" and next 6

  Scenario: the log drops entries older than the retention time
    Given a stand-in log that keeps entries for 60 seconds
    When 1 entries are appended to the stand-in log
    And 50 seconds pass for the stand-in log
    And 1 entries are appended to the stand-in log
    And 20 seconds pass for the stand-in log
    Then reading the stand-in log from 1 finds the offset expired
    And reading the stand-in log from 2 gives offsets "2" and next 3

  Scenario: a waiting reader receives a new entry at once
    Given a stand-in log
    And a reader waits for the stand-in log from 1 for 30 seconds
    When 1 entries are appended to the stand-in log
    Then the stand-in log's reader got offsets "1" after 0 seconds

  Scenario: a waiting reader receives no entry at its timeout
    Given a stand-in log
    And a reader waits for the stand-in log from 1 for 30 seconds
    When 40 seconds pass for the stand-in log
    Then the stand-in log's reader got offsets "" after 30 seconds

  Scenario: an outage fails appends and waiting readers
    Given a stand-in log
    And a reader waits for the stand-in log from 1 for 30 seconds
    When the stand-in log goes down
    Then the stand-in log's reader got "PlatformError"
    And appending to the stand-in log raises "PlatformError" and keeps 0

  Scenario: a lost reply leaves the entry in the log
    Given a stand-in log
    When the stand-in log loses the next reply
    Then appending to the stand-in log raises "PlatformUncertain" and keeps 1

  Scenario: a lost request leaves nothing in the log
    Given a stand-in log
    When the stand-in log loses the next request
    Then appending to the stand-in log raises "PlatformUncertain" and keeps 0

  Scenario: appends above the rate wait, and are refused after a second
    Given a stand-in log that accepts 10 appends a second
    When 15 appends reach the stand-in log at once
    Then the stand-in log kept 11 of them
    And the stand-in log refused 4 of them
