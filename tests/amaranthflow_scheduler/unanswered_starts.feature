Feature: Starts without an answer that a worker may still execute

  Scenario Outline: A task starts on no other worker while a start of it may be executed: <kind>
    Given workers "w1" and "w2", and a <kind> whose start on "w1" at 2 s is not answered
    When "w1" reports no more, accepts its stop at 4 s and lists nothing
    Then the task starts on "w2" from second <second> on

    Examples: the age of the start and the longest lease, 6.27 s
      | kind             | second |
      | task             | 20.3   |
      | gang             | 11.8   |
      | service          | 10.3   |
      | speculative task | 4.0    |

  Scenario: A service whose start cannot be executed now starts on its worker again
    Given workers "w1" and "w2", and a service whose start on "w1" at 2 s is not answered
    When "w1" accepts its stop and answers other starts
    Then the task starts on "w1" at once

  # review/7: a further start was done, and the next incarnation executed the
  # first one.
  Scenario Outline: A task has no other start while a later incarnation may execute the first one: <kind>, "w1" <event>
    Given workers "w1" and "w2", and a <kind> whose start on "w1" at 2 s is not answered
    When "w1" <event>
    Then the task has no other start until second 13.9
    And the task starts again from second 14 on

    Examples: the age of the start
      | kind | event                            |
      | task | accepts its stop and answers other starts |
      | gang | accepts its stop and answers other starts |
      | task | restarts and is fenced           |
      | gang | restarts and is fenced           |
      | task | restarts twice and is fenced     |

  Scenario: A task waits while a restarted worker is not fenced
    Given workers "w1" and "w2", and a task whose start on "w1" at 2 s is not answered
    When "w1" restarts and is not fenced
    Then the task has no other start until second 2.5

  Scenario: A run whose start was not answered goes on once its worker lists it
    Given workers "w1" and "w2", and a task whose start on "w1" at 2 s is not answered
    When "w1" is asked and lists the run
    Then the run goes on without a stop
    And the task is bound to no worker

  Scenario Outline: A run on a restarted worker ends no binding to a start that may outlast it: <later>
    Given workers "w1" and "w2", and a service whose start on "w1" at 2 s is not answered
    When "w1" accepts its stop and answers other starts
    And its next start is answered
    And "w1" <later>
    Then the task <outcome>

    Examples:
      | later                  | outcome                               |
      | restarts and is fenced | starts on "w2" from second 4 on       |
      | reports no more        | starts on "w2" from second 10.3 on    |

  Scenario: The next leader knows a start that may be executed though its run is gone
    Given workers "w1" and "w2", and a task whose start on "w1" at 2 s is not answered
    When "w1" reports no more, accepts its stop at 4 s and lists nothing
    And another leader is elected at 5 s, to which only "w2" reports
    Then the task starts on "w2" from second 23.3 on

  Scenario Outline: The next leader knows a copy of a start whose run goes on: <outcome>
    Given workers "w1" and "w2", and a service whose start on "w1" at 2 s is not answered
    When the start is sent again at 2.35 s, and <outcome>
    And another leader is elected and "w1" lists the run
    Then the task is still bound to "w1"

    Examples:
      | outcome      |
      | answered     |
      | not answered |

  Scenario: A worker that answers stops, but no starts, gets no further start of a task
    Given workers "w1" and "w2", and a task whose start on "w1" at 2 s is not answered
    When "w1" answers stops and reports, but no starts, for 40 s
    Then the starts of the task were on "w1 w2", the last one from second 14 on

  Scenario: A bound service does not start again at once on a worker that refuses its starts
    Given workers "w1" and "w2", and a service whose start on "w1" at 2 s is not answered
    When "w1" accepts its stop and answers other starts
    And "w1" refuses the further starts of the task for 2 s
    Then the task has had at most 8 starts on "w1"

  Scenario: A run is not stopped for another worker while its task is bound
    Given workers "w1" and "w2", and a service whose start on "w1" at 2 s is not answered
    When "w1" accepts its stop and answers other starts
    And its next start is answered
    And "w1" drains
    Then the run goes on there until its task is free, and on "w2" then

  Scenario: Members of a gang on one worker start together once no first start can be executed
    Given workers "w1" and "w2", and a gang with two members on "w1", whose starts at 2 s are not answered
    When "w1" accepts its stop and answers other starts
    Then no member has another start until second 13.9
    And all members start together from second 14 on

  Scenario: A worker that answers no command gets no further start of a task
    Given workers "w1" and "w2", and a task whose start on "w1" at 2 s is not answered
    When "w1" answers reports only, for 20 s
    Then the starts of the task were on "w1 w2", the last one from second 14 on

  Scenario: A run of a cancelled job is stopped by each incarnation that lists it
    Given workers "w1" and "w2", and a service whose start on "w1" at 2 s is not answered
    When its job is cancelled and "w1" accepts the stop
    And "w1" restarts and lists the run
    Then "w1" is told to stop the run

  Scenario Outline: A start that had no effect binds no task: <what> at 2 s
    Given workers "w1" and "w2", and a task of which <what> at 2 s
    Then the task starts on "w2" at once
    And the task is bound to no worker

    Examples:
      | what                            |
      | a start finds no room on "w1"  |
      | a start cannot be sent to "w1" |

  Scenario: A task that is bound to two workers starts on neither
    Given workers "w1" and "w2", and a task whose start on "w1" at 2 s is not answered
    When "w1" accepts its stop and answers other starts
    And a start of the task on "w2" at 2 s may be executed as well
    Then the task has no other start until second 13.9

  Scenario: A task does not start on its worker once that belongs to another service
    Given workers "w1" and "w2", and a task whose start on "w1" at 2 s is not answered
    When "w1" accepts its stop and answers other starts
    And "w1" belongs to another service
    Then the task starts on "w2" from second 14 on

  Scenario: A report of an incarnation that is not fenced ends no binding
    Given workers "w1" and "w2", and a task whose start on "w1" at 2 s is not answered
    When "w1" reports no more, accepts its stop at 4 s and lists nothing
    And "w1" restarts at 13 s and is not fenced
    Then the task has no other start until second 20

  Scenario: The end of a run whose start was not answered frees its task
    Given workers "w1" and "w2", and a task whose start on "w1" at 2 s is not answered
    When "w1" lists the end of the run as stopped
    Then the task is bound to no worker

  Scenario: A replaced worker cannot execute a start
    Given workers "w1" and "w2", and a task whose start on "w1" at 2 s is not answered
    When another worker answers at the address of "w1"
    Then the task starts on "w2" at once
