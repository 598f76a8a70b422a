Feature: placement

  Scenario: the indexed placement equals a search of the whole fleet
    Then an indexed placement costs as little as the best of a full search

  Scenario: placement chooses only workers where the task fits
    Then a placement in a large fleet always fits

  Scenario: placement keeps a latency-critical task from a noisy neighbour
    Given a placement fleet of 4 workers
    And placement knows that "noisy" slows "quote" by 0.8
    And placement has batch "noisy" on worker 0
    When placement chooses for latency-critical "quote" 3 times
    Then placement has used workers "1,2,3"

  Scenario: placement keeps batch tasks from workers over the limit
    Given a placement fleet of 1 workers
    And placement knows that "noisy" slows "quote" by 0.8
    When placement chooses for latency-critical "quote" 1 times
    Then placement has no worker for batch "noisy"
    And placement has worker 0 for urgent batch "noisy"

  Scenario: placement spreads a service over racks and availability zones
    Given a placement fleet of 16 workers
    When placement chooses for latency-critical "quote" 4 times
    Then placement has used 4 racks and 2 availability zones

  Scenario: placement leaves capacity for booked growth
    Given a placement fleet of 1 workers
    When placement reserves 30 cores of worker 0 for growth
    Then placement has no worker for batch "sort"
    And placement has worker 0 for latency-critical "quote"

  Scenario: a placement gives its reason
    Given a placement fleet of 2 workers
    When placement chooses for latency-critical "quote" 1 times
    Then the placement reason contains "least predicted slowdown 1.00"

  Scenario: placement forgets a removed worker
    Given a placement fleet of 2 workers
    When placement loses worker 0
    And placement chooses for latency-critical "quote" 2 times
    Then placement has used workers "1"

  Scenario: placement keeps noisy batch tasks together
    Given a placement fleet of 4 workers
    And placement knows that "noisy" slows "quote" by 0.2
    When placement chooses for latency-critical "quote" 1 times
    And placement chooses for 5 batch tasks "noisy"
    Then placement has put "noisy" on 1 workers

  Scenario: placement leaves quiet workers for latency-critical tasks
    Given a placement fleet of 2 workers
    And placement knows that "noisy" slows "quote" by 0.2
    When placement chooses for latency-critical "quote" 1 times
    And placement chooses for 7 batch tasks "noisy"
    Then placement has put "noisy" on 1 workers
    And placement has no worker for batch "noisy"
