Feature: Metrics of the daemon

  Scenario: Metrics reach the receiver with tenant and class in their name
    Given a metrics receiver
    When metrics send a timing of 2.5 ms for tenant "a.b" and class ""
    And metrics count 3 evictions for tenant "t" and class "sort"
    And metrics set the slots free to 7
    Then metrics receive "amaranthflow.request_ms.a_b.none:2.500000|ms"
    And metrics receive "amaranthflow.evictions.t.sort:3|c"
    And metrics receive "amaranthflow.slots_free:7|g"

  Scenario: No address sends nothing and opens no socket
    Given metrics without a receiver
    When metrics set the slots free to 7
    Then metrics hold no socket

  Scenario: A closed receiver raises no error
    Given a metrics receiver that closes
    When metrics count 3 evictions for tenant "t" and class "sort"
    And metrics count 3 evictions for tenant "t" and class "sort"
    Then metrics raise no error after closing

  Scenario: Names are unique
    Then each metrics name is unique

  Scenario: Every metric is sent by some module
    Then each metrics member is used outside its own module
