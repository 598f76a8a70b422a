Feature: The promises hold in random orders of failures

  Scenario: Pauses, partitions, deaths, outages and lost replies
    Then the recovery model breaks no promise in 8 runs of 40 steps
