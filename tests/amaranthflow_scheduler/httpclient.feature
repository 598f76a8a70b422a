Feature: Responses that the HTTP client reads

  Scenario Outline: A response over the limit ends the call and the connection
    Given an HTTP client that reads responses of up to 1000 bytes
    When its server sends "<start>" and then letters without end
    Then the HTTP client's call is uncertain, "response over 1000 bytes"
    And the HTTP client has closed the connection

    Examples:
      | start                                                    |
      | HTTP/1.1 200 OK\r\nContent-Length: 100000000\r\n\r\n     |
      | HTTP/1.1 200 OK\r\n\r\n                                  |
      | HTTP/1.1 200 OK\r\nX:                                    |
      | HTTP/1.1 200 OK\r\n                                      |
      | HTTP/1.1 200                                             |

  Scenario: A response of the limit is read
    Given an HTTP client that reads responses of up to 1000 bytes
    When its server sends a response of 1000 bytes
    Then the HTTP client's call has status 200

  Scenario: A call that finds all connections busy was certainly not sent
    Given an HTTP client that reads responses of up to 1000 bytes
    When a second call has to wait for the first one's response
    Then the HTTP client's second call was not sent, "all connections to * are busy"

  Scenario Outline: Clients of many addresses keep few connections together
    Given HTTP clients of 12 addresses that keep up to <most> connections
    When each of them makes <calls> calls at the same time, twice
    Then all calls are answered
    And at most <most> connections are open, the last ones used

    Examples:
      | most | calls |
      | 8    | 1     |
      | 8    | 3     |
      | 0    | 2     |
