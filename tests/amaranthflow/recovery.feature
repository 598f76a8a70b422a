Feature: Invariants hold under random sequences of failures

  Scenario: Pauses, partitions, deaths, outages and lost replies
    Then the recovery model violates no invariant in 8 runs of 40 steps
