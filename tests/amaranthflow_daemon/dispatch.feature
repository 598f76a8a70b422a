Feature: dispatch

  Scenario: a request is refused at once where no worker is open
    Given a dispatcher without workers
    When a request reaches the dispatcher
    Then the dispatcher has refused it as not run after 0 seconds

  Scenario: waiting requests are refused when the last worker closes
    Given a dispatcher with a worker whose slots are taken
    When a request reaches the dispatcher
    Then the dispatcher lets it wait
    When the dispatcher's worker closes
    Then the dispatcher has refused it as not run after 0 seconds

  Scenario: a worker that stood still is not given more than its slots
    Given a dispatcher that serves a worker of 4 slots
    When the dispatcher's worker stands still
    And 4 requests reach the dispatcher
    And 3 seconds pass for the dispatcher
    Then the dispatcher has told each that it may have run
    When the dispatcher's worker wakes and requests arrive for 8 seconds
    Then the dispatcher's worker has run late requests and later ones
    And the dispatcher's worker never had more than 4 slots in use

  Scenario: a request that surely ended without an answer frees its slot
    Given a dispatcher that serves a worker of 4 slots
    When the dispatcher's worker fails everything
    And 4 requests reach the dispatcher
    And 1 seconds pass for the dispatcher
    Then the dispatcher has told each that it may have run
    And the dispatcher has 4 free slots

  Scenario: a request that would be answered late is not started
    Given a dispatcher that serves a worker of 4 slots
    When 4 requests reach the dispatcher
    And 1 seconds pass for the dispatcher
    And 4 requests reach the dispatcher
    And a request that has 400 ms reaches the dispatcher
    And 1 seconds pass for the dispatcher
    Then the dispatcher has told it that it did not run

  Scenario: a request with time enough waits for its turn
    Given a dispatcher that serves a worker of 4 slots
    When 4 requests reach the dispatcher
    And 1 seconds pass for the dispatcher
    And 4 requests reach the dispatcher
    And a request that has 900 ms reaches the dispatcher
    And 1 seconds pass for the dispatcher
    Then the dispatcher has answered it

  Scenario: a cancelled call says nothing of its worker
    Given a dispatcher that serves a worker of 4 slots
    When the dispatcher's worker stands still
    And 2 requests reach the dispatcher
    And the dispatcher's calls are cancelled
    Then the dispatcher's health knows 2 calls as stopped
