Feature: sizes

  Scenario: a class without measurements gets its declared size
    Given a size model
    Then the size model gives 4 cores and 8000 MB for 4 cores and 8000 MB

  Scenario: sizes declared ten times too large are lowered after several tasks
    Given a size model
    When the size model gets reports of 5 tasks with 0.5 cores and 1000 MB
    Then the size model gives 0.5 cores and 1100 MB for 5 cores and 10000 MB

  Scenario: memory declared too small is raised by the first report
    Given a size model
    When the size model gets reports of 1 tasks with 4 cores and 9000 MB
    Then the size model gives at least 9900 MB for 4 cores and 900 MB

  Scenario: one task alone does not lower the memory of a size
    Given a size model
    When the size model gets reports of 1 tasks with 0.5 cores and 100 MB
    Then the size model gives at least 8000 MB for 4 cores and 8000 MB

  Scenario: the memory of a size never falls under a measured peak
    Then the memory of a size is at least each peak of the reference window

  Scenario: young tasks alone do not lower the memory of a size
    Given a size model
    When the size model gets reports of 5 young tasks with 0.5 cores and 100 MB
    Then the size model gives at least 8000 MB for 4 cores and 8000 MB
