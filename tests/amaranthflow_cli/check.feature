Feature: The check of a configuration before it is sent

  Scenario Outline: A configuration is checked
    Given a configuration with <edit>
    When cli checks it
    Then cli ends with <code>
    And cli prints "<text>"

    Examples: nothing to find
      | edit                     | code | text        |
      | two queues               | 0    | no findings |

    Examples: errors
      | edit                     | code | text                                                             |
      | a queue twice            | 1    | error: queue plans: is defined 2 times                           |
      | no attempts              | 1    | error: queue plans: max_attempts must be at least 1              |
      | no stretch               | 1    | error: queue plans: stretch must be positive                     |
      | a stretch below 1        | 1    | error: queue plans: no job can be on time with a stretch < 1     |
      | a negative priority      | 1    | error: queue plans: priority must not be negative                |
      | a negative target        | 1    | error: queue plans: target_ms must not be negative               |
      | an unknown service       | 1    | error: queue plans: service nowhere is not defined               |

    Examples: queues that no request can match
      | edit                     | code | text                                                             |
      | the same prefix twice    | 1    | error: queue quotes: never matches: queue plans has the same     |
      | no host                  | 1    | error: queue plans: never matches: it has no host                |
      | a host with capitals     | 1    | error: queue plans: never matches: the host of a request is      |
      | a port in a host         | 1    | error: queue plans: never matches: the port of a request is not  |
      | a prefix without a slash | 1    | error: queue plans: never matches: prefix 'plans/' does not      |
      | a query in a prefix      | 1    | error: queue plans: never matches: prefix '/plans?a/' is not     |
      | a space in a prefix      | 1    | error: queue plans: never matches: '/pl ans/' cannot occur       |
      | a prefix beyond the head | 1    | error: queue plans: never matches: its requests exceed max_head  |
      | an open prefix           | 0    | warning: queue plans: prefix '/plans' does not end with a slash  |

    Examples: limits
      | edit                     | code | text                                                             |
      | no body                  | 1    | error: limits: max_body_bytes must be positive                   |
      | a short idle timeout     | 0    | no findings                                                      |
      | a long head timeout      | 1    | error: limits: head_timeout_ms 60001 has no effect, as a request |
      | an unused service        | 0    | warning: service spare: no queue uses it                         |

  Scenario Outline: A configuration is compared with the version in force
    Given a configuration with <edit>
    When cli checks it against two queues
    Then cli ends with <code>
    And cli prints "<text>"

    Examples:
      | edit                     | code | text                                                       |
      | a new version            | 0    | no findings                                                |
      | two queues               | 1    | error: version 7: is ignored, as version 7 is in force     |
      | a longer target          | 0    | change: queue plans: target_ms changes from 250 to 500     |
      | one queue                | 0    | change: queue quotes: is removed; its jobs run on          |
      | three queues             | 0    | change: queue sorts: is added for h.example/sorts/         |
      | workers that check       | 0    | change: service s: its workers refuse what does not fit    |
      | a longer body            | 0    | change: limits: max_body_bytes changes from 4096 to 8192   |

  Scenario Outline: A file that cannot be read
    When cli checks the file "<file>"
    Then cli ends with 2
    And cli's error line has "<text>"

    Examples:
      | file                    | text                      |
      | a file without a queue  | missing required field    |
      | a file that is no JSON  | JSON is malformed         |
      | a missing file          | No such file              |

  Scenario: A decoder reads files of another format
    When cli checks a file in the platform's format
    Then cli ends with 1
    And cli prints "error: queue r: service nowhere is not defined"

  Scenario: A decoder that does not exist
    When cli checks with the decoder "amaranthflow_platform.wire:nothing"
    Then cli ends with 2
    And cli's error line has "--decoder: amaranthflow_platform.wire:nothing"

  Scenario: The findings as JSON
    Given a configuration with no attempts
    When cli checks it as JSON
    Then cli ends with 1
    And the findings name "queue plans" as "error"
