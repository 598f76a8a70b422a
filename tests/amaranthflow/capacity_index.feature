Feature: rooms

  Scenario: the room index finds what a plain scan finds
    Then the room index equals a plain scan after any updates

  Scenario: the room index finds the one worker with room in a full fleet
    Given a room index of 9900 full workers
    When the room index is told of 1 slot at position 7123
    Then the room index finds only position 7123
