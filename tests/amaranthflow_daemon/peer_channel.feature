Feature: peer channel

  Scenario: heartbeats share one stream
    Given a peer channel to a server
    When the peer channel sends 3 heartbeats
    Then the peer channel got the replies 1, 2, 3 over 1 stream

  Scenario: a late reply is not taken for the reply to the next heartbeat
    Given a peer channel to a server
    When the server of the peer channel does not answer heartbeat 1
    And the peer channel sends 2 heartbeats
    Then the peer channel got the replies none, 2 over 2 streams

  Scenario: closing a channel ends its calls with a verdict
    Given a peer channel to a server
    When the peer channel is closed during a request
    Then the peer channel's request may have run

  Scenario Outline: a call that its server refused
    Given a peer channel to a server
    When the server of the peer channel ends a request with <status> "<details>"
    Then the peer channel's request <verdict>

    Examples:
      | status             | details                    | verdict      |
      | RESOURCE_EXHAUSTED | not run: too little memory | has not run  |
      | RESOURCE_EXHAUSTED | larger than the maximum    | may have run |
      | CANCELLED          | not run: too little memory | may have run |
