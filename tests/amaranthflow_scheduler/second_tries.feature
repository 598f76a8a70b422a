Feature: Second runs start where they keep a job on time

  # A job of two tasks, both on workers that report. It was accepted when the
  # runs began, and is on time within 2.5 s. Runs take 1 s on other workers.
  Scenario Outline: A run <state>
    Given second tries for a job whose steps permit <permits>
    And second tries see a run <state>
    When second tries are looked for after <seconds> s
    Then second tries find <found>

    Examples:
      | state                                         | permits          | seconds | found      |
      | at 50%, listed at 0.5 s                       | backups          | 0.6     | nothing    |
      | at 40%, listed at 0.5 s                       | backups          | 0.6     | nothing    |
      | at 10%, listed at 0.5 s                       | backups          | 0.6     | slow       |
      | at 10%, listed at 0.5 s                       | no backups       | 0.6     | nothing    |
      | at 10%, listed at 0.1 s                       | backups          | 0.2     | nothing    |
      | at 10%, listed at 1.4 s                       | backups          | 1.4     | slow       |
      | at 30%, listed at 1.7 s                       | backups          | 1.7     | nothing    |
      | at 2%, listed at 1.7 s                        | backups          | 1.7     | slow       |
      | at 30%, listed at 0.3 s and at 0.8 s          | backups          | 0.8     | stalled    |
      | at 50%, listed at 0.5 s and at 0.7 s          | backups          | 0.7     | nothing    |
      | at 50%, listed at 0.5 s and at 0.7 s          | backups          | 0.85    | stalled    |
      | at 50%, listed at 0.5 s and at 0.9 s          | backups          | 0.9     | stalled    |
      | at 99%, listed at 1.0 s                       | backups          | 1.1     | nothing    |
      | at 99%, listed at 1.0 s                       | backups          | 1.4     | stalled    |
      | at 99%, listed at 1.0 s, with an unstored end | backups          | 1.4     | nothing    |
      | at 99%, listed at 1.0 s, slow to respond      | backups          | 1.4     | nothing    |
      | at 99%, listed at 1.0 s, slow to respond      | backups          | 1.42    | stalled    |
      | at 0%, listed at 0.5 s                        | backups          | 0.5     | nothing    |
      | at 0%, listed at 1.1 s                        | backups          | 1.1     | stalled    |
      | that no report has listed                     | backups          | 1.5     | nothing    |
      | at 10%, listed at 0.5 s                       | backups          | 1.4     | nothing    |
      | whose start has no answer                     | backups          | 0.5     | nothing    |
      | whose start has no answer, with a report      | backups          | 0.5     | unanswered |
      | at 10%, listed at 0.5 s, with another one     | backups          | 0.6     | nothing    |
      | at 10%, listed at 0.5 s, suspected of a crash | backups          | 0.6     | nothing    |
      | at 10%, listed at 0.5 s                       | backups in gangs | 0.6     | nothing    |

  # A worker may report 99% for as long as a run has not ended. The report that
  # shows it first comes late, and does not put off when the run was due to end.
  Scenario Outline: A run at <before>, then at <after>
    Given second tries for a job whose steps permit backups
    And second tries see a run at <before>
    And second tries see it later at <after>
    When second tries are looked for after <seconds> s
    Then second tries find <found>

    Examples:
      | before                | after                  | seconds | found   |
      | 73%, listed at 0.73 s | 99%, listed at 1.26 s  | 1.28    | nothing |
      | 73%, listed at 0.73 s | 99%, listed at 1.26 s  | 1.34    | stalled |
      | 73%, listed at 0.73 s | 92%, listed at 1.26 s  | 1.34    | nothing |
      | 93%, listed at 0.93 s | 99%, listed at 1.01 s  | 1.2     | nothing |
      | 10%, listed at 0.1 s  | 99%, listed at 1.26 s  | 1.34    | nothing |

  # A run that takes a little longer than its progress has promised gets a
  # second one only if the next report comes too late for that.
  Scenario Outline: A run of 10 s that was due <due> s ago, with <spare> s to spare
    Given second tries for a job of runs of 10 s with <spare> s to spare when they end
    And second tries see a run at 93%, listed at 9.3 s
    And second tries see it later at 99%, listed at 9.9 s
    When second tries are looked for <due> s after the run was due
    Then second tries find <found>

    Examples:
      | due | spare | found   |
      | 0.2 | 0.5   | nothing |
      | 0.3 | 0.5   | stalled |
      | 0.3 | 0.9   | stalled |
      | 0.3 | 1.5   | nothing |
      | 0.9 | 1.5   | stalled |

  # All tasks of a step may be larger than declared.
  Scenario Outline: A run that seems slow beside one <other>
    Given second tries for a job of two tasks that permits backups
    And second tries see a run at 10%, listed at 0.5 s
    And second tries see beside it a run <other>
    When second tries are looked for after 0.5 s
    Then second tries find <found>

    Examples:
      | other                     | found   |
      | that no report has listed | nothing |
      | at 12%                    | nothing |
      | at 50%                    | slow    |

  # Where no other run tells how long one takes, only what exceeds the usual
  # errors of the queue's declarations is the worker's doing.
  Scenario Outline: A run of a step of one task whose queue's declarations are <off> off
    Given second tries for a job of one task that permits backups
    And second tries have seen 40 steps with declarations that are <off> off
    And second tries see a run at <percent>%, listed at 0.5 s
    When second tries are looked for after 0.5 s
    Then second tries find <found>

    Examples:
      | off       | percent | found   |
      | not       | 10      | slow    |
      | not       | 30      | nothing |
      | two times | 10      | slow    |
      | two times | 15      | nothing |
      | six times | 10      | nothing |

  # With the further step the job is on time within 4.5 s.
  Scenario Outline: A job with a further step of 1 s and a run at <percent>%
    Given second tries for a job with a further step that permits backups
    And second tries see a run at <percent>%, listed at 0.5 s
    When second tries are looked for after 0.5 s
    Then second tries find <found>

    Examples:
      | percent | found   |
      | 15      | nothing |
      | 12      | slow    |

  Scenario: No second run goes to a worker that is slow or failing
    Given second tries for a job whose steps permit backups
    Then second tries reject workers that are slow, fail or leave starts unanswered

  # Others that are held up as well are not known yet.
  Scenario: Workers that have ended a younger run are preferred
    Given second tries for a job whose steps permit backups
    And second tries see a run at 10%, listed at 0.5 s
    Then second tries prefer workers that have ended a younger run

  Scenario: A second run shows that the first worker is slow
    Given second tries for a job whose steps permit backups
    And second tries see a run at 10%, listed at 0.5 s
    When second tries are looked for after 0.6 s
    And second tries are started
    Then second tries count 1
    And second tries take the first worker as slow

  # Two workers run a task each, one of them ten times slower than the other.
  Scenario Outline: The third worker <trait>
    Given second tries of a leader whose third worker <trait>
    When the leader of second tries ticks after 0.5 s
    Then the leader of second tries starts <runs> run

    Examples:
      | trait        | runs |
      | is sound     | 1    |
      | is slow      | 0    |
      | fails        | 0    |
