Feature: Request files

  Scenario: The digest depends on the content, not on the formatting
    Given a requests file with '{"change": {"change_id": "c", "key": "k"}}'
    And a requests file with '{"change": {"key":"k",  "changeId":"c"}}'
    Then both requests files have the same digest

  Scenario: A different value gives a different digest
    Given a requests file with '{"change": {"change_id": "c", "key": "k"}}'
    And a requests file with '{"change": {"change_id": "c", "key": "K"}}'
    Then both requests files have different digests

  Scenario: The digest covers the bytes that are sent
    Given a requests file with '{"change": {"change_id": "c", "key": "k"}}'
    Then its requests digest is the SHA-256 of hex "0a060a016312016b"

  Scenario: A file that is too large is refused
    Given a requests file with '{}' followed by 2000000 blanks
    Then the requests file is refused with "over 1048576 bytes"

  Scenario Outline: An invalid file is refused in one line that names it
    Given a requests file with '<text>'
    Then the requests file is refused with "<problem>"

    Examples:
      | text                                            | problem          |
      | {"change"                                       | Failed to load   |
      | {"change": {"change_id": "c", "ke": "k"}}       | named "ke"       |
      | {"change": {"change_id": "c"}}                  | change.key       |
      | {"change": {"key": "k"}}                        | change.change_id |
      | {"change": {"expected_version": -1}}            | out of range     |
      | {"change": {"remove": true, "withdraw": true}}  | oneof            |
      | []                                              |                  |
