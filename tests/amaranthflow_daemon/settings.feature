Feature: Settings of the daemon

  Scenario: Complete settings are accepted with their defaults
    Given settings that are complete
    When the settings are validated
    Then the setting "fence_s" is "2.0"
    And the setting "max_body_bytes" is "1048576"

  Scenario Outline: An invalid value is reported in one line with flag and variable
    Given settings that are complete
    And the setting "<name>" given as "<value>"
    When the settings are validated
    Then the settings are refused only for "<name>", saying "<problem>"

    Examples:
      | name              | value             | problem                       |
      | instance_id       | a/b               | is not a name                 |
      | zone              | Rennes            | unknown availability zone     |
      | zones             | Brest,            | unknown availability zone     |
      | http_address      | localhost:80      | is not an IP address          |
      | http_address      | 127.0.0.1:0       | is not in 1 to 65535          |
      | http_address      | 127.0.0.1:65536   | is not in 1 to 65535          |
      | http_address      | 127.0.0.1         | is not of the form IP:PORT    |
      | http_address      | ::1:80            | is not of the form            |
      | peer_address      | 127.0.0.1:8001    | is also --http-address        |
      | log_url           | ftp://127.0.0.1   | is not a URL                  |
      | log_url           | http://h:99999    | Port out of range             |
      | list_url          | h:80              | is not a URL                  |
      | list_url          | http://h/?q=1     | has a query                   |
      | statsd_address    | statsd:8125       | is not an IP address          |
      | heartbeat_s       | nan               | is not greater than 0         |
      | suspect_s         | 0.5               | not greater than --heartbeat  |
      | fence_s           | 1                 | 2 times --heartbeat-s, 1      |
      | task_lease_s      | 2                 | not greater than --fence-s, 2 |
      | batch_delay_ms    | -1                | is not greater than 0         |
      | log_appends_per_s | many              | is not a number               |
      | max_body_bytes    | 1.5               | is not an integer             |
      | max_body_bytes    | 10                | is not in 1024                |
      | log_level         | loud              | is not one of debug           |

  Scenario: All invalid values are reported together
    Given settings that are complete
    And the setting "heartbeat_s" given as "soon"
    And the setting "zone" left out
    When the settings are validated
    Then the settings are refused for "zone, heartbeat_s"

  Scenario: Environment variables set what the flags leave out
    Given a settings command line that is complete
    And the settings variable "AMARANTHFLOW_FENCE_S" is "3"
    When the settings command line is run
    Then the settings command ends with 0
    And the run got the setting "fence_s" as "3.0"

  Scenario: A flag takes precedence over its variable
    Given a settings command line that is complete
    And the settings variable "AMARANTHFLOW_FENCE_S" is "3"
    And the settings flag "--fence-s" is "2.5"
    When the settings command line is run
    Then the run got the setting "fence_s" as "2.5"

  Scenario: An invalid variable gives one line and exit code 2
    Given a settings command line that is complete
    And the settings variable "AMARANTHFLOW_FENCE_S" is "x"
    When the settings command line is run
    Then the settings command ends with 2
    And its only settings error line has "--fence-s (AMARANTHFLOW_FENCE_S)"

  Scenario: A port in use gives one line and exit code 2
    Given a settings command line that is complete
    And a settings run that finds the HTTP port in use
    When the settings command line is run
    Then the settings command ends with 2
    And its only settings error line has "--http-address (AMARANTHFLOW_HTTP_ADDRESS): cannot listen on 127.0.0.1:8001: Address already in use"

  Scenario: Help names every flag, variable and default
    Given a settings command line that asks for help
    When the settings command line is run
    Then the settings command ends with 0
    And the settings help names every flag, variable and default
