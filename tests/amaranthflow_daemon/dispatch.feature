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
