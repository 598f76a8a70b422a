Feature: stand-in instance list

  Scenario: a change becomes visible after the list's delay
    Given a stand-in instance list with a delay of 2 seconds
    When the stand-in list sets "i1" to "live"
    And 1 seconds pass for the stand-in list
    And the stand-in list sets "i1" to "leaving"
    Then the stand-in list shows nothing
    When 1 seconds pass for the stand-in list
    Then the stand-in list shows "i1" as "live"
    When 1 seconds pass for the stand-in list
    Then the stand-in list shows "i1" as "leaving"
