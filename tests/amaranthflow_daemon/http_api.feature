Feature: HTTP API

  Background:
    Given an entry instance on loopback with tenants "tenant-a" and "tenant-b"

  Scenario Outline: an invalid job is refused with its reason
    When job '<body>' is posted for "tenant-a"
    Then the HTTP API answers <status>, not run, with "<reason>"
    And the HTTP API still serves requests

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
    When a job of 100000 nested lists is posted
    Then the HTTP API answers 400, not run, with ""
    And the HTTP API still serves requests

  Scenario: a job over its tenant's quota is refused
    When job '{"task_class": "t", "cores": 5}' is posted for "tenant-b"
    Then the HTTP API answers 400, not run, with "quota"

  Scenario: a job of an unknown tenant is refused
    When job '{"task_class": "t"}' is posted for "nobody"
    Then the HTTP API answers 403, not run, with "unknown tenant"

  Scenario: a body over the limit is refused
    When a job of 2000000 bytes is posted
    Then the HTTP API answers 413, not run, with ""
    And the HTTP API still serves requests

  Scenario: a job id is bound to its tenant and its content
    When job '{"job_id": "j", "task_class": "t"}' is posted for "tenant-a"
    Then the HTTP API answers 202
    When job '{"job_id": "j", "task_class": "t"}' is posted for "tenant-a"
    Then the HTTP API answers 202
    When job '{"job_id": "j", "task_class": "u"}' is posted for "tenant-a"
    Then the HTTP API answers 409, not run, with "another job has this id"
    When the HTTP API gets "GET" "/v1/jobs/j" from "tenant-b"
    Then the HTTP API answers 404, not run, with "unknown job"
    And the HTTP API discloses nothing about "tenant-a"
    When the HTTP API gets "DELETE" "/v1/jobs/j" from "tenant-b"
    Then the HTTP API answers 404, not run, with "unknown job"
    When job '{"job_id": "j", "task_class": "u"}' is posted for "tenant-b"
    Then the HTTP API answers 202

  Scenario Outline: another tenant's service is reported as unknown
    When the HTTP API gets "POST" "/v1/services/<service>/call" from "<tenant>"
    Then the HTTP API answers 404, not run, with "unknown service"
    And the HTTP API discloses nothing about "tenant-a"

    Examples:
      | service | tenant   |
      | plans   | tenant-b |
      | none    | tenant-b |
      | plans   | nobody   |

  Scenario Outline: an invalid header is refused
    When the HTTP API is called with header "<name>" of "<value>"
    Then the HTTP API answers 400, not run, with "<name>"
    And the HTTP API still serves requests

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
    When the HTTP API is called with a timeout of 5000 digits
    Then the HTTP API answers 400, not run, with "X-Timeout-Ms"
    And the HTTP API still serves requests

  Scenario Outline: a request without a handler is answered with a verdict
    When the HTTP API gets "<method>" "<path>" from "tenant-a"
    Then the HTTP API answers <status>, not run, with ""

    Examples:
      | method | path     | status |
      | GET    | /nowhere | 404    |
      | PUT    | /v1/jobs | 405    |

  Scenario: an error in the daemon is answered with a verdict
    When the HTTP API's router fails
    Then the HTTP API answers 500 and that the request may have run

  Scenario: an undecodable log entry does not stop the instance
    When undecodable entries are appended to the instance's log
    Then the HTTP API still serves requests
    And the instance has set aside 2 records
