Feature: Calls of a service over HTTP

  Scenario: The reply is printed unchanged
    Given calls go to an instance that answers "plan 7"
    When calls run "--payload hides"
    Then calls end with 0 and print "plan 7"
    And calls sent "hides" to "/v1/services/cut%2Fplans/call" for "malabar"

  Scenario Outline: An incomplete or unrelated reply is not printed
    Given calls go to an instance that answers with <fault>
    When calls run "--payload hides"
    Then calls end with 3 and the error "<error>"

    Examples:
      | fault                | error                                      |
      | another request's id | may have run: * is for another request     |
      | a byte missing       | may have run: * the reply is damaged       |
      | a closed connection  | may have run: *                            |
      | garbage              | may have run: * status 500 without a verdi |
      | a redirect           | may have run: * status 307 without a verdi |

  Scenario Outline: The next instance is called only if the verdict allows it
    Given calls go to an instance that answers with <fault>
    And calls go next to an instance that answers "plan 7"
    When calls run "<options>"
    Then calls end with <code>
    And calls reached the next instance <count> times

    Examples:
      | fault                   | options                  | code | count |
      | a closed port           | --payload x              | 0    | 1     |
      | no capacity for 2000 ms | --payload x              | 0    | 1     |
      | an unknown service      | --payload x              | 1    | 0     |
      | a closed connection     | --payload x              | 3    | 0     |
      | a closed connection     | --payload x --idempotent | 0    | 1     |

  Scenario: One lost reply makes the whole call uncertain
    Given calls go to an instance that answers with a closed connection
    And calls go to an instance that answers with a closed port
    When calls run "--payload x --idempotent"
    Then calls end with 3

  Scenario: The retry time is printed
    Given calls go to an instance that answers with no capacity for 2000 ms
    When calls run "--payload x"
    Then calls end with 4 and the error "not run: * busy; try again in 2 s"
