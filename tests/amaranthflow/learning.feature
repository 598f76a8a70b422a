Feature: learning

  Scenario: a delayed report is learned with the neighbours at its time
    Given a learner of a worker with "quote" beside "noisy"
    When learning sees "noisy" replaced by "calm" after 5 s
    And learning gets a report of "quote" from 4 s with slowdown 2.0
    Then learning attributes the slowdown to "noisy" and not "calm"

  Scenario: learning counts a throttled neighbour as its share
    Given a learner of a worker with "quote" beside "noisy"
    When learning gets 30 reports of "quote" with slowdown 1.4
    And relief throttled "noisy" before learning gets 30 more with slowdown 1.16
    Then learning has an excess of 0.4 within 0.03 for "noisy" on "quote"

  Scenario: learning raises the reservation of a task measured above it
    Given a learner of a worker with "quote" beside "noisy"
    When learning gets a report that "noisy" used 130000 MB
    Then reservations exceed the capacity and relief moves "noisy"

  Scenario: learning ignores a report of a task that did not run there
    Given a learner of a worker with "quote" beside "noisy"
    When learning gets a report of "plan" from 4 s with slowdown 2.0
    Then learning attributes the slowdown to no class
