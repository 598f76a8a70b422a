Feature: Configuration takes effect as booked, or is refused when sent

  Background:
    Given a configuration at 1000 s

  Scenario: A booking is in force from its time on
    When the configuration at 1000 s gets worker a with 8 cores
    And the configuration at 1000 s gets worker a with 4 cores booked at 2000 s
    Then the configuration says 8 cores for worker a at 1999.999 s
    And the configuration says 4 cores for worker a at 2000 s

  Scenario: A booking needs lead time
    When the configuration at 1000 s gets worker a with 4 cores booked at 1009 s
    Then the configuration refuses that with "lead"

  Scenario: Of two changes to the same version the second is refused
    When the configuration at 1000 s gets worker a with 8 cores
    And the configuration at 1000 s gets worker a on version 1 by ana
    And the configuration at 1000 s gets worker a on version 1 by ben
    Then the configuration refuses that with "at version 2, set by change c2 of ana"

  Scenario: A change sent again takes effect once
    When the configuration at 1000 s gets worker a with 8 cores
    And the configuration at 1001 s gets the last change again
    Then the configuration accepts that as version 1
    When the configuration at 1002 s gets worker a with 4 cores
    And the configuration at 1003 s gets the first change again
    Then the configuration accepts that as version 1
    And the configuration says 4 cores for worker a at 1003 s

  Scenario: A withdrawal removes bookings that are not due
    When the configuration at 1000 s gets worker a with 8 cores
    And the configuration at 1000 s gets worker a with 4 cores booked at 2000 s
    And the configuration at 1001 s gets the bookings of worker a withdrawn
    Then the configuration accepts that as version 3
    And the configuration says 8 cores for worker a at 2000 s

  Scenario: A booking that may be in force on a fast clock is not withdrawn
    When the configuration at 1000 s gets worker a with 8 cores
    And the configuration at 1000 s gets worker a with 4 cores booked at 2000 s
    And the configuration at 1995 s gets the bookings of worker a withdrawn
    Then the configuration refuses that with "due within"
    And the configuration says 4 cores for worker a at 2000 s

  Scenario: A withdrawal removes only the bookings that have lead time
    When the configuration at 1000 s gets worker a with 8 cores
    And the configuration at 1000 s gets worker a with 6 cores booked at 2000 s
    And the configuration at 1000 s gets worker a with 4 cores booked at 3000 s
    And the configuration at 1995 s gets the bookings of worker a withdrawn
    Then the configuration accepts that as version 4
    And the configuration says 6 cores for worker a at 3000 s

  Scenario Outline: Guarantees fit the capacity at each later moment
    When the configuration at 1000 s gets worker a with 8 cores
    And the configuration at 1000 s gets worker b with 8 cores
    And the configuration at 1000 s gets worker b removed, booked at 2000 s
    And the configuration at 1000 s gets tenant t with <cores> cores <when>
    Then the configuration <answer>

    Examples:
      | cores | when             | answer                                |
      | 8     | now              | accepts that as version 1             |
      | 9     | now              | refuses that with "at 2000000"        |
      | 16    | booked at 1500 s | refuses that with "at 2000000"        |
      | 9     | booked at 2000 s | refuses that with "at 2000000"        |
      | 8     | booked at 2500 s | accepts that as version 1             |
      | 17    | now              | refuses that with "at 1000000"        |

  Scenario: A withdrawal of capacity that is guaranteed is refused
    When the configuration at 1000 s gets worker a with 8 cores
    And the configuration at 1000 s gets worker a with 16 cores booked at 2000 s
    And the configuration at 1000 s gets tenant t with 12 cores booked at 2500 s
    And the configuration at 1001 s gets the bookings of worker a withdrawn
    Then the configuration refuses that with "exceed the capacity"

  Scenario: A review with a fast clock leaves the configuration as it is
    When the configuration at 1000 s gets worker a with 8 cores
    And the configuration at 1000 s gets worker a with 4 cores booked at 2000 s
    And the configuration is asked at 2500 s about tenant t with 3 cores
    And the configuration at 1001 s gets the bookings of worker a withdrawn
    Then the configuration says 8 cores for worker a at 2500 s

  Scenario: A worker cannot move between racks while it has work
    When the configuration at 1000 s gets worker a with 8 cores
    And the configuration at 1000 s gets worker a moved to rack r2
    Then the configuration refuses that with "remove it first"

  Scenario: Two workers do not share a machine
    When the configuration at 1000 s gets worker a with 8 cores
    And the configuration at 1000 s gets worker b at the address of a
    Then the configuration refuses that with "worker/a has the address"
    When the configuration at 1000 s gets worker a removed, now
    And the configuration at 1059 s gets worker b at the address of a
    Then the configuration refuses that with "worker/a has the address"
    When the configuration at 1060 s gets worker b at the address of a
    Then the configuration accepts that as version 1

  Scenario Outline: A removed worker can return after its leases have expired
    When the configuration at 1000 s gets worker a with 8 cores
    And the configuration at 1000 s gets worker a removed, <removed>
    And the configuration at 1000 s gets worker a moved to rack r2, <added>
    Then the configuration <answer>

    Examples:
      | removed          | added            | answer                     |
      | now              | now              | refuses that with "60000"  |
      | now              | booked at 1059 s | refuses that with "60000"  |
      | now              | booked at 1060 s | accepts that as version 3  |
      | booked at 2000 s | booked at 2059 s | refuses that with "60000"  |
      | booked at 2000 s | booked at 2060 s | accepts that as version 3  |

  Scenario: The headroom does not depend on the snapshot an instance started from
    Then configurations that load a snapshot at any record agree in 60 runs

  Scenario: The headroom matches a reference calculation
    Then configurations match their reference in 100 runs

  Scenario: The objects in force are listed again at each booking
    When the configuration at 1000 s gets worker a with 8 cores
    And the configuration at 1000 s gets worker b with 8 cores
    And the configuration at 1000 s gets worker a with 4 cores booked at 2000 s
    And the configuration at 1000 s gets worker b removed, booked at 3000 s
    Then the configuration lists 16 cores in workers at 1000 s
    And the configuration lists 12 cores in workers at 2000 s
    And the configuration lists 16 cores in workers at 1999 s
    And the configuration lists 12 cores in workers at 2999 s
    And the configuration lists 4 cores in workers at 3000 s
    And the configuration changes next at 2000 s after 1000 s
    And the configuration changes next at 3000 s after 2000 s

  Scenario: A slow clock does not return to an older version
    When the configuration at 1000 s gets worker a with 8 cores
    And the configuration at 1000 s gets worker a with 4 cores booked at 2000 s
    Then a state whose log is at 2000 s reads 4 cores for worker a by a clock at 1990 s

  Scenario: Decided change ids are kept for a day
    When the configuration at 1000 s gets worker a with 8 cores
    And the configuration at 90000 s gets worker b with 8 cores
    Then the configuration remembers 1 change id
