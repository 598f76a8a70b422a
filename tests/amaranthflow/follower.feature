Feature: Followers reach the same state from any start

  Scenario Outline: An empty log is followed at once
    Given a follower of a log that starts at offset <first>
    When the follower runs for 1 s
    Then the follower has caught up
    When the follower's log gets 3 entries
    And the follower runs for 1 s
    Then the follower has the state of the whole log

    Examples:
      | first |
      | 0     |
      | 1     |

  Scenario Outline: A follower starts from the newest snapshot
    Given a follower of a log that keeps <kept> entries
    And the follower's log gets <before> entries
    And the follower's log gets a snapshot
    And the follower's log gets <after> entries
    When the follower runs for 5 s
    Then the follower has the state of the whole log
    And the follower has read at most <read> entries

    Examples:
      | before | after | kept | read |
      | 50     | 20    | 30   | 30   |
      | 20     | 3000  | 3005 | 6100 |
      | 9000   | 100   | 9999 | 1100 |

  Scenario: Jobs and bookings are kept beyond the retention of the log
    Given a follower of a log that keeps 20 entries
    And the follower's log gets a job and a booking four weeks ahead
    And the follower's log gets 10 entries
    And the follower's log gets a snapshot
    And the follower's log gets 15 entries
    And the follower's log gets a snapshot
    And the follower's log gets 15 entries
    When the follower runs for 5 s
    Then the follower has the state of the whole log
    And the follower knows the job and the booking

  Scenario: Without a snapshot the follower waits for one
    Given a follower of a log that keeps 20 entries
    And the follower's log gets 50 entries
    When the follower runs for 5 s
    Then the follower misses a snapshot
    When the follower's log gets a snapshot
    And the follower runs for 1 s
    Then the follower has the state of the whole log

  Scenario: A peer's state is loaded if the log has no snapshot
    Given a follower of a log that keeps 20 entries
    And the follower's log gets 50 entries
    When the follower runs for 5 s
    And the follower adopts the state of a peer
    And the follower's log gets 5 entries
    And the follower runs for 1 s
    Then the follower has the state of the whole log

  Scenario: A read in progress does not revert a state loaded from a peer
    Given a follower of a log that starts at offset 1
    And the follower's log gets 5 entries
    And the follower runs for 1 s
    And the follower's log gets 5 entries
    When the follower adopts the state of a peer while a page is being read
    Then the follower's position never decreased
    And the follower has the state of the whole log

  Scenario: A follower that was paused past the retention starts again
    Given a follower of a log that keeps 20 entries
    And the follower's log gets 5 entries
    And the follower runs for 1 s
    And the follower's log gets 50 entries
    And the follower's log gets a snapshot
    And the follower's log gets 5 entries
    When the follower runs for 1 s
    Then the follower has the state of the whole log

  Scenario Outline: An invalid entry is skipped
    Given a follower of a log that starts at offset 1
    And the follower's log gets 5 entries
    And the follower's log gets <damage>
    And the follower's log gets 5 entries
    When the follower runs for 1 s
    Then the follower has the state of the whole log
    And the follower has counted <count> invalid entry

    Examples:
      | damage                        | count |
      | bytes that are no batch       | 1     |
      | a record of an unknown kind   | 0     |
      | a chunk outside its snapshot  | 0     |

  Scenario: A corrupt snapshot is ignored
    Given a follower of a log that keeps 7 entries
    And the follower's log gets 5 entries
    And the follower's log gets a snapshot
    And the follower's log gets a snapshot with one wrong byte
    And the follower's log gets 5 entries
    When the follower runs for 1 s
    Then the follower has the state of the whole log

  Scenario: Random records and snapshots lead to the same state
    Then followers of random logs agree in 40 runs
