Feature: Gauges of the daemon

  Scenario: Gauges report the state of the process
    Given a gauges sender for an instance with 2 racks of which 1 is fenced
    When the gauges are sent with a lag of 12 ms
    Then the gauges are "racks_owned=2 racks_fenced=1 slots_free=5 slots_total=8 requests_queued=3 jobs_waiting=4 jobs_running=2 log_reachable=1 peers=1 loop_lag_ms=12"
    And the gauges report the resident memory of this process

  Scenario: Each send counts the appends since the previous one
    Given a gauges sender for an instance with 2 racks of which 1 is fenced
    When the gauges are sent after 5, 9, 9 and 2 appends
    Then the gauges count 5, 4 and 2 appends

  Scenario: The event loop lag is the time by which a sleep overran
    Given a gauges sender for an instance with 2 racks of which 1 is fenced
    When the gauges run for 3 s on a clock that sleeps 40 ms too long
    Then the gauges report a lag of 40 ms each time

  Scenario: Nothing is sent without a receiver
    Given a gauges sender without a receiver
    When the gauges run until they stop
    Then the gauges are ""
