Feature: Adapter to the users' platform

  Scenario: The folder platform does not shadow the standard library's module
    When a program is started by a script in the folder "platform"
    Then it imports the standard library's platform module

  Scenario: Settings rendered from the template are read
    Given platform settings as the template renders them
    When the platform settings are loaded
    Then the instance is "edge-z-1" with callers at "10.1.0.13:8161"

  Scenario Outline: An error about invalid settings names the setting
    Given platform settings as the template renders them
    And platform setting "<name>" is <value>
    When the platform settings are loaded
    Then they are refused, naming "<name>"

    Examples:
      | name            | value     |
      | callers_address | "nowhere" |
      | grace_s         | 0         |
      | hold_max_ms     | "long"    |
      | seeds           | null      |
      | surprise        | 1         |

  Scenario: A job is decoded into the scheduler's types
    When job body '{"spec":"s","steps":[{"count":2,"cpu":500,"mem_mb":64,"perpetual":true,"fills":true,"speculative":true,"affinity":"r1","anti_affinity":3,"may_miss":1,"requirements":"a","new_field":1}],"times":0}' is decoded
    Then step 0 has service, opportunistic and backups set
    And step 0 has data on rack "r1", 3 on a worker, 1 unavailable, label "a"

  Scenario Outline: A malformed job is refused with a reason
    When job body '<body>' is decoded
    Then it is refused as a bad request

    Examples:
      | body                                         |
      | {                                            |
      | []                                           |
      | {"steps":[]}                                 |
      | {"steps":[{"count":0}]}                      |
      | {"steps":[{"count":"2"}]}                    |
      | {"steps":[{"count":1,"cpu":-1}]}             |
      | {"steps":[{"count":1,"after":[0]}]}          |
      | {"steps":[{"count":99999}]}                  |
      | {"spec":5,"steps":[{"count":1}]}             |

  Scenario Outline: An invalid worker entry is ignored
    When worker entry '<value>' is decoded
    Then there is no worker entry

    Examples:
      | value                                                                             |
      | nonsense                                                                          |
      | {"service":"s","address":"10.2.0.7:80","zone":"z","state":"odd","capacity":{"cpu":1,"mem_mb":1}} |
      | {"service":"s","zone":"z","state":"ready","capacity":{"cpu":1,"mem_mb":1}}         |
      | {"service":"s","address":"10.2.0.7:80","zone":"z","state":"ready"}                         |
      | {"service":7,"address":"10.2.0.7:80","zone":"z","state":"ready","capacity":{"cpu":1,"mem_mb":1}} |

  # Such an entry ended the term of each leader, so that no job ever started.
  Scenario Outline: A worker entry with an unreadable address is ignored
    When worker entry '{"service":"s","address":"<address>","zone":"z","state":"ready","capacity":{"cpu":1,"mem_mb":1}}' is decoded
    Then there is no worker entry

    Examples:
      | address                                                                |
      |                                                                        |
      | 127.0.0..9:8080                                                        |
      | 10.2.0.7                                                               |
      | worker-7.example:8080                                                  |
      | aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa:80 |
      | 10.2.0.7:                                                              |
      | 10.2.0.7:0                                                             |
      | 10.2.0.7:70000                                                         |
      | 10.2.0.7:²                                                             |
      | 10.2.0.7:9 x 5000                                                      |

  # An entry of another writer whose exception ended the term of each leader, or
  # whose numbers and id raised it later.
  Scenario Outline: An odd worker entry is ignored
    When worker entry '{"service":"s","address":"10.2.0.7:80","zone":"z","state":"ready","capacity":{"cpu":1,"mem_mb":1}<more>}' of worker "<key>" is decoded
    Then there is no worker entry

    Examples:
      | key        | more                                         |
      | i-1        | ,"x":[ x 100000                              |
      | i-1        | ,"x":{"a": x 100000                          |
      | i-1        | ,"capacity":{"cpu":9 x 400,"mem_mb":1}       |
      | i-1        | ,"capacity":{"cpu":-1,"mem_mb":1}            |
      | i-1        | ,"born":9 x 400                              |
      | i-1        | ,"born":-1                                   |
      | i-1        | ,"remaining_ms":1e308                        |
      | i-1        | ,"labels":[1]                                |
      | i-1\r\nA:b |                                              |
      | ü          |                                              |

  Scenario: A worker entry with an unknown field is used
    When worker entry '{"service":"s","address":"10.2.0.7:80","zone":"z","state":"ready","capacity":{"cpu":1,"mem_mb":1},"x":[[1]]}' of worker "i-1" is decoded
    Then there is a worker entry

  # UnicodeError and ValueError of the address ended the caller's loop.
  Scenario Outline: A call to an unreadable address has no effect
    When "<address>" is called
    Then the call ends as not done

    Examples:
      | address              |
      | 127.0.0..9:8080      |
      | 127.0.0.9:9 x 5000   |
      | 127.0.0.9            |
      | worker-7.example:80  |

  Scenario: A worker's report is decoded
    When report '{"clock_ms":5,"born":7,"running":[["5c0e7a21d94b36f8.0.1.17",2,"ab",41,12]],"finished":[[58,"5c0e7a21d94b36f8.0.1.9",1,"lapsed",""]]}' is decoded
    Then the report has a run at 41 percent with gauge 12 and an end numbered 58

  # Its worker's reports could not be read, and its leases were not renewed.
  Scenario: A run of a job whose id has dots is decoded
    When report '{"clock_ms":5,"born":7,"running":[["a.b.0.1.17",2,"",41]]}' is decoded
    Then the report has a run of job "a.b"

  Scenario: A malformed report leaves the outcome uncertain
    When report '{"clock_ms":5,"born":7,"finished":[[1,"x","y"]]}' is decoded
    Then the outcome of the call is uncertain

  # The names and numbers of such a report ended the term of each leader.
  Scenario Outline: An odd report leaves the outcome uncertain
    When report '<body>' is decoded
    Then the outcome of the call is uncertain

    Examples:
      | body                                                                          |
      | {"clock_ms":5,"born":7,"x":[ x 100000                                         |
      | {"clock_ms":5,"born":7,"running":[["a.0.0.0","2","",1]]}                      |
      | {"clock_ms":5,"born":7,"running":[["a.0.0.0",2,7,1]]}                         |
      | {"clock_ms":5,"born":7,"running":[["a.0.0.0",2,"","nan"]]}                    |
      | {"clock_ms":5,"born":7,"running":[["a.0.0.9 x 5000",2,"",1]]}                 |
      | {"clock_ms":5,"born":7,"running":[["a.0.0.0",9 x 400,"",1]]}                  |
      | {"clock_ms":5,"born":7,"running":[[{},2,"",1]]}                               |
      | {"clock_ms":5,"born":7,"finished":[["1","a.0.0.0",1,"done",""]]}              |
      | {"clock_ms":5,"born":7,"finished":[[1,"a.0.0.0",1,"gone",""]]}                |
      | {"clock_ms":9 x 400,"born":7}                                                 |

  Scenario: Configurations are decoded and other records ignored
    Then the decoded configuration has 2 queues and the longest prefix wins
    And a configuration record "nonsense" is ignored
    And a configuration record "{"version":1,"routes":[],"services":[],"x":[ x 100000" is ignored

  Scenario Outline: Statuses of the store are mapped to outcomes
    Given a store that responds <status> with '<body>'
    When a record is appended
    Then the append ends as <outcome>

    Examples:
      | status | body                                  | outcome     |
      | 200    | {"offset":840,"end":842}              | offset 840  |
      | 412    | {"end":9}                             | a conflict  |
      | 409    | {"reason":"fenced"}                   | a conflict  |
      | 429    | {}                                    | not done    |
      | 503    | {}                                    | not done    |
      | 507    | {}                                    | not done    |
      | 500    | {}                                    | uncertain   |
      | 200    | garbage                               | uncertain   |

  Scenario: A call of a store that never responds times out
    Given a store that never responds
    When a record is appended
    Then the append ends as uncertain

  # One odd record ended the reader's loop, or made the whole table unreadable.
  Scenario Outline: An odd record of a table does not hide the others
    Given a store that lists an odd record <odd> before a sound one
    When the newest records are listed
    Then the sound record is among them

    Examples:
      | odd                                             |
      | {"key":"Ω","value":"dg==","offset":0}           |
      | {"key":"a","value":"dg","offset":0}             |
      | {"key":"a","value":null,"offset":0}             |
      | {"key":7,"value":"dg==","offset":0}             |
      | {"key":"a","value":"dg==","offset":"0"}         |
      | [ x 100                                         |

  # The key went into the next page's query as it was.
  Scenario Outline: A table is listed on after a page that ends with an odd key
    Given a store whose first page ends with the key "<key>"
    When the newest records are listed
    Then the second page was asked for after "<key>"

    Examples:
      | key     |
      | a&b=c d |
      | Ω       |
      | a#%     |

  # A frame without a key ended every read of the table at its offset.
  Scenario Outline: A malformed record of a table does not hide the others
    Given a store whose table has the framed record <frame> before a sound one
    When the table is read from 5
    Then the sound record is read at 6

    Examples:
      | frame                |
      | 00000000             |
      | 00000001 05          |
      | 00000003 05 61 62    |
      | 00000001 00          |

  # Each idle connection that had become silent cost the next call a timeout, so
  # that a read of the configuration could fail several times in a row.
  Scenario: A timeout closes the other idle connections
    Given a store whose open connections become silent after 4 calls at a time
    When calls are made one after the other
    Then only the first of them times out

  Scenario: A table that arrives slowly is read completely
    Given a store that sends a table's page in 5 pieces, one each 0.3 s
    When the newest records are read
    Then 1 record is read

  Scenario: A read of a page that stops arriving times out
    Given a store that sends 2 of the 5 pieces of a table's page
    When the newest records are read
    Then the read ends as uncertain

  Scenario: An append to a store that does not listen has no effect
    Given no store
    When a record is appended
    Then the append ends as not done

  Scenario: Records are framed in the store's format and read back
    Given a store that returns the records it was sent
    When a record is appended
    And the table is read from 5
    Then record 5 has the key and value that were appended

  Scenario Outline: Responses of a worker are mapped to refusals
    Given a worker that responds <status> with '<body>'
    When a run is started there
    Then the start ends as <outcome>

    Examples:
      | status | body                                | outcome           |
      | 200    | {"clock_ms":12}                     | clock 12          |
      | 409    | {"clock_ms":1,"reason":"fence"}     | refused token     |
      | 409    | {"clock_ms":1,"reason":"old"}       | refused old       |
      | 409    | {"clock_ms":1,"reason":"late"}      | refused late      |
      | 409    | {"clock_ms":1,"reason":"room"}      | refused room      |
      | 409    | {"clock_ms":1,"reason":"ticket"}    | refused ticket    |
      | 409    | {"clock_ms":1,"reason":"new word"}  | uncertain         |
      | 421    | {}                                  | refused other-life |
      | 400    | {}                                  | refused invalid   |
      | 503    | {}                                  | refused unhealthy |
      | 500    | {}                                  | uncertain         |

  Scenario Outline: Callers' requests get the platform's statuses
    Given a job handler with a queue at "jobs.example/jobs/"
    And its node <state>
    When a caller sends "<request>" with body '<body>'
    Then the caller gets <status>

    Examples:
      | state                    | request                              | body                   | status |
      | accepts                  | POST /jobs/5c0e7a21d94b36f8          | {"steps":[{"count":1}]} | 200    |
      | accepts                  | POST /jobs/5c0e7a21d94b36f8          | {"steps":              | 400    |
      | accepts                  | POST /jobs/nohexid                   | {"steps":[{"count":1}]} | 400    |
      | accepts                  | POST /other/5c0e7a21d94b36f8         | {"steps":[{"count":1}]} | 404    |
      | accepts                  | PUT /jobs/5c0e7a21d94b36f8           | {}                     | 405    |
      | refuses                  | POST /jobs/5c0e7a21d94b36f8          | {"steps":[{"count":1}]} | 503    |
      | does not know            | POST /jobs/5c0e7a21d94b36f8          | {"steps":[{"count":1}]} | 504    |
      | has no configuration     | POST /jobs/5c0e7a21d94b36f8          | {"steps":[{"count":1}]} | 503    |
      | knows the job            | GET /jobs/5c0e7a21d94b36f8           |                        | 200    |
      | knows no job             | GET /jobs/5c0e7a21d94b36f8           |                        | 410    |
      | knows no job             | DELETE /jobs/5c0e7a21d94b36f8        |                        | 410    |
      | knows the job            | DELETE /jobs/5c0e7a21d94b36f8        |                        | 200    |
      | knows the job            | GET /jobs/                           |                        | 200    |

  Scenario Outline: A refusal names the time after which to retry
    Given a job handler with a queue at "jobs.example/jobs/"
    And its node <state>
    When a caller sends "POST /jobs/5c0e7a21d94b36f8" with body '{"steps":[{"count":1}]}'
    Then the caller gets 503
    And the caller gets <seconds> s as the time after which to retry

    Examples: no right to accept, and no room
      | state   | seconds |
      | refuses | 2       |
      | is full | 5       |

  Scenario Outline: The client timeout is read from the request
    Given a job handler with a queue at "jobs.example/jobs/"
    And its node accepts
    When a caller with a deadline of "<deadline>" ms submits a job
    Then the client timeout is <seconds> s

    Examples:
      | deadline     | seconds |
      | 1500         | 1.5     |
      | soon         | 3.0     |
      | 999999999999 | 3.0     |

  Scenario Outline: Malformed requests close only their connection
    Given an HTTP server with a limit of 100 bytes
    When a client sends it the bytes "<bytes>"
    Then the client gets status <status> and the connection ends
    And the next valid request is answered

    Examples:
      | bytes                                                            | status |
      | \x00\x01\x02 nonsense\r\n\r\n                                    | 400    |
      | POST / HTTP/1.1\r\nContent-Length: 200\r\n\r\n{200}              | 413    |
      | GET / HTTP/1.1\r\nX: {20000}\r\n\r\n                             | 431    |

  Scenario: Requests on one connection are answered in order
    Given an HTTP server with a limit of 100 bytes
    When a client sends it two requests at once
    Then it gets both responses in order

  Scenario: A draining server responds and closes the connection
    Given an HTTP server with a limit of 100 bytes
    And it drains
    When a client sends it a request
    Then the response announces that the connection closes

  Scenario Outline: The times of a queue's adviser are decoded: <advice>
    When a configuration of a queue with advice <advice> is decoded
    Then the queue needs an adviser that decides in <decide> and <each> ms, for <valid> ms

    Examples:
      | advice                                           | decide | each | valid |
      | {"decide_ms":400,"each_ms":100,"valid_ms":60000} | 400    | 100  | 60000 |
      | {"each_ms":4.6}                                  | 0      | 5    | 0     |
      | {}                                               | 0      | 0    | 0     |
      | {"decide_ms":"soon"}                             | 0      | 0    | 0     |
      | {"decide_ms":-1}                                 | 0      | 0    | 0     |
      | "later"                                          | 0      | 0    | 0     |

  Scenario: Tickets of the adviser are decoded
    Given an adviser that responds 200 with '{"good":[["i-1","c81e"]],"valid_ms":3000}'
    When it is asked about 2 workers
    Then the ticket of "i-1" is "c81e" for 3000 ms

  Scenario Outline: A failing or invalid response of the adviser gives no advice
    Given an adviser that responds <status> with '<body>'
    When it is asked about 2 workers
    Then there is no advice

    Examples:
      | status | body         |
      | 429    | {}           |
      | 200    | {"good":[1]} |
      | 200    | {"good":[],"valid_ms":9 x 400} |
      | 200    | {"x":[ x 100000 |

  Scenario: A link is not connected until the worker has reported
    Given a worker that responds 421 with '{}'
    When its leases are renewed twice
    Then its link is not connected and used 1 connection
