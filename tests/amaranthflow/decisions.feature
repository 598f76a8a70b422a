Feature: decisions

  Scenario: the reasons of a subject are listed in order
    Given a decision log that saw "queued,placed,completed" of job "j" of "a"
    Then the decision log explains "j" to "a" as "queued,placed,completed"

  Scenario: a tenant never sees decisions about another
    Given a decision log that saw "placed" of worker "w" of "a"
    And the decision log saw "throttled" of worker "w" of "b"
    And the decision log saw "quarantined" of worker "w" of operators
    Then the decision log explains "w" to "a" as "placed"
    And the decision log explains "w" to "b" as "throttled"
    And the decision log explains "w" to "c" as ""
    And the decision log explains "w" to operators as "placed,throttled,quarantined"

  Scenario: the newest decisions of a subject are kept
    Given a decision log that saw 100 decisions on job "j" of "a"
    Then the decision log keeps the newest 16 on job "j" of "a"

  Scenario: one tenant's many jobs do not displace another's few
    Given a decision log that saw "placed" of job "j" of "a"
    When the decision log sees 10000 jobs of "b"
    Then the decision log explains "j" to "a" as "placed"
    And the decision log keeps 3500 to 4096 subjects
    And the decision log explains the newest job of "b" but not its oldest
