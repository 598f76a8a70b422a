Feature: The amaranthflow command

  Scenario: A reviewed change is sent and is in force
    Given a cli fleet of 1 instance
    When cli runs "review tenant.json"
    Then cli ends with 0
    And cli prints "checks: passed, would be version 1"
    And cli prints "takes effect: at once"
    And cli prints ""key": "tenant/malabar""
    When cli runs "send tenant.json" with the digest of that review
    Then cli ends with 0
    And cli prints "accepted: version 1"
    When cli runs "show tenant/malabar"
    Then cli prints "(change 2026-12-04-malabar by anju)"

  Scenario: A review changes nothing
    Given a cli fleet of 1 instance
    When cli runs "review tenant.json"
    And cli runs "show tenant/malabar"
    Then cli ends with 1
    And cli's error line has "tenant/malabar is not configured"

  Scenario: A file that was changed after its review is not sent
    Given a cli fleet of 1 instance
    When cli runs "review tenant.json"
    And cli runs "send policy.json" with the digest of that review
    Then cli ends with 2
    And cli's error line has "nothing was sent"
    And cli's instance 1 received no "SendChange"

  Scenario: Nothing is sent without a digest
    Given a cli fleet of 1 instance
    When cli runs "send tenant.json"
    Then cli ends with 2
    And cli's error line has "--digest: is required"
    And cli's instance 1 received no "SendChange"

  Scenario: Sending again after a lost reply takes effect once
    Given a cli fleet of 2 instances
    And cli's instance 1 loses its replies
    When cli runs "review tenant.json"
    And cli runs "send tenant.json" with the digest of that review
    Then cli ends with 3
    And cli's error line has "may have run: "
    And cli's instance 2 received no "SendChange"
    Given cli's instance 1 works again
    When cli runs "send tenant.json" with the digest of that review
    Then cli ends with 0
    And cli prints "accepted: version 1"

  Scenario: A booking is shown with its time until it is withdrawn
    Given a cli fleet of 1 instance
    And cli has sent "tenant.json"
    When cli runs "review booking.json"
    Then cli prints "takes effect: 2026-12-31T00:00:00.000Z"
    Given cli has sent "booking.json"
    When cli runs "show"
    Then cli prints "booked 2026-12-31T00:00:00.000Z: {"
    Given cli has sent "withdraw.json"
    When cli runs "show"
    Then cli does not print "booked"

  Scenario: A change that the checks refuse is not accepted
    Given a cli fleet of 1 instance
    When cli runs "review booking.json"
    Then cli ends with 1
    And cli prints "checks: refused, tenant/malabar is at version 0"
    When cli runs "send booking.json" with the digest of that review
    Then cli ends with 1
    And cli prints "not run: tenant/malabar is at version 0"

  Scenario: Every example file is valid
    Given a cli fleet of 1 instance
    Then cli reviews every example of a first change as passed

  Scenario Outline: Invalid usage gives one line and exit code 2
    Given a cli fleet of 1 instance
    When cli runs "<command>"
    Then cli ends with 2
    And cli's error line has "<problem>"

    Examples:
      | command                             | problem                      |
      | review none.json                    | No such file                 |
      | submit tenant.json                  | no field named "change"      |
      | review job.json                     | no field named "job"         |
      | status --address localhost:1        | --address (AMARANTHFLOW_ADDR |
      | status --address ,                  | is required                  |
      | show --address 127.0.0.1:65536      | is not IP:PORT               |
      | jobs                                | --tenant (AMARANTHFLOW_TENAN |
      | job j1                              | --tenant (AMARANTHFLOW_TENAN |
      | call s --payload x --tenant t       | --http-address (AMARANTHFLOW |

  Scenario: A job is submitted, shown, listed and cancelled
    Given a cli fleet of 1 instance
    And cli's instance 1 runs job "hides-2026-49" on worker "k1-01"
    When cli runs "submit job.json"
    Then cli prints "accepted: job hides-2026-49, running"
    When cli runs "job hides-2026-49 --tenant malabar"
    Then cli prints "worker:     k1-01"
    When cli runs "jobs --tenant malabar"
    Then cli prints "hides-2026-49  running  2        1          k1-01"
    When cli runs "cancel hides-2026-49 --tenant malabar"
    Then cli ends with 0
    And cli's instance 1 received job "hides-2026-49" of "malabar" to cancel

  Scenario Outline: The exit code shows the verdict on a refused job
    Given a cli fleet of 1 instance
    And cli's instance 1 answers "SubmitJob" with "<verdict>" and "log lost"
    When cli runs "submit job.json"
    Then cli ends with <code>
    And cli prints "<text>"

    Examples:
      | verdict      | code | text                   |
      | NOT_RUN      | 1    | not run: log lost      |
      | MAY_HAVE_RUN | 3    | may have run: log lost |

  Scenario: An unknown job is reported
    Given a cli fleet of 1 instance
    And cli's instance 1 knows no job
    When cli runs "job j1 --tenant malabar"
    Then cli ends with 1
    And cli prints "unknown job"

  Scenario: Decisions are shown oldest first
    Given a cli fleet of 1 instance
    And cli's instance 1 explains "j1" by "evicted" after "placed"
    When cli runs "explain j1"
    Then cli lists "placed" before "evicted"

  Scenario: Percentiles are shown for each tenant and class
    Given a cli fleet of 1 instance
    And cli's instance 1 has a latency row
    When cli runs "latency"
    Then cli prints "malabar  plan   12     3.5     9.2     9.9       11.0"

  Scenario: Control characters of a reply do not reach the terminal
    Given a cli fleet of 1 instance
    And cli's instance 1 answers "SubmitJob" with "NOT_RUN" and an escape
    When cli runs "submit job.json"
    Then cli prints "not run: ?[2Jgone"

  Scenario Outline: JSON output can be read by a program
    Given a cli fleet of 1 instance
    When cli runs "<command> --json"
    Then cli prints JSON with "<path>"

    Examples:
      | command            | path               |
      | status             | instance_id        |
      | review tenant.json | reply.accepted     |
      | show               | entries            |

  Scenario: Status queries all instances
    Given a cli fleet of 3 instances
    And cli's instance 2 is stopped
    When cli runs "status"
    Then cli ends with 0
    And cli prints "instance i1"
    And cli prints "instance i3"
    And cli's error line has "refuses connections"

  Scenario Outline: No instance is reachable
    Given a cli fleet of 1 instance
    And cli's instance 1 is stopped
    When cli runs "<command>"
    Then cli ends with 4
    And cli's error line has "not run: no instance accepted it"

    Examples:
      | command |
      | show    |
      | status  |
