Feature: dispatch

  Scenario: a request is refused at once if no worker accepts work
    Given a dispatcher without workers
    When a request reaches the dispatcher
    Then the dispatcher has refused the request as not run after 0 seconds

  Scenario: waiting requests are refused when the last worker closes
    Given a dispatcher with a worker whose slots are taken
    When a request reaches the dispatcher
    Then the dispatcher queues the request
    When the dispatcher's worker closes
    Then the dispatcher has refused the request as not run after 0 seconds

  Scenario: a worker that was paused never runs more requests than its slots
    Given a dispatcher that serves a worker of 4 slots
    When the dispatcher's worker pauses
    And 4 requests reach the dispatcher
    And 3 seconds pass for the dispatcher
    Then the dispatcher reports that each request may have run
    When the dispatcher's worker resumes and requests arrive for 8 seconds
    Then the dispatcher's worker has run the early requests and later ones
    And the dispatcher's worker never had more than 4 slots in use

  Scenario: a request that ended without a reply frees its slot
    Given a dispatcher that serves a worker of 4 slots
    When the dispatcher's worker fails every call
    And 4 requests reach the dispatcher
    And 1 seconds pass for the dispatcher
    Then the dispatcher reports that each request may have run
    And the dispatcher has 4 free slots

  Scenario: a request that would miss its deadline is not started
    Given a dispatcher that serves a worker of 4 slots
    When 4 requests reach the dispatcher
    And 1 seconds pass for the dispatcher
    And 4 requests reach the dispatcher
    And a request that has 400 ms reaches the dispatcher
    And 1 seconds pass for the dispatcher
    Then the dispatcher reports that the request did not run

  Scenario: a request with enough time waits for a slot
    Given a dispatcher that serves a worker of 4 slots
    When 4 requests reach the dispatcher
    And 1 seconds pass for the dispatcher
    And 4 requests reach the dispatcher
    And a request that has 900 ms reaches the dispatcher
    And 1 seconds pass for the dispatcher
    Then the dispatcher has answered the request

  Scenario: a cancelled call does not affect the health of its worker
    Given a dispatcher that serves a worker of 4 slots
    When the dispatcher's worker pauses
    And 2 requests reach the dispatcher
    And the dispatcher's calls are cancelled
    Then the dispatcher's health tracking has 2 calls as stopped
