Feature: capacity index

  Scenario: the capacity index finds what a full scan finds
    Then the capacity index equals a full scan after any updates

  Scenario: the capacity index finds the only worker with a free slot
    Given a capacity index of 9900 full workers
    When the capacity index gets 1 free slot at position 7123
    Then the capacity index finds only position 7123
