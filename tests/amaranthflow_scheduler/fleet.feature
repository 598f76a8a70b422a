Feature: Instances that schedule task graphs on a platform's store

  Background:
    Given a task fleet of 3 instances and 4 workers with seed 5

  Scenario: Steps run in order and the job completes
    When task job "a1" with steps "4x1.0 2x0.5" is accepted
    Then task job "a1" is completed within 4 s
    And the task fleet violated no invariant

  Scenario: A job that is submitted twice runs once
    When task job "a1" with steps "2x1.0" is accepted
    And task job "a1" with steps "2x1.0" is accepted
    Then task job "a1" is completed within 4 s
    And 2 task runs were started

  Scenario: Another instance adopts the runs of a killed leader
    Given task job "a1" with steps "4x6.0" is accepted
    And 1 s pass in the task fleet
    When the task fleet's leader is killed
    Then task job "a1" is completed within 9 s
    And 4 task runs were started
    And the task fleet violated no invariant

  Scenario: A new leader knows the tails that the previous one has learned
    Given the task fleet's leader has learned that "loud" disturbs "shy"
    And 3 s pass in the task fleet
    When the task fleet's leader is killed
    Then another task instance leads within 4 s
    And it knows that "loud" disturbs "shy"

  Scenario Outline: A jump of the leader's wall clock neither ends nor duplicates a run
    Given 12 s pass in the task fleet
    And task job "a1" with steps "4x6.0" is accepted
    And 1 s pass in the task fleet
    When the time of day of the task fleet's leader jumps by <seconds> s
    And 1 s pass in the task fleet
    And task job "b1" with steps "2x1.0 2x1.0" is accepted
    Then task job "b1" is completed within 4 s
    And task job "a1" is completed within 6 s
    And 8 task runs were started
    And the task fleet has had 1 term
    And the task fleet violated no invariant

    Examples:
      | seconds |
      | 9       |
      | -9      |

  Scenario: A new leader skips an unreadable record of learned tails
    Given an unreadable record of learned tails
    And task job "a1" with steps "4x3.0" is accepted
    When the task fleet's leader is killed
    Then another task instance leads within 4 s
    And task job "a1" is completed within 6 s

  Scenario: A leader without the store is replaced and its commands are rejected
    Given task job "a1" with steps "8x3.0" is accepted
    And 1 s pass in the task fleet
    When the store does not respond to the task fleet's leader
    And task job "b1" with steps "4x1.0" is accepted
    Then task job "b1" is completed within 8 s
    And task job "a1" is completed within 8 s
    And 12 task runs were started
    And the task fleet violated no invariant

  # TWICE: the leader led on beside the next one, and each started what ran on
  # workers that it did not reach.
  Scenario Outline: A leader that is cut off with some workers runs nothing twice
    Given task job "a1" with steps "6x40.0" is accepted
    And 2 s pass in the task fleet
    When the task fleet's leader is cut off with task workers "<workers>" for <seconds> s
    And task job "b1" with steps "4x1.0" is accepted
    And 14 s pass in the task fleet
    Then the task fleet violated no invariant
    And task job "b1" is completed within 1 s
    And 6 tasks run

    Examples:
      | workers  | seconds |
      | w1 w2    | 2.5     |
      | w1 w2    | 5.5     |
      | w1 w2    | 9       |
      | w1       | 5.5     |
      | w1 w2 w3 | 9       |

  # TWICE: the next leader forgot a worker once its entry had expired, and
  # started what the former leader had started there without a record.
  Scenario Outline: A worker whose entry expires may still have unrecorded runs
    Given task job "a1" with steps "4x20.0" is accepted that comes due in <due> s
    When the task fleet's leader is cut off with task workers "w1" for 9 s
    And 14 s pass in the task fleet
    Then the task fleet violated no invariant
    And 4 tasks run

    Examples:
      | due |
      | 1.5 |
      | 2   |
      | 2.4 |

  # A worker's next incarnation may have granted the longest lease.
  Scenario Outline: Restored jobs wait for a silent worker as long as its leases may last
    Given 4 s pass in the task fleet
    And task job "a1" with steps "3x20.0" is accepted that comes due in 3.5 s
    When no task instance reaches task worker "w1"
    And <what>
    And 9 s pass in the task fleet
    Then the first run of task job "a1" has started <from> to <to> s after that
    And the task fleet violated no invariant

    Examples:
      | what                                                  | from | to  |
      | all task instances are killed and restarted after 1 s | 7.2  | 7.9 |
      | the task fleet's leader is killed                     | 6.9  | 7.8 |
      | the task fleet's leader is cut off for 3 s            | 7.7  | 8.4 |

  Scenario: A leader that ends during its recovery is followed by the longest wait
    Given 4 s pass in the task fleet
    And task job "a1" with steps "3x20.0" is accepted that comes due in 3.5 s
    When no task instance reaches task worker "w1"
    And all task instances are killed and restarted after 1 s
    And 0.2 s pass in the task fleet
    And all task instances are killed and restarted after 1 s
    And 9 s pass in the task fleet
    Then the first run of task job "a1" has started 8.4 to 9.2 s after that

  # TWICE: a new job was started by the former leader, which still read the
  # table of jobs, and by the next one, which does not hold new jobs back.
  Scenario: A leader that cannot renew its term takes no new job
    Given task job "a1" with steps "2x1.0" is accepted
    When the table of leaders is lost for the task fleet's leader
    And the other instances cannot reach it and task workers "w1 w2"
    And 240 task jobs are accepted in 6 s
    And 10 s pass in the task fleet
    Then the task fleet violated no invariant
    And only another task instance leads

  # Each second renewal only found that the one before was stored.
  Scenario: A leader whose renewals are stored but not answered takes all jobs
    Given 1 s pass in the task fleet
    When the responses to renewals of the term are lost
    Then the leader may take jobs at any time within 8 s

  # The former leader sent commands while the next one was elected already.
  Scenario: A leader that resigns sends no command once it releases the term
    Given task job "a1" with steps "8x0.5 8x0.5 8x0.5 8x0.5 8x0.5" is accepted
    And the store's responses take 0.2 s more
    And 0.8 s pass in the task fleet
    When the task fleet's leader steps down
    Then no run has started since the former leader began to resign
    And task job "a1" is completed within 20 s
    And the task fleet violated no invariant

  # The renewal that was under way took the place of the resignation, which was
  # given up.
  Scenario Outline: A resignation is stored beside a renewal that is under way
    Given 1 s pass in the task fleet
    And the store's responses take 0.1 s more
    And <seconds> s pass in the task fleet
    When the task fleet's leader steps down
    Then the store has the resignation

    Examples:
      | seconds |
      | 0.5     |
      | 0.55    |
      | 0.6     |
      | 0.8     |
      | 0.95    |
      | 1       |

  # An earlier question without an answer counted for the rest of the term.
  Scenario: A leader that has not answered once hands over when it resigns later
    Given task job "a1" with steps "8x8.0" is accepted
    And the task fleet's leader does not renew its term for 0.6 s and answers no instance for 1.6 s
    And 3 s pass in the task fleet
    When task worker "w1" is disconnected
    And the task fleet's leader steps down
    Then another task instance leads within 1 s
    And it holds no job back

  # The renewal that was to come first and the regular one took the time of the
  # resignation.
  Scenario Outline: A resignation is stored while the store takes <late> s more
    Given task job "a1" with steps "8x0.5 8x0.5 8x0.5 8x0.5 8x0.5" is accepted
    And the store's responses take <late> s more
    And <seconds> s pass in the task fleet
    When the task fleet's leader steps down within 4.4 s
    Then the store has the resignation
    And another task instance leads within 1.5 s
    And the task fleet violated no invariant

    Examples:
      | late | seconds |
      | 0.2  | 1.0     |
      | 0.2  | 1.3     |
      | 0.3  | 1.0     |
      | 0.3  | 1.15    |
      | 0.3  | 1.3     |
      | 0.3  | 1.45    |

  # It led until its process was gone, and nobody knew that it did not any more.
  Scenario: An instance that is elected while it stops resigns at once
    Given 1 s pass in the task fleet
    And the store's responses take 0.2 s more
    When the task fleet's leader is killed
    And the instance that claims steps down
    Then the store has the resignation
    And another task instance leads within 3 s
    And the task fleet violated no invariant

  # Nobody could be elected, and all leases expired.
  Scenario Outline: A leader that is to stop leads on until the store is back
    Given task job "a1" with steps "8x8.0" is accepted
    And 1 s pass in the task fleet
    And the store does not respond for the next <outage> s
    And <seconds> s pass in the task fleet
    When the task fleet's leader steps down within 4.4 s
    Then another task instance leads within 6 s
    And task job "a1" is completed within 9 s
    And 8 task runs were started
    And the task fleet violated no invariant
    And it has taken <least> to <most> s

    Examples:
      | outage | seconds | least | most |
      | 3.7    | 0.05    | 3.6   | 4.0  |
      | 3.7    | 0.5     | 3.1   | 3.6  |
      | 3.7    | 3.0     | 0.6   | 1.1  |

  Scenario: A leader that is to stop ends its term in time without the store
    Given task job "a1" with steps "8x8.0" is accepted
    And the store does not respond for the next 8.0 s
    And 1 s pass in the task fleet
    When the task fleet's leader steps down within 4.4 s
    Then it has taken 3.0 to 4.4 s
    And task job "a1" is completed within 30 s
    And the task fleet violated no invariant

  Scenario: A leader that is to stop hands over to an instance with the store
    Given task job "a1" with steps "8x8.0" is accepted
    And 1 s pass in the task fleet
    When the store does not respond to the task fleet's leader
    And the task fleet's leader steps down within 4.4 s
    Then it has taken 0.0 to 2.0 s
    And another task instance leads within 0.5 s
    And task job "a1" is completed within 9 s
    And 8 task runs were started
    And the task fleet violated no invariant

  Scenario: An outage of the store neither changes the leader nor ends a run
    Given task job "a1" with steps "4x8.0" is accepted
    And 1 s pass in the task fleet
    When the store does not respond for 6 s
    Then the task fleet has had 1 term
    And task job "a1" is completed within 6 s
    And 4 task runs were started

  Scenario: Commands that are executed late duplicate no run
    Given commands to task worker "w1" are executed late
    When task job "a1" with steps "12x1.0" is accepted
    Then task job "a1" is completed within 20 s
    And 15 s pass in the task fleet
    And the task fleet violated no invariant

  Scenario: Tasks of a disconnected worker run elsewhere once its leases expired
    Given task job "a1" with steps "8x3.0" is accepted
    And 1 s pass in the task fleet
    When task worker "w1" is disconnected
    Then task job "a1" is completed within 12 s
    And the task fleet violated no invariant

  Scenario: A restarted worker has lost its runs
    Given task job "a1" with steps "8x4.0" is accepted
    And 1 s pass in the task fleet
    When task worker "w1" crashes and restarts after 0.5 s
    Then task job "a1" is completed within 8 s
    And the task fleet violated no invariant

  Scenario: A worker that restarts as another kind gets no run of the former
    Given task worker "w1" is of kind "b"
    And 4 s pass in the task fleet
    When task worker "w1" crashes and restarts as kind "a"
    And task job "a1" that requires kind "b" is submitted with steps "4x0.5"
    Then 4 s pass in the task fleet
    And 0 task runs were started
    When task worker "w1" crashes and restarts as kind "b"
    Then task job "a1" is completed within 6 s
    And the task fleet violated no invariant

  Scenario Outline: A job that is not accepted leaves no memory behind
    When <event>
    And the task job "a1" is submitted without garbage collection
    Then it is not accepted and nothing of it is left in memory

    Examples:
      | event                                                  |
      | the store is busy for all task instances               |
      | the store does not respond to the task fleet's leader  |
      | the task fleet has no memory for jobs                  |

  Scenario: A worker whose address is reused by another has lost its runs
    Given task job "a1" with steps "8x3.0" is accepted
    And 1 s pass in the task fleet
    When task worker "w1" is replaced at its address
    Then task job "a1" is completed within 5 s
    And the task fleet violated no invariant

  Scenario: Lost responses of the store duplicate no run
    Given the store loses 0.4 of its responses
    When task job "a1" with steps "4x1.0 4x1.0" is accepted
    Then task job "a1" is completed within 20 s
    And the task fleet violated no invariant

  Scenario: Delayed appends duplicate no run
    Given the store delays 0.3 of its appends
    When task job "a1" with steps "4x1.0 4x1.0" is accepted
    Then task job "a1" is completed within 30 s
    And the task fleet violated no invariant

  Scenario: All instances are killed at once
    Given task job "a1" with steps "4x3.0 4x3.0" is accepted
    And 1 s pass in the task fleet
    When all task instances are killed and restarted after 1 s
    Then task job "a1" is completed within 14 s
    And the task fleet violated no invariant

  Scenario: A cancelled job's runs stop
    Given task job "a1" with steps "4x30.0" is accepted
    And 1 s pass in the task fleet
    When task job "a1" is cancelled
    And 1 s pass in the task fleet
    Then no task runs
    And the task fleet violated no invariant

  # UNASKED: a late append started a job whose cancellation was answered 410.
  Scenario Outline: A job that is stored after its cancellation never runs
    When the unknown task job "a1" is cancelled
    Then its cancellation reports an unknown job
    And task job "a1" is unknown
    When <event>
    And the record of task job "a1" with steps "2x9.0" is stored
    And 3 s pass in the task fleet
    Then no task runs
    And task job "a1" is cancelled within 0.5 s
    When the task fleet's leader is killed
    And 8 s pass in the task fleet
    Then task job "a1" is cancelled within 0.5 s
    And 0 task runs were started

    Examples:
      | event                                                    |
      | 0 s pass in the task fleet                               |
      | the task fleet's leader is killed                        |
      | all task instances are killed and restarted after 0.1 s  |
      | the unknown task job "a1" is cancelled                   |

  # The next leader reads the record before it knows of the cancellation.
  Scenario: A job that is stored between its cancellation and a recovery never runs
    When the unknown task job "a1" is cancelled
    And the task fleet's leader is killed once "a1" with steps "2x9.0" is stored
    And 8 s pass in the task fleet
    Then no task runs
    And task job "a1" is cancelled within 0.5 s
    And 0 task runs were started

  # A query was answered 410 for a job whose append took effect later.
  Scenario Outline: A job that may still be stored is not reported as unknown
    Given the store delays 1.0 of its appends
    When task job "a1" is submitted to <instance> with a timeout of 0.8 s
    Then its outcome is uncertain
    And <instance> does not deny task job "a1"

    Examples:
      | instance       |
      | the leader     |
      | a follower     |

  # 503 says that the job never runs; the first append took effect later.
  Scenario Outline: A job that may still be stored is not refused for good
    Given the store delays 1.0 of its appends
    When task job "a1" is submitted to <instance> with a timeout of 0.8 s
    Then its outcome is uncertain
    When the store is busy for all task instances
    And task job "a1" is submitted to <instance> with a timeout of 0.8 s
    Then its outcome is uncertain

    Examples:
      | instance       |
      | the leader     |
      | a follower     |

  Scenario: A withdrawn job is forgotten with the ended ones
    When the unknown task job "a1" is cancelled
    And 130 s pass in the task fleet
    Then the task store holds no progress of "a1"

  Scenario: A task of a service is restarted whatever its end
    Given a task service "s1" of 3 tasks is accepted
    And 1 s pass in the task fleet
    When task worker "w1" crashes and restarts after 0.5 s
    And 2 s pass in the task fleet
    Then 3 tasks run

  Scenario: A job fails after the maximum number of attempts of a task
    When a task job "f1" whose tasks always fail is accepted
    Then task job "f1" is failed within 6 s
    And 2 task runs were started

  Scenario Outline: A task that crashes its workers is given up, its neighbours are not
    Given a task service "s1" of 4 tasks is accepted
    And task job "a1" with steps "8x1.5 8x1.5" is accepted
    When a task job "d1" of kind "<kind>" crashes its workers
    And task job "b1" with steps "6x1.0 6x1.0" is accepted
    Then task job "d1" is failed within 20 s
    And at most 5 task workers were crashed by a task of "d1"
    And task job "a1" is completed within 10 s
    And task job "b1" is completed within 10 s
    When 4 s pass in the task fleet
    Then the task service "s1" has 4 running tasks
    And the task fleet violated no invariant

    Examples:
      | kind        |
      | batch       |
      | backups     |
      | gang        |
      | later step  |
      | service     |
      | occurrences |

  Scenario Outline: Crashes by a task are still counted after the leader was killed
    Given task job "a1" with steps "8x1.5 8x1.5" is accepted
    When a task job "d1" of kind "<kind>" crashes its workers
    And <before> task workers were crashed by a task of "d1"
    And <wait> s pass in the task fleet
    And the task fleet's leader is killed
    Then task job "d1" is failed within 30 s
    And at most 5 task workers were crashed by a task of "d1"
    And task job "a1" is completed within 10 s
    And the task fleet violated no invariant

    Examples: killed before and after the worker is back
      | kind    | before | wait |
      | batch   | 1      | 0    |
      | batch   | 2      | 0    |
      | batch   | 2      | 3.4  |
      | gang    | 2      | 0    |
      | service | 2      | 0    |
      | batch   | 3      | 0    |

  Scenario: Tasks of racks that go dark are not given up
    Given 3 more racks of 4 task workers
    And task job "a1" with steps "2x4.0" is accepted
    When the task rack that runs "a1" goes dark for 2 s
    And the task rack that runs "a1" goes dark for 2 s
    And the task rack that runs "a1" goes dark for 2 s
    And the task rack that runs "a1" goes dark for 2 s
    Then task job "a1" is completed within 20 s
    And the task fleet violated no invariant

  Scenario Outline: Tasks on workers that go down and up are not given up
    Given task job "a1" with steps "16x0.8 16x0.8" is accepted
    When task workers "w1 w2" go down and up every <gap> s for 20 s
    Then task job "a1" is completed within 10 s
    And the task fleet violated no invariant

    Examples:
      | gap |
      | 0.4 |
      | 0.7 |
      | 1.4 |
      | 3   |

  Scenario: The log tells why a job was given up
    Given the task fleet's log is collected
    When a task job "d1" of kind "batch" crashes its workers
    Then task job "d1" is failed within 20 s
    When the task fleet's log is complete
    Then a line "task_given_up" has 3 to 5 as "crashes"
    And a line "task_suspected" has 2 to 2 as "isolated_crashes"

  Scenario: The store discards its history while no instance leads
    Given task job "a1" with steps "4x2.0 4x2.0" is accepted
    And 1 s pass in the task fleet
    When the store discards its history
    And all task instances are killed and restarted after 1 s
    Then task job "a1" is completed within 14 s
    And the task fleet violated no invariant

  Scenario: A stopping leader hands over at once
    Given task job "a1" with steps "4x3.0" is accepted
    And 1 s pass in the task fleet
    When the task fleet's leader steps down
    Then another task instance leads within 1.0 s
    And task job "a1" is completed within 4 s
    And 4 task runs were started

  Scenario: A job submitted again during a recovery keeps its progress
    Given task job "a1" with steps "4x1.0 4x6.0" is accepted
    And 2 s pass in the task fleet
    When the store's responses take 0.1 s more
    And the task fleet's leader is killed
    And task job "a1" is submitted again to the recovering instance
    Then task job "a1" is completed within 16 s
    And 8 task runs were started

  Scenario: The leader stores the job of an instance that lost the store
    Given the store does not respond to a follower task instance
    And 3 s pass in the task fleet
    When task job "a1" with steps "2x1.0" is submitted there
    Then it is accepted within 0.1 s
    And task job "a1" is completed within 4 s

  Scenario: A job is refused at once during a complete outage of the store
    Given the store does not respond to all task instances
    And 3 s pass in the task fleet
    When task job "a1" with steps "2x1.0" is submitted there
    Then it is refused within 0.1 s
    And the task store holds no job

  Scenario: A job whose record may be stored is reported as unknown
    Given the store loses 1.0 of its responses
    When task job "a1" with steps "2x1.0" is submitted there
    Then its outcome is reported as unknown within 0.8 s

  Scenario: A new leader does not duplicate a start without a record
    Given task job "a1" with steps "8x6.0" is accepted
    And 0.015 s pass in the task fleet
    When the task worker with the most runs is disconnected
    And the task fleet's leader is killed
    Then task job "a1" is completed within 25 s
    And the task fleet violated no invariant

  Scenario: Steps continue during an outage of the store
    Given task job "a1" with steps "4x1.0 4x1.0" is accepted
    And 0.5 s pass in the task fleet
    When the store does not respond for 4 s
    Then task job "a1" is completed within 1.5 s
    And the task fleet violated no invariant

  Scenario: A killed leader is replaced before the leader timeout
    Given 1 s pass in the task fleet
    When the task fleet's leader is killed
    Then another task instance leads within 1.3 s

  # Others waited for 1.5 s although the leader knew that the store refused it,
  # and then for the leases of a worker that did not report.
  Scenario: A leader that the store refuses hands over what it has not stored
    Given task job "a1" with steps "8x0.6 8x0.6" is accepted
    And 0.3 s pass in the task fleet
    And the store is busy for the task fleet's leader
    When task worker "w1" is disconnected
    Then another task instance has taken over within 1.3 s
    When task job "b1" with steps "8x0.6 8x0.6" is accepted
    Then task job "b1" is completed within 1.8 s
    And the task fleet violated no invariant
    When 12 s pass in the task fleet
    Then task job "a1" is completed within 0.5 s
    And the task fleet violated no invariant

  # The first question comes some ms before the renewal fails for the second
  # time, and the next one came 0.7 s later.
  Scenario Outline: A large instance asks a silent leader again soon
    Given a task fleet of 2 small instances and 2 large ones
    And <seconds> s pass in the task fleet
    And the store's refusals take 0.05 s
    And the store is busy for the task fleet's leader
    Then another task instance has taken over within 1.1 s
    And a large task instance leads

    Examples: the leader renews its term each 0.5 s
      | seconds |
      | 1.0     |
      | 1.1     |
      | 1.2     |
      | 1.3     |
      | 1.4     |

  # The runs on the silent worker are in no record of the store.
  Scenario: Runs that the store does not know are handed over
    Given task job "a1" with steps "1x0.4 8x3.0" is accepted
    And 0.3 s pass in the task fleet
    And the store is busy for the task fleet's leader
    And 0.2 s pass in the task fleet
    When task worker "w2" is disconnected
    Then another task instance has taken over within 1.3 s
    When 2 s pass in the task fleet
    Then 9 task runs were started
    When 12 s pass in the task fleet
    Then task job "a1" is completed within 0.5 s
    And the task fleet violated no invariant

  # Leases lapsed after 4.5 s when the previous leader had ended its term first.
  Scenario: Leases are renewed while the next leader cannot read the store
    Given task job "a1" with steps "8x9.0" is accepted
    And 0.5 s pass in the task fleet
    And the store is busy for the task fleet's leader
    And the store is busy for the next leader once it has claimed
    When 15 s pass in the task fleet
    Then 8 task runs were started
    And the task fleet violated no invariant

  Scenario: A leader that steps down leaves no start unrecorded
    Given task worker "w1" is disconnected
    And 2 s pass in the task fleet
    And task job "b1" with steps "4x0.5 4x0.5 4x0.5" is accepted
    When the task fleet's leader steps down
    Then another task instance leads within 1.0 s
    And task job "b1" is completed within 2.5 s
    And the task fleet violated no invariant

  # Claims fail as well, so the leader has to go on.
  Scenario: A leader that offered its term goes on if nobody can claim
    Given task job "a1" with steps "4x0.5 4x0.5 4x0.5 4x0.5 4x0.5 4x0.5 4x0.5 4x0.5" is accepted
    And appends to the table of leaders are refused
    Then task job "a1" is completed within 6 s
    And 32 task runs were started
    When appends to the table of leaders are possible
    And 2 s pass in the task fleet
    Then the leader may take jobs at any time within 2 s
    And the task fleet violated no invariant

  # Such services were stored without a look at the room.
  Scenario: A service that comes while the leader changes waits for the next one
    Given a task service "s1" of 4 tasks of 6 cores is accepted
    And 1 s pass in the task fleet
    When the task fleet's leader is killed
    And task service "s2" of 4 tasks of 4 cores is submitted at once
    Then it is refused within 1.3 s for lack of room
    When task service "s3" of 4 tasks of 1 cores is submitted at once
    Then it is accepted within 0.1 s
    When the task fleet's leader is killed
    And task service "s4" of 4 tasks of 1 cores is submitted at once
    Then it is accepted within 1.3 s

  Scenario: A restarted former leader claims at once
    Given 1 s pass in the task fleet
    When all task instances are killed and restarted after 0.1 s
    Then a task instance leads within 0.2 s

  Scenario: Instances share appends while the store is slow
    Given the store's responses take 0.3 s more
    And 2 s pass in the task fleet
    When 6 task jobs are submitted to different instances at once
    Then all of them are accepted and at most 8 records were written for them

  Scenario: Jobs are accepted quickly although the store loses responses
    Given the store loses 0.35 of its responses
    When 20 task jobs are submitted one after the other
    Then 18 of them are accepted within 0.5 s

  # CONFIG: the leader started a job of a new queue, which another instance had
  # accepted, and then answered that there is no such queue.
  Scenario: A job of an unknown queue waits until the leader has read the configuration
    Given the table of configurations is lost for the task fleet's leader
    When task job "a1" of another queue is accepted
    And 2 s pass in the task fleet
    Then no task runs
    And task job "a1" is pending within 0.1 s
    When the table of configurations is back
    Then task job "a1" is completed within 2 s
    And the task fleet violated no invariant

  Scenario: Jobs of a queue that was removed start
    When task job "a1" of another queue is accepted
    Then task job "a1" is completed within 1 s
    When task job "b1" of another queue is accepted
    And the task fleet's leader is killed
    Then task job "b1" is completed within 9 s
    And the task fleet violated no invariant

  # Such a record ended the loop in which all instances follow the leader, for
  # good, or the term of the leader.
  Scenario Outline: An odd record in the table of leaders changes no leader
    Given task job "a1" with steps "2x9.0" is accepted
    When the record '<value>' of "<key>" is added to the table of leaders
    And 6 s pass in the task fleet
    Then the task fleet has had 1 term
    When the task fleet's leader is killed
    Then another task instance leads within 4 s
    And task job "a1" is completed within 14 s

    Examples:
      | key    | value                                                          |
      | other  | {"instance":"x","address":"x","token":1}                       |
      | leader | nonsense                                                       |
      | leader | [ x 100000                                                     |
      | leader | {"instance":"x","address":"x","token":"9"}                     |
      | leader | {"instance":"x","address":"x","token":9 x 30}                  |
      | leader | {"instance":"x","address":{},"token":2}                        |
      | leader | {"instance":"x","address":"x","released":"no"}                 |

  # An exception that the report of one worker raised ended each leader's term.
  Scenario: A report that cannot be handled costs only its worker
    Given each report of task worker "w1" raises an error
    When task job "a1" with steps "6x1.0 6x1.0" is accepted
    Then task job "a1" is completed within 12 s
    And the task fleet has had 1 term
    And the task fleet violated no invariant

  # Numbers of other writers that JSON of the log cannot hold raised an error.
  Scenario Outline: Any value can be logged
    Given the task fleet's log is collected
    When a line with the odd value <value> is logged
    Then the line is in the log

    Examples:
      | value            |
      | large            |
      | large in a table |
      | surrogate        |
      | bytes            |

  Scenario: An undecodable configuration stops no instance
    When an undecodable configuration is stored
    And 1 s pass in the task fleet
    And a new configuration is stored
    And 2 s pass in the task fleet
    Then every task instance has configuration 2

  Scenario: A caller gets a response early enough to retry
    Given the task fleet's leader is frozen for others and the store unresponsive
    When a caller submits a task job with a timeout of 1.0 s
    Then it gets a response within 0.5 s

  Scenario: A leader without the store reports no job as unknown
    Given the store is busy for the task fleet's leader
    And 0.3 s pass in the task fleet
    And task job "a1" with steps "1x9.0" is accepted
    When task job "a1" is cancelled
    And 6 s pass in the task fleet
    Then no task runs
    And the task fleet violated no invariant

  Scenario: A leader whose term ends during a look-up reports no job as unknown
    Given the store's responses take 0.3 s more
    When a job is stored and the term ends while its leader looks it up
    Then the leader has not reported the job as unknown

  Scenario: The store keeps only the end of an ended job
    Given task job "a1" with steps "4x1.0" is accepted
    And 4 s pass in the task fleet
    Then the task store holds no job
    When the task fleet's leader is killed
    Then task job "a1" is completed within 3 s
    When task job "a1" with steps "4x1.0" is accepted
    And 4 s pass in the task fleet
    Then 4 task runs were started
    And the task fleet violated no invariant
    When task job "a1" is cancelled
    Then task job "a1" is completed within 1 s

  Scenario: A leader that cannot read the tables hands over
    When the next leader cannot read the tables and the leader is killed
    Then another task instance leads within 6 s

  Scenario: A leader that is replaced during its recovery ends its term
    When the next leader recovers and a newer one writes first
    Then its term has ended because of the store
    And another task instance leads within 6 s
    And the task fleet violated no invariant

  Scenario: A large instance leads a fleet of small ones
    Given a task fleet of 5 small instances and 1 large one
    Then the large task instance leads

  # Instances learn at different times that a leader offers its term, so a small
  # one that asked first claimed before the others had asked again.
  Scenario: A small instance leaves an offered term to a large one
    Given a task fleet of 5 small instances and 2 large ones
    And the next call of each large task instance is lost
    And the store is busy for the task fleet's leader
    Then another task instance has taken over within 2.5 s
    And a large task instance leads

  Scenario: A small instance hands over to a restarted large one
    Given a task fleet of 5 small instances and 1 large one
    And task job "a1" with steps "4x16.0" is accepted
    When the large task instance is killed and restarted after 4 s
    And 10 s pass in the task fleet
    Then the large task instance leads
    And task job "a1" is completed within 6 s
    And the task fleet violated no invariant

  # The call ended before the resignation was stored. The leader sent no command
  # from then on, and kept its term for good.
  Scenario: A small instance ends its term though the call to hand over is given up
    Given a task fleet of 5 small instances and 1 large one
    And the store's responses take 0.3 s more
    When the large task instance is killed and restarted after 4 s
    And 16 s pass in the task fleet
    Then the large task instance leads
    And the task fleet violated no invariant

  Scenario Outline: A service's large task gets a worker on a full fleet
    Given small task jobs of <seconds> s arrive faster than they can be run
    And 3 s pass in the task fleet
    When a task service "s1" of 1 task of 6 cores is accepted
    Then a task of "s1" runs within 3 s
    And the task fleet violated no invariant

    Examples: jobs that end soon, and jobs that have to be stopped
      | seconds |
      | 0.8     |
      | 9       |

  Scenario: Batch tasks do not wait for plans of opportunistic tasks that find no worker
    Given 40 opportunistic task jobs wait, and each look at a worker for them takes 0.5 ms
    When 20 task jobs of 0.1 s are accepted one after the other
    Then each of their tasks started within 0.25 s

  Scenario: The log tells how much waits for workers and for how long
    Given the task fleet's log is collected
    When task job "a1" with steps "64x1.0" is accepted
    And 6 s pass in the task fleet
    And the task fleet's log is complete
    Then a line "leader_load" has 8000 to 32000 under "waiting" of "batch"
    And each line "leader_load" has at most 1 as "lag_ms"
    And a line "job_ended" has 800 to 2000 as "no_worker_ms"

  Scenario Outline: Workers that shrink get no run beyond their capacity
    Given small task jobs of <seconds> s arrive faster than they can be run
    And 3 s pass in the task fleet
    When a task service "s1" of 1 task of 6 cores is accepted
    And <before> s pass in the task fleet
    And each task worker has 4 cores
    And 10 s pass in the task fleet
    And each task worker has 8 cores
    Then a task of "s1" runs within 5 s
    When 6 s pass in the task fleet
    Then the task fleet violated no invariant

    Examples: before and after a worker is reserved for the service, and later
      | seconds | before |
      | 0.8     | 0.1    |
      | 9       | 0.9    |
      | 9       | 4      |

  Scenario: A service that a full fleet cannot hold is refused, and jobs stay on time
    Given a task service "s1" of 4 tasks of 6 cores is accepted
    And 4 small task jobs of 1 s arrive each second
    And 3 s pass in the task fleet
    When task service "s2" of 4 tasks of 2 cores is submitted as often as its refusals permit
    And 12 s pass in the task fleet
    Then each refusal of "s2" came within 0.1 s
    And 95% of the small task jobs were completed within 2.5 s
    When task job "s1" is cancelled
    And 6 s pass in the task fleet
    Then 4 tasks of "s2" are running
    And the task fleet violated no invariant

  Scenario: A service whose record is stored already is not refused
    Given a task service "s1" of 4 tasks of 8 cores is accepted
    And 1 s pass in the task fleet
    When a record of task service "s2" is stored just before the leader gets it again
    Then it is accepted within 0.1 s

  Scenario Outline: Random failures beside tasks that crash workers violate no invariant
    Given only a seed
    When the fleet fuzzer runs seed <seed> with tasks that crash workers
    Then no invariant is violated

    Examples:
      | seed | cause                                                      |
      | 1    | first seed                                                 |
      | 7    | an innocent job was given up after four crashes beside it  |
      | 203  | crashes of runs that the next leader did not know of       |

  Scenario Outline: Random failures violate no invariant
    Given only a seed
    When the fleet fuzzer runs seed <seed>
    Then no invariant is violated

    Examples: first seeds and seeds of past failures
      | seed | cause                                                     |
      | 1    | first seed                                                |
      | 2    | first seed                                                |
      | 27   | the leader's cancel did not find a job stored elsewhere   |
      | 56   | stand-in: calls to a killed instance never ended          |
      | 115  | stand-in: late commands reached the next incarnation      |
      | 363  | term ended in a look-up, and a job was reported unknown   |
      | 398  | two successive leaders used the same run number           |
      | 816  | a start on a worker that the next leader did not know     |
