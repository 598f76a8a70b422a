Feature: Calls between instances

  # A field that is left out ends the handover of a term, and nothing else shows.
  Scenario Outline: The fields of a call arrive
    When an instance calls "<name>" of another one with "<fields>"
    Then the other instance gets these fields

    Examples:
      | name   | fields                                                          |
      | accept | {"id": "00000000000000a1", "record": "{}"}                      |
      | count  | {"token": 3, "queue": "h/p"}                                    |
      | state  | {"token": 3, "id": "00000000000000a1"}                          |
      | term   | {"token": 3, "follows": true}                                   |
      | yield  | {"token": 3, "successor": 7}                                    |
      | yield  | {"token": 3, "successor": 7, "instance": "i2", "address": "a2"} |

  Scenario: Unknown fields of a call are left out
    When an instance calls "term" of another one with "{"token": 3, "other": []}"
    Then the other instance gets the fields "{"token": 3}"
