Feature: Page with plots of measurements

  Scenario: The page is self-contained and shows all values
    Given a report file with these lines
      """
      progress: 3 of 5
      {"trace": "noisy <b>", "services": [{"tenant": "malabar", "p50_ms": 3.5, "p99_ms": 9.25}], "evictions": 4, "starts_per_s": 4100}
      {"name": "heartbeat bytes", "unit": "bytes/s", "sizes": [3, 9, 30], "values": [30, 90, 300], "slope": 10, "intercept": 0, "target": 9900}
      """
    When the report is made
    Then the report ends with 0
    And the report has the titles "Tail latency, Evictions, Throughput: starts_per_s, Capacity: measured: heartbeat bytes"
    And the report has the text "noisy &lt;b&gt;"
    And the report has the text "p99_ms 9.25"
    And the report has the text "1 other lines skipped"
    And the report draws the fit to 99000 at 9900
    And the report loads no external resource

  Scenario: Sizes without matching values give no capacity plot
    Given a report file with these lines
      """
      {"name": "x", "sizes": [1, 2], "values": [1], "slope": 1, "intercept": 0, "evictions": 3}
      """
    When the report is made
    Then the report has the titles "Evictions"
    And the report has no title with "Capacity"

  Scenario: Lines that share a label are distinguished by a value
    Given a report file with these lines
      """
      {"benchmark": "queue", "load": 1, "evictions": 3}
      {"benchmark": "queue", "load": 2, "evictions": 4}
      """
    When the report is made
    Then the report has the text "["measured: queue (load 1)","measured: queue (load 2)"]"

  Scenario: A file without measurements gives one line and exit code 2
    Given a report file with these lines
      """
      nothing here
      [1, 2]
      {"sizes": "many"}
      """
    When the report is made
    Then the report ends with 2
    And the report's error has "no measurements in it"
