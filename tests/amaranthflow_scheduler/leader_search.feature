Feature: Instances without the store find the leader

  Scenario: The known leader is asked first, then another seed in each round
    Given a search for the leader by "n9" with the seeds "n1 n2 n3 n9"
    Then its rounds ask "n1 n2 n3", "n2 n3 n1", "n3 n1 n2", "n1 n2 n3"
    When the search knows the leader "n2"
    Then its rounds ask "n2 n1 n3", "n2 n3 n1", "n2 n1 n3"
    When the search knows the leader "n9"
    Then its rounds ask "n1 n2 n3", "n2 n3 n1"

  Scenario Outline: A round ends with an answer that is certain
    Given an instance that knows the leader of token 3 asks others
    When the leader search gets the answers "<answers>"
    Then the round of the leader search <goes>

    # A token, and whether the instance that answers reads the store. While the
    # store is away for all, a round costs two calls.
    Examples:
      | answers      | goes    |
      | 3 reads      | ends    |
      | 3 cut        | goes on |
      | 7 cut        | ends    |
      | 2 cut        | goes on |
      | none reads   | goes on |
      | 3 cut, 7 cut | ends    |
      | 3 cut, 3 cut | ends    |

  Scenario Outline: Only a newer term replaces the known one
    Given an instance that knows the leader of token 3 asks others
    When the leader search gets the answers "<answers>"
    Then the leader of token <token> is followed, <age> s after it was learned

    # The known term was learned 5 s before the answers came.
    Examples:
      | answers      | token | age |
      | 2 reads      | 3     | 5   |
      | 3 cut, 7 cut | 7     | 0   |
      | 7 cut        | 7     | 0   |

  Scenario Outline: An answer that cannot be read is left out
    When the answer <answer> to a search for the leader is decoded
    Then the answer to the search for the leader is refused

    Examples:
      | answer                      |
      | {"token": "x"}              |
      | {"token": 0}                |
      | {"token": 3, "address": []} |

  Scenario: An earlier version does not tell whether it reads the store
    When the answer {"token": 3, "instance": "n1", "address": "n1"} to a search for the leader is decoded
    Then the answer to the search for the leader counts as read from the store
