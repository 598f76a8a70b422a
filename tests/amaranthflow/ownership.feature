Feature: One member at a time admits work to a rack

  Scenario: A rack without an earlier owner is served at once
    Given an ownership fleet of 3
    When the ownership member i1 claims rack r1
    Then only the ownership member i1 admits on rack r1 after 0.1 s

  Scenario: A released rack is served at once by the next owner
    Given an ownership fleet of 3 in which i1 serves rack r1
    When the ownership member i1 releases rack r1
    And the ownership member i2 claims rack r1
    Then only the ownership member i2 admits on rack r1 after 0.1 s

  Scenario: An owner is replaced after fence, margin and lease
    Given an ownership fleet of 3 in which i1 serves rack r1
    When the ownership member i2 claims rack r1
    Then no ownership member admits on rack r1 for 6.4 s
    And only the ownership member i2 admits on rack r1 after 0.6 s

  Scenario: A claimant that releases early leaves the wait to the next one
    Given an ownership fleet of 3 in which i1 serves rack r1
    And the ownership member i1 reaches its peers but not the log
    When the ownership member i2 claims rack r1
    And the ownership member i2 releases rack r1
    And the ownership member i3 claims rack r1
    Then no ownership member but i1 admits on rack r1 for 6.4 s
    And no two ownership members ever admitted on rack r1

  Scenario: An owner whose release may be in the log does not resume serving
    Given an ownership fleet of 3 in which i1 serves rack r1
    And the ownership log keeps the next append without a reply
    And the ownership member i1 reaches its peers but not the log soon
    When the ownership member i1 releases rack r1
    And the ownership member i2 claims rack r1
    Then no two ownership members ever admitted on rack r1
    And only the ownership member i2 admits on rack r1 after 1 s

  Scenario: An owner whose release certainly failed resumes serving
    Given an ownership fleet of 3 in which i1 serves rack r1
    And the ownership log is down
    When the ownership member i1 releases rack r1
    Then only the ownership member i1 admits on rack r1 after 3 s

  Scenario: The right of a paused owner has expired when it wakes
    Given an ownership fleet of 3 in which i1 serves rack r1
    And the ownership member i1 is paused
    And the ownership member i2 has claimed rack r1 20 s ago
    When the ownership member i1 wakes
    Then only the ownership member i2 admits on rack r1 after 0 s
    And no two ownership members ever admitted on rack r1

  Scenario: While the log is down a majority preserves the right for an hour
    Given an ownership fleet of 3 in which i1 serves rack r1
    And the ownership log is down
    Then only the ownership member i1 admits on rack r1 for 3600 s

  Scenario: A minority admits nothing while the log is down
    Given an ownership fleet of 5 in which i1 serves rack r1
    And the ownership log is down
    When the ownership members i1, i2 are cut off from i3, i4, i5
    Then no ownership member admits on rack r1 after 2.1 s

  Scenario: A claimant with the log against an owner with the majority
    Given an ownership fleet of 5 in which i1 serves rack r1
    And only the ownership member i5 reaches the log
    When the ownership member i5 claims rack r1
    Then only the ownership member i1 admits on rack r1 for 60 s
    When the ownership network is restored
    Then no ownership member admits on rack r1 after 1 s
    And only the ownership member i5 admits on rack r1 after 8 s
    And no two ownership members ever admitted on rack r1

  Scenario: A one-sided partition between members
    Given an ownership fleet of 3 in which i1 serves rack r1
    And nothing arrives from ownership member i1
    When the ownership member i2 claims rack r1
    Then only the ownership member i2 admits on rack r1 after 8 s
    And no two ownership members ever admitted on rack r1

  Scenario: A delayed answer grants nothing
    Given an ownership fleet of 3 in which i1 serves rack r1
    And ownership answers are delayed by 3 s
    And the ownership member i1 reaches its peers but not the log
    Then no ownership member admits on rack r1 after 2.1 s

  Scenario: A majority that dies at once blocks claims until the list removes it
    Given an ownership fleet of 5 in which i1 serves rack r1
    When the ownership members i1, i2, i3 die
    And the ownership member i4 claims rack r1
    Then no ownership member admits on rack r1 for 60 s
    When the ownership list removes the dead members
    Then only the ownership member i4 admits on rack r1 after 8 s

  Scenario: A majority that dies at once and is restarted
    Given an ownership fleet of 5 in which i1 serves rack r1
    When the ownership members i1, i2, i3 die
    And the ownership member i4 claims rack r1
    And the ownership members i1, i2, i3 are restarted
    Then only the ownership member i4 admits on rack r1 after 8 s

  Scenario Outline: A fleet of which all processes restart
    Given an ownership fleet of <size> in which i1 serves rack r1
    When the ownership members <dead> die
    And the ownership members <dead> are restarted
    And the ownership member i1 claims rack r1
    Then only the ownership member i1 admits on rack r1 after 8 s

    Examples:
      | size | dead       |
      | 1    | i1         |
      | 2    | i1, i2     |
      | 3    | i1, i2, i3 |

  Scenario: Several joins at once do not split the majority
    Given an ownership fleet of 7 of which 3 run and i1 serves rack r1
    And the ownership member i1 reaches its peers but not the log
    When the ownership members i4, i5, i6, i7 are started
    And the ownership member i7 claims rack r1
    Then only the ownership member i7 admits on rack r1 after 8 s
    And no two ownership members ever admitted on rack r1

  Scenario: Closed views are forgotten and the newest is kept
    Given an ownership fleet of 5 in which i1 serves rack r1
    When the ownership member i2 closes views
    Then the ownership member i3 keeps 1 view

  Scenario: A view that an isolated majority may rely on stays open
    Given an ownership fleet of 7 of which 3 run and i1 serves rack r1
    And the ownership members i1, i2, i3 reach each other only
    When the ownership members i4, i5, i6, i7 are started
    And the ownership member i7 closes views
    And the ownership member i7 claims rack r1
    Then only the ownership member i1 admits on rack r1 for 60 s

  Scenario: A new process takes a peer's state while the log is down
    Given an ownership fleet of 3 in which i1 serves rack r1
    And the ownership log is down
    When the ownership member i3 is restarted with the state of i1
    Then the ownership member i3 knows i1 as the owner of rack r1
    And the ownership member i3 is not caught up

  Scenario: An attempt is not recorded by an owner that released the rack
    Given an ownership fleet of 3 in which i1 serves rack r1
    When the ownership member i1 releases rack r1
    Then the ownership log refuses an attempt that i1 starts on rack r1
