Feature: Clients outside the limits do not end the daemon

  Each scenario starts one daemon on loopback ports and a crowd of connections,
  which stay open until the checks are done. A body may have 262144 bytes. No
  check depends on the machine's speed.

  Scenario Outline: A crowd at the daemon's callers' server
    Given a daemon that may use 112 MB and 256 descriptors
    When <crowd> clients of the daemon send <what>
    Then the daemon runs, and used at most 112 MB and 256 descriptors
    And the daemon answers its readiness check and a query

    Examples:
      | crowd | what                       |
      | 24    | a header value without end |
      | 24    | a path without end         |
      | 24    | a trailer without end      |
      | 64    | many short headers         |
      | 300   | empty lines without end    |
      | 300   | nothing                    |
      | 8     | 15000 bare requests ahead  |
      | 240   | a body in large chunks     |
      | 240   | a body of known length     |
      | 8     | a body in chunks of 2 bytes |

  Scenario: A body for which the daemon has no memory is refused as not run
    Given a daemon that may use 112 MB and 256 descriptors
    When 60 clients of the daemon send a body of known length
    Then some of them got 429 and "not run", the others no response yet

  Scenario Outline: A single caller within the limits is served
    Given a daemon that may use 112 MB and 256 descriptors
    When a caller of the daemon sends a job of the maximum size <how>
    Then the caller of the daemon got 403 and "unknown tenant"

    Examples:
      | how                  |
      | of known length      |
      | in chunks of 2 bytes |

  Scenario: A crowd at the daemon's address for other instances
    Given a daemon that may use 112 MB and 256 descriptors
    When 300 clients of the daemon's peer address send nothing
    Then the daemon runs, and used at most 112 MB and 256 descriptors
    And the daemon answers its readiness check and a query

  Scenario Outline: A crowd of calls at the daemon's address for other instances
    Given a daemon that may use 112 MB and 256 descriptors
    When <crowd> clients of the daemon's peer address send <what>
    Then the daemon runs, and used at most 112 MB and 256 descriptors
    And the daemon answers its readiness check and a query
    And the daemon answers another instance's heartbeat and its largest request

    Examples:
      | crowd | what                                                          |
      | 8     | 8 calls of Peer/Execute with 4000000 bytes of 4000001         |
      | 50    | 10 calls of Peer/Execute with 300000 bytes of 300001          |
      | 50    | 10 calls of Peer/Heartbeat with 300000 bytes of 300001        |
      | 50    | 10 calls of Operators/SubmitJob with 300000 bytes of 300001   |
      | 50    | 100 calls of Peer/Execute with nothing                        |
      | 50    | 200 calls of Peer/Heartbeat with nothing                      |
      | 50    | 100 calls of Peer/Execute with 6000 bytes of metadata         |
      | 50    | 100 calls of Peer/Execute with 60000 bytes of metadata        |
      | 50    | metadata without end                                          |
      | 10    | 50 calls of x/Unknown with 3000000 bytes of 3000001           |
      | 20    | 100 calls of Peer/Heartbeat with 200 unread replies           |
      | 20    | 100 calls of Peer/FetchState with 1 unread replies            |
      | 50    | 100 calls of Operators/Status with 1 unread replies           |
      | 60    | pings                                                         |
      | 100   | 1 calls of Peer/Heartbeat with nothing                        |
