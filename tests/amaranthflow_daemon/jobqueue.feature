Feature: jobqueue

  Scenario: a large job that small jobs bypass eventually gets a worker
    Given a jobqueue fleet of 1 worker
    When a jobqueue job of 32 cores waits while small jobs arrive for 130 s
    Then the jobqueue's large job has been started
    And the jobqueue's small jobs have run before it and after it
    And no jobqueue worker is held

  Scenario: a held worker that leaves is no longer held
    Given a jobqueue fleet of 2 workers
    When a jobqueue job of 32 cores waits until a worker is held
    And the jobqueue's held worker begins to leave
    Then the jobqueue's hold is on another worker

  Scenario: only the home of a job holds a worker for it
    Given a jobqueue fleet of 1 worker
    And the jobqueue's instance is not the home of any job
    When a jobqueue job of 32 cores waits while small jobs arrive for 130 s
    Then no jobqueue worker is held
    And the jobqueue's large job still waits
