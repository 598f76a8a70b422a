Feature: admission

  Scenario: a request waits until a slot is freed
    Given an admission queue for 1 slot
    When admission requests arrive: a a
    Then the admission outcomes are: granted waiting
    When an admission slot is freed
    Then the admission outcomes are: granted granted

  Scenario: tenants take turns however many requests one sends
    Given an admission queue of 9 places for 1 slot
    When admission requests arrive: a a a a b b
    And 3 admission slots are freed
    Then the admission outcomes are: granted granted waiting waiting granted granted

  Scenario: turns go by weight
    Given an admission queue of 9 places for 1 slot
    And the admission weight of "a" is 3
    When admission requests arrive: x a a a a b b
    And 4 admission slots are freed
    Then the admission outcomes are: granted granted granted granted waiting granted waiting

  Scenario: a request whose deadline passes in the queue is refused and does not run
    Given an admission queue for 1 slot
    When admission requests arrive: a a
    And 2 s of admission time pass
    Then the admission outcomes are: granted refused
    And no refused admission request ever held a slot
    And each admission refusal says not run and when to retry

  Scenario: a request is refused on arrival if its expected wait is too long
    Given an admission queue for 1 slot
    When admission requests arrive: a a a
    And an admission slot is freed each 0.4 s, 2 times
    And admission requests arrive: a a a
    Then the admission outcomes are: granted granted granted waiting waiting refused

  Scenario: a full queue refuses the newest request of the tenant over its share
    Given an admission queue for 1 slot
    When admission requests arrive: a a a a a b a
    Then the admission outcomes are: granted waiting waiting waiting refused waiting refused

  Scenario: a cancelled request leaves the queue
    Given an admission queue for 1 slot
    When admission requests arrive: a a a
    And admission request 1 is cancelled
    And an admission slot is freed
    Then the admission outcomes are: granted cancelled granted

  Scenario: cancelled requests are not kept in memory
    Given an admission queue for 1 slot
    When admission requests arrive: a
    And 1000 admission requests arrive and are cancelled
    Then the admission queue keeps references to at most 100 requests

  Scenario: a slot granted to a request that is being cancelled is released
    Given an admission queue for 1 slot
    When admission requests arrive: a a a
    And an admission slot is freed while request 1 is cancelled
    Then the admission outcomes are: granted cancelled granted

  Scenario: a service without a free slot does not block another one
    Given an admission queue for 1 slot
    When admission requests arrive: a a
    And an admission request of service "other" arrives
    Then the admission outcomes are: granted waiting granted

  Scenario: waiting requests are refused when the owner loses its rack
    Given an admission queue for 1 slot
    When admission requests arrive: a a
    And the admission owner is no longer ready
    And an admission slot is freed
    Then the admission outcomes are: granted refused

  Scenario: closing refuses all waiting requests
    Given an admission queue for 1 slot
    When admission requests arrive: a a b
    And the admission queue closes
    Then the admission outcomes are: granted refused refused

  Scenario: the admission queue matches its reference implementation
    Then the admission queue and its reference agree on random histories

  Scenario: goodput stays near capacity under three times the load
    When 3 times the capacity arrives at an admission queue
    Then the admission goodput is at least 0.95 of the capacity
    And no admitted request is answered late
    And the admission queue answers small tenants 4 times as often as the greedy one
    When 3 times the capacity arrives at a first-come queue
    Then the admission goodput is below 0.5 of the capacity

  Scenario: a limit of the wait bounds the tail latency under overload
    When 2 times the capacity arrives at an admission queue with a longest wait of 0.1 s
    Then the admission goodput is at least 0.95 of the capacity
    And the admission latency is at most 0.3 s at p99
