Feature: A new leader starts restored jobs as soon as nothing runs twice

  Scenario Outline: Restored jobs wait for workers that may have unrecorded runs
    Given a takeover at second 0 that holds job "a1" until second <grace>
    And worker "w1" <w1>
    And worker "w2" <w2>
    Then job "a1" is held until second <released>

    Examples: leases of the earlier leader end at second 6
      | grace | w1                  | w2                  | released |
      | 0     | reports at second 1 | reports at second 2 | 2        |
      | 0     | reports at second 1 | never reports       | 6        |
      | 3     | reports at second 1 | reports at second 2 | 3        |

  Scenario Outline: A worker whose entry was removed is waited for
    Given a new leader that restores job "a1" and is elected at second 0
    And its worker "w1" reports at second 1
    And the entry of its worker "w2" is removed at second <removed>
    When its worker "w2" reports <report>
    Then its job "a1" starts at second <starts>
    And its worker "w2" is forgotten at second <forgotten>

    Examples: leases of the earlier leader end at second 6.27
      | removed | report      | starts | forgotten |
      | 1       | never       | 6.5    | 6.5       |
      | 5       | never       | 6.5    | 7.75      |
      | 1       | at second 2 | 2      | 3.75      |

  Scenario: A job that was accepted after the election is not held
    Given a takeover at second 0 that holds job "a1" until second 0
    And worker "w1" never reports
    Then job "b1" is not held

  Scenario Outline: Records that were handed over go before those of the store
    Given job "a1" whose task "0" runs on "w1" according to a handover that is <kind>
    When a new leader restores job "a1" without any stored progress
    Then job "a1" is <held>
    And task "0" of job "a1" runs on "w1"
    And the progress of job "a1" has to be stored

    Examples:
      | kind       | held     |
      | complete   | not held |
      | incomplete | held     |

  # A later leader could contradict what only the handover says.
  Scenario: An end that was handed over is shown once it is stored
    Given job "a1" has ended according to a handover that is complete
    When a new leader restores job "a1" without any stored progress
    Then job "a1" is shown as running
    When its progress is stored
    Then job "a1" is shown as completed

  Scenario Outline: A handover that cannot be read is refused
    When the handover <message> is decoded
    Then the handover is refused

    Examples:
      | message                                    |
      | {}                                         |
      | {"complete": "yes", "progress": {}}        |
      | {"complete": true, "progress": {"a1": 1}}  |
      | {"complete": true, "progress": []}         |

  Scenario: An offer of the term ends with the next record of the leader
    Given an observer that has read a record of the leader at second 0
    And a read without records until second 0.7
    Then it may not claim at second 0.7
    When the leader offers its term at second 0.7
    Then it may claim at second 0.7
    When it reads another record of the leader at second 0.8
    Then it may not claim at second 0.8

  # A large instance that has not asked yet learns of the offer with its next read.
  Scenario: A small instance does not claim a term because it is offered
    Given a small instance's observer that has read a record of the leader at second 0
    And a read without records until second 0.7
    When the leader offers its term at second 0.7
    Then it may not claim at second 1.9
    And it may claim at second 2.0

  Scenario: An offer of the term ends with a failed read
    Given an observer that has read a record of the leader at second 0
    And a read without records until second 0.7
    When the leader offers its term at second 0.7
    And a read of the observer fails
    Then it may not claim at second 0.8

  # The claim that follows an offer is conditional on the records that were read
  # before it, among which a renewal that was sent before may be.
  Scenario Outline: A leader is the only one again after a renewal that follows all offers
    Given a tenure with leases of 4.5 s where workers grant 6 s
    And a renewal that was sent at second 0.5 and is stored
    When the term is offered at second 1.2
    Then the leader is not the only one at second 1.3
    And the leader may renew leases at second 2.5
    And the leader may not renew leases at second 2.6
    When the term is offered at second 1.4
    And a renewal that was sent at second <sent> is found to be stored
    Then the leader <is> the only one at second 1.6

    Examples:
      | sent | is     |
      | 1.1  | is not |
      | 1.3  | is not |
      | 1.5  | is     |

  Scenario: A silent leader that leads on is asked again soon
    Given an observer that has read a record of the leader at second 0
    And a read without records until second 0.7
    Then its next read of the leaders may wait for 0.7 s at second 0.7
    When the leader leads on without an offer
    Then its next read of the leaders may wait for 0.2 s at second 0.7
    And its next read of the leaders may wait for 0.1 s at second 1.4
    When it reads another record of the leader at second 1.4
    Then its next read of the leaders may wait for 0.7 s at second 1.4
    When the leader leads on without an offer
    And a read of the observer fails
    Then its next read of the leaders may wait for 0.7 s at second 1.5

  Scenario: A small instance leaves it to large ones to ask again
    Given a small instance's observer that has read a record of the leader at second 0
    And a read without records until second 0.7
    When the leader leads on without an offer
    Then its next read of the leaders may wait for 0.7 s at second 0.7
