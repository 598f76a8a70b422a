Feature: HTTP adapters

  Scenario: the log adapter appends, reads and waits over TCP
    Given an adapter to a log on a port
    When the adapter appends 3 entries of 100000 bytes
    Then the adapter reads 2 complete entries from offset 2
    And an adapter's waiting read gets the next append

  Scenario: the log adapter reports an expired offset
    Given an adapter to a log on a port that keeps 1 entry
    When the adapter appends 3 entries of 10 bytes
    Then the adapter's read of offset 1 raises "OffsetExpired"
    And the adapter's first offset is 3

  Scenario Outline: the log adapter reports whether an append may have taken effect
    Given an adapter to a log on a port
    When the log behind the adapter has the fault "<fault>"
    Then the adapter's append raises "<error>"
    And the log behind the adapter keeps <kept>

    Examples:
      | fault         | error             | kept |
      | down          | PlatformError     | 0    |
      | refuse        | PlatformError     | 0    |
      | lose_replies  | PlatformUncertain | 1    |
      | lose_requests | PlatformUncertain | 0    |

  Scenario: a log that was down is reached again on its port
    Given an adapter to a log on a port
    When the log behind the adapter has the fault "down"
    And the log behind the adapter has recovered
    And the adapter appends 2 entries of 10 bytes
    Then the adapter reads 2 complete entries from offset 1

  Scenario: a truncated page of the log is rejected
    Then an adapter's page truncated anywhere inside an entry raises "PlatformError"

  Scenario: the worker adapter matches each response to its call
    Given an adapter to a worker on a port
    When the adapter makes 200 calls at once
    Then the adapter's calls all get their own responses
    And the worker behind the adapter saw between 2 and 24 connections

  Scenario Outline: the worker adapter reports whether a call may have run
    Given an adapter to a worker on a port
    When the worker behind the adapter has the fault "<fault>"
    Then the adapter's call raises "<error>"
    And the worker behind the adapter has run <count> calls

    Examples:
      | fault            | error             | count |
      | dead             | PlatformError     | 0     |
      | fails_everything | PlatformFailed    | 1     |
      | garbage_share    | PlatformFailed    | 1     |
      | cut_short_share  | PlatformFailed    | 1     |
      | foreign_share    | PlatformUncertain | 1     |
      | frozen           | PlatformUncertain | 0     |

  Scenario: calls that use all their connections do not block task control
    Given an adapter to a worker on a port
    When the adapter's calls use all their connections
    Then the adapter's next call raises "PlatformError" within its timeout
    And the adapter renews a lease

  Scenario: the worker adapter transfers tasks and their reports
    Given an adapter to a worker on a port
    When the adapter starts task "job:a:1" with 300 arbitrary bytes
    Then the adapter's list shows "job:a:1" as "running" on its lease
    And the adapter's stop of "job:a:1" returns its checkpoint
    And the adapter's list shows "job:a:1" as "stopped"
    And the adapter's stop of "job:b:1" raises "PlatformError"

  Scenario Outline: a malformed response raises an error of the interface
    Given an adapter to a peer that answers "<body>"
    Then the adapter's list of tasks raises "PlatformUncertain"
    And the adapter's list of instances raises "PlatformError"
    And the adapter's append raises "PlatformUncertain"

    Examples:
      | body        |
      | garbage     |
      | [1, 2]      |
      | {"a": "xy"} |

  Scenario Outline: a worker's report with an invalid field is rejected
    Given an adapter to a worker whose <kind> has "<name>" of <value>
    Then the adapter's <kind> raises "PlatformUncertain"

    Examples:
      | kind   | name           | value    |
      | report | task_id        | 5        |
      | report | lease_left_ms  | "soon"   |
      | report | lease_left_ms  | true     |
      | report | lease_left_ms  | 1.5      |
      | report | lease_left_ms  | 1e999    |
      | report | checkpoint     | null     |
      | report | phase          | "asleep" |
      | report | result         | 7        |
      | report | colour         | 1        |
      | usage  | task_class     | []       |
      | usage  | slowdown       | NaN      |
      | usage  | slowdown       | 0        |
      | usage  | cores          | "2"      |
      | usage  | cores          | -1       |
      | usage  | memory_mb      | Infinity |
      | usage  | peak_memory_mb | -5       |
      | usage  | measured_at_ms | 9223372036854775808 |

  Scenario: a worker's valid reports are accepted
    Given an adapter to a worker whose report has "reason" of "fine"
    Then the adapter's report and usage are read

  Scenario: a worker's deeply nested response is rejected
    Given an adapter to a peer that answers 100000 nested lists
    Then the adapter's list of tasks raises "PlatformUncertain"

  Scenario: the list adapter reads phases over TCP
    Given an adapter to an instance list with "i1" "live" and "w1" "leaving"
    Then the adapter's list of instances is "i1" "live" and "w1" "leaving"
