Feature: stand-in instance list

  Scenario: a change shows after the list's delay
    Given a stand-in instance list with a delay of 2 seconds
    When the stand-in list is told that "i1" is "live"
    And 1 seconds pass for the stand-in list
    And the stand-in list is told that "i1" is "leaving"
    Then the stand-in list shows nothing
    When 1 seconds pass for the stand-in list
    Then the stand-in list shows "i1" as "live"
    When 1 seconds pass for the stand-in list
    Then the stand-in list shows "i1" as "leaving"
