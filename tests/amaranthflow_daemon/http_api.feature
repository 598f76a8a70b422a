Feature: entry

  Background:
    Given an entry instance on loopback with tenants "tenant-a" and "tenant-b"

  Scenario Outline: a bad job is refused with its reason
    When entry job '<body>' is submitted for "tenant-a"
    Then the entry answers <status>, not run, with "<reason>"
    And the entry still serves

    Examples:
      | body                                                  | status | reason       |
      | {"task_class"                                         | 400    | not JSON     |
      | [1]                                                   | 400    | JSON object  |
      | {"task_class": "t", "colour": 1}                      | 400    | colour       |
      | {"task_class": "t", "cores": "2"}                     | 400    | cores        |
      | {"task_class": "t", "cores": true}                    | 400    | cores        |
      | {"task_class": "t", "cores": null}                    | 400    | cores        |
      | {"task_class": "t", "cores": -1}                      | 400    | cores        |
      | {"task_class": "t", "cores": NaN}                     | 400    |              |
      | {"task_class": "t", "cores": 1e400}                   | 400    |              |
      | {"task_class": "t", "memory_mb": -1}                  | 400    | memory_mb    |
      | {"task_class": "t", "memory_mb": 1.5}                 | 400    | memory_mb    |
      | {"task_class": "t", "memory_mb": 99999999999999999999999} | 400 |             |
      | {"task_class": "t", "accelerators": 4294967296}       | 400    | accelerators |
      | {"task_class": "t", "run_ms": -5}                     | 400    | run_ms       |
      | {"task_class": "t", "idempotent": "yes"}              | 400    | idempotent   |
      | {"task_class": "t", "idempotent": 1}                  | 400    | idempotent   |
      | {"task_class": "t", "job_id": 0}                      | 400    | job_id       |
      | {"task_class": "t", "job_id": ["a"]}                  | 400    | job_id       |
      | {"task_class": "t", "job_id": "a/b"}                  | 400    | job_id       |
      | {"task_class": 7}                                     | 400    | task_class   |
      | {"cores": 1}                                          | 400    | task_class   |
      | {"task_class": "t", "payload": "%%"}                  | 400    | payload      |
      | {"task_class": "t", "payload": 5}                     | 400    | payload      |
      | {"task_class": "t", "cores": 33}                      | 400    | fits no worker |
      | {"task_class": "t", "memory_mb": 18446744073709551615} | 400   | fits no worker |

  Scenario: a deeply nested body is refused
    When an entry job of 100000 nested lists is submitted
    Then the entry answers 400, not run, with ""
    And the entry still serves

  Scenario: a job over its tenant's quota is refused
    When entry job '{"task_class": "t", "cores": 5}' is submitted for "tenant-b"
    Then the entry answers 400, not run, with "quota"

  Scenario: a job of an unknown tenant is refused
    When entry job '{"task_class": "t"}' is submitted for "nobody"
    Then the entry answers 403, not run, with "unknown tenant"

  Scenario: a body over the limit is refused
    When an entry job of 2000000 bytes is submitted
    Then the entry answers 413, not run, with ""
    And the entry still serves

  Scenario: a job id belongs to its tenant and its content
    When entry job '{"job_id": "j", "task_class": "t"}' is submitted for "tenant-a"
    Then the entry answers 202
    When entry job '{"job_id": "j", "task_class": "t"}' is submitted for "tenant-a"
    Then the entry answers 202
    When entry job '{"job_id": "j", "task_class": "u"}' is submitted for "tenant-a"
    Then the entry answers 409, not run, with "another job has this id"
    When the entry is asked to "GET" "/v1/jobs/j" for "tenant-b"
    Then the entry answers 404, not run, with "unknown job"
    And the entry names nothing of "tenant-a"
    When the entry is asked to "DELETE" "/v1/jobs/j" for "tenant-b"
    Then the entry answers 404, not run, with "unknown job"
    When entry job '{"job_id": "j", "task_class": "u"}' is submitted for "tenant-b"
    Then the entry answers 202

  Scenario Outline: another tenant's service is as unknown as none
    When the entry is asked to "POST" "/v1/services/<service>/call" for "<tenant>"
    Then the entry answers 404, not run, with "unknown service"
    And the entry names nothing of "tenant-a"

    Examples:
      | service | tenant   |
      | plans   | tenant-b |
      | none    | tenant-b |
      | plans   | nobody   |

  Scenario Outline: a bad header is refused
    When the entry is called with header "<name>" of "<value>"
    Then the entry answers 400, not run, with "<name>"
    And the entry still serves

    Examples:
      | name         | value   |
      | X-Tenant     |         |
      | X-Tenant     | a/b     |
      | X-Idempotent | yes     |
      | X-Timeout-Ms | -1      |
      | X-Timeout-Ms | 1.5     |
      | X-Timeout-Ms | NaN     |
      | X-Timeout-Ms | 3600001 |
      | X-Request-Id | a b     |

  Scenario: a header of thousands of digits is refused
    When the entry is called with a timeout of 5000 digits
    Then the entry answers 400, not run, with "X-Timeout-Ms"
    And the entry still serves

  Scenario Outline: what has no handler is answered with a verdict
    When the entry is asked to "<method>" "<path>" for "tenant-a"
    Then the entry answers <status>, not run, with ""

    Examples:
      | method | path     | status |
      | GET    | /nowhere | 404    |
      | PUT    | /v1/jobs | 405    |

  Scenario: an error in the daemon is answered with a verdict
    When the entry's router fails
    Then the entry answers 500 and that the request may have run

  Scenario: an undecodable log entry stops nothing
    When the entry's log takes undecodable entries
    Then the entry still serves
    And the entry has set aside 2 records
