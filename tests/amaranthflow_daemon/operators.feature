Feature: operators

  Background:
    Given an operators instance on loopback

  Scenario Outline: an invalid change is refused and not written
    When the operators send a change of key "<key>" with body "<body>"
    Then the operators get "<reason>", not run
    And the operators' log has no new entry
    And the operators can still send changes and read the status

    Examples:
      | key           | body           | reason             |
      | plans         | tenant         | unknown kind       |
      |               | tenant         | unknown kind       |
      | service/plans | tenant         | does not take      |
      | tenant/other  | tenant         | differs            |
      | tenant/a/b    | tenant         | wrong character    |
      | tenant/t      | none           | no body            |
      | tenant/t      | nan-weight     | weight             |
      | tenant/t      | huge-quota     | quota              |
      | tenant/t      | false-remove   | false              |
      | worker/w      | no-address     | address            |
      | worker/w      | bad-port       | address            |
      | tenant/t      | long-operator  | bytes              |
      | tenant/t      | unknown-fields | unknown field      |

  Scenario: a change with an id that was used for another is refused
    When the operators send change "c" of tenant "t" with weight 1
    Then the operators get "", completed
    When the operators send change "c" of tenant "t" with weight 2
    Then the operators get "change_id", not run

  Scenario Outline: undecodable bytes are refused
    When the operators send garbage to "<method>"
    Then the operators' call ends with "INVALID_ARGUMENT"
    And the operators can still send changes and read the status

    Examples:
      | method       |
      | SendChange   |
      | ReviewChange |
      | SubmitJob    |
      | ShowJob      |

  Scenario: a message over the limit is refused
    When the operators send a job of 5000000 bytes
    Then the operators' call ends with "RESOURCE_EXHAUSTED"
    And the operators can still send changes and read the status

  Scenario Outline: an invalid job is refused
    When the operators submit a job with "<field>" of <value>
    Then the operators get "<reason>", not run

    Examples:
      | field      | value                | reason         |
      | cores      | -1.0                 | cores          |
      | cores      | float('nan')         | cores          |
      | cores      | float('inf')         | cores          |
      | cores      | 33.0                 | fits no worker |
      | memory_mb  | 2**64-1              | fits no worker |
      | job_id     | ''                   | job_id         |
      | job_id     | 'a/b'                | job_id         |
      | tenant_id  | 'nobody'             | unknown tenant |
      | task_class | 'x' * 200            | task_class     |
      | payload    | b'x' * 70000         | payload        |

  Scenario: another tenant's job is unknown
    When the operators ask for job "none" of tenant "nobody"
    Then the operators get "unknown job", not run

  Scenario: explanations of peers are gathered concurrently, with one deadline
    Given operators' peers of which 4 answer, 20 are silent and 1 exceeds the size limit
    When the operators ask to explain "job-1"
    Then the operators have 4 explanations of peers
    And the operators' silent peers were awaited for 1 s of the fleet's clock
