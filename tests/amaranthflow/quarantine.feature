Feature: quarantine

  Scenario: a worker is probed by one task at a time, then restored
    Given a quarantine of 10 workers
    When quarantine excludes "m0"
    Then "m0" is quarantined and gets no work from the quarantine
    When 40 s of quarantine time pass
    Then "m0" is on probation and gets work from the quarantine
    When the quarantine starts probe "p1" on "m0"
    Then "m0" is on probation and gets no work from the quarantine
    When quarantine probe "p1" on "m0" succeeds
    And the quarantine starts probe "p2" on "m0"
    And quarantine probe "p2" on "m0" succeeds
    Then "m0" is healthy and gets work from the quarantine

  Scenario: a failed probe doubles the quarantine
    Given a quarantine of 10 workers
    When quarantine excludes "m0"
    And 40 s of quarantine time pass
    And the quarantine starts probe "p1" on "m0"
    And quarantine probe "p1" on "m0" fails
    And 55 s of quarantine time pass
    Then "m0" is quarantined and gets no work from the quarantine
    When 20 s of quarantine time pass
    Then "m0" is on probation and gets work from the quarantine

  Scenario: a worker that fails again soon after it was restored waits longer
    Given a quarantine of 10 workers
    When quarantine excludes "m0"
    And "m0" passes the probation of the quarantine
    And quarantine excludes "m0"
    And 55 s of quarantine time pass
    Then "m0" is quarantined and gets no work from the quarantine

  Scenario: tasks from before the quarantine are no probes
    Given a quarantine of 10 workers
    When quarantine excludes "m0"
    And 40 s of quarantine time pass
    And quarantine probe "old" on "m0" succeeds
    And quarantine probe "old" on "m0" fails
    Then "m0" is on probation and gets work from the quarantine

  Scenario: a long probe allows a few others
    Given a quarantine of 10 workers
    When quarantine excludes "m0"
    And 40 s of quarantine time pass
    And probes start on "m0" each 61 s, as long as the quarantine lets them
    Then 4 quarantine probes run on "m0"
    When quarantine probe "p0" on "m0" fails
    Then "m0" is quarantined and gets no work from the quarantine

  Scenario: lost probes do not exclude a worker for ever
    Given a quarantine of 10 workers
    When quarantine excludes "m0"
    And 40 s of quarantine time pass
    And probes start on "m0" each 61 s, as long as the quarantine lets them
    Then 4 quarantine probes run on "m0"
    When 240 s of quarantine time pass
    Then "m0" is on probation and gets work from the quarantine
    When the quarantine starts probe "p9" on "m0"
    And quarantine probe "p9" on "m0" succeeds
    And quarantine probe "p0" on "m0" succeeds
    Then "m0" is healthy and gets work from the quarantine

  Scenario: tasks beyond the limit of probes do not count
    Given a quarantine of 10 workers
    When quarantine excludes "m0"
    And 40 s of quarantine time pass
    And 20 tasks start on "m0" without a check by the quarantine
    And quarantine probe "x19" on "m0" fails
    Then "m0" is on probation and gets no work from the quarantine
    When quarantine probe "x3" on "m0" fails
    Then "m0" is quarantined and gets no work from the quarantine

  Scenario: no more than the stated share is excluded
    Given a quarantine of 10 workers
    When quarantine excludes "m0"
    And quarantine excludes "m1"
    Then quarantine refuses to exclude "m2"
    When "m0" passes the probation of the quarantine
    And quarantine excludes "m2"
    Then "m2" is quarantined and gets no work from the quarantine

  Scenario: the share is kept on random histories
    Then the quarantine keeps to its share on random histories
