Feature: latency

  Scenario: a tenant sees only its own rows, operators see all
    Given latency histograms with records of tenants "a" and "b"
    Then the latency rows for "a" are of tenants "a"
    And the latency rows for operators are of tenants "a,b"

  Scenario: percentiles agree with sorted values to two digits
    Then latency percentiles agree with sorted values on random records

  Scenario: values outside the range are clamped, not lost
    Given latency histograms with records of -5 us and 100000000 us
    Then the latency row counts 2 with a greatest value of 60000 ms

  Scenario: a reset starts a new window
    Given latency histograms with records of tenants "a" and "b"
    When the latency histograms are reset
    Then the latency rows for operators are of tenants ""

  Scenario: the number of histograms is bounded and all records are counted
    Given latency histograms with one record for each of 1000 tenants
    Then there are 256 latency histograms that count 1000 records
    And the latency rows for "t999" are of tenants ""
