Feature: interference

  Scenario: a learned interference pair equals the exact posterior mean
    Then an interference model without ageing equals the exact posterior

  Scenario: interference differs by ordered pair
    Given an interference model
    When interference of "sort" on "quote" is reported as 1.8 40 times
    And interference of "quote" on "sort" is reported as 1.0 40 times
    Then the interference predicted for "quote" beside "sort" is 1.8 within 0.05
    And the interference predicted for "sort" beside "quote" is 1.0 within 0.05

  Scenario: one interference report moves the estimate only partially
    Given an interference model
    When interference of "sort" on "quote" is reported as 3.0 1 times
    Then the interference predicted for "quote" beside "sort" is under 3.0
    And the interference predicted for "quote" beside "sort" is over 1.05

  Scenario: a shift of interference is noticed within twenty reports
    Given an interference model
    When interference of "sort" on "quote" is reported as 1.1 200 times
    And interference of "sort" on "quote" is reported as 2.0 20 times
    Then the interference predicted for "quote" beside "sort" is 2.0 within 0.15

  Scenario: interference without reports returns to the prior
    Given an interference model
    When interference of "sort" on "quote" is reported as 2.0 40 times
    And the interference model gets no report for 3600 s
    Then the interference predicted for "quote" beside "sort" is 1.05 within 0.01

  Scenario: the effects of neighbours reported together are separated
    Given an interference model
    When interference reports of random mixes follow known excesses
    Then each interference excess is learned within 0.05

  Scenario: interference reports that are too old or not finite are ignored
    Given an interference model
    When interference of "sort" on "quote" is reported 2 hours late as 9.0
    And an interference report is not a number
    Then the interference predicted for "quote" beside "sort" is 1.05 within 0.001

  Scenario: interference pairs are bounded
    Given an interference model
    When interference of 300 neighbours is reported to a model of 100 pairs
    Then 100 interference pairs are kept, the newest
