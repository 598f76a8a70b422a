Feature: Settings of the review's instances

  Scenario: The program reads the settings that the review writes
    When a review instance writes its settings
    Then the program has the addresses, store and seeds of the review instance
    And the program has review setting hold_max_ms 6000
    And the program has review setting state_kept_s 120
    And the program has review setting grace_s 6
    And the program has review setting core_share 0.537
    And the program has review setting core_speed 2
    And the program has review setting link_mbps 1000
    And the program has review setting memory_mb 300
    And the program has review setting max_descriptors 4100
    And the program has review setting evacuate_ms null
    And the program has review setting adviser_address null

  Scenario Outline: Fields with sections of their own arrive, if there are any
    Given review field "bounds.evacuate_ms" is <bound>
    And review field "advice" is <adviser>
    When a review instance writes its settings
    Then the program has review setting evacuate_ms <bound>
    And the program has review setting adviser_address <adviser>

    Examples:
      | bound | adviser           |
      | 5000  | null              |
      | null  | "10.200.1.9:8169" |
      | 5000  | "10.200.1.9:8169" |

  Scenario Outline: Each field of the limits arrives
    Given review field "<field>" is <value>
    When a review instance writes its settings
    Then the program has review setting <setting> <value>

    Examples:
      | field             | value | setting         |
      | limits.memory_mb  | 41    | memory_mb       |
      | limits.max_fds    | 977   | max_descriptors |
      | limits.cpu_share  | 0.25  | core_share      |
      | limits.cores      | 3     | core_speed      |
      | limits.link_mbps  | 12.5  | link_mbps       |

  Scenario: A field that the review does not provide is named
    Given there is no review field "limits.max_fds"
    When a review instance writes its settings
    Then the review refuses to write them, naming "limits.max_fds"

  Scenario Outline: Templates of the review are filled in
    When review template '<template>' is filled in
    Then the review text is '<text>'

    Examples: values
      | template                           | text                  |
      | {{name}} {{deep.word}} {{list.1}}  | one w b               |
      | {{list}} {{deep}} {{yes}}          | a,b {"word": "w"} true |
      | {{none}}{{absent}}{{deep.absent}}. | .                     |
      | {{name\|json}} {{list\|json}} {{none\|json}} | "one" ["a", "b"] null |
      | { {{name}} }{{name}}}              | { one }one}           |
      | {{#deep}}{{.\|json}}{{/deep}}      | "w"                   |

    Examples: sections
      | template                                      | text         |
      | {{#deep.word}}[{{.}}]{{/deep.word}}           | [w]          |
      | {{#yes}}{{name}}{{/yes}}{{#zero}}{{.}}{{/zero}} | one0       |
      | {{#no}}x{{/no}}{{#none}}x{{/none}}{{#absent}}x{{/absent}}{{#deep.absent}}x{{/deep.absent}}. | . |
      | {{^no}}x{{/no}}{{^none}}y{{/none}}{{^deep.absent}}z{{/deep.absent}} | xyz |
      | {{^yes}}x{{/yes}}{{^deep.word}}y{{/deep.word}}{{^zero}}z{{/zero}}. | . |
      | {{#list}}{{@}}={{.}}{{,}}{{/list}}            | 0=a,1=b      |
      | {{#zones}}{{@}}={{.}}{{,}}{{/zones}}          | z1=r1,z2=r2  |
      | {{#rows}}{{name}}{{deep.word}}{{,}}{{/rows}}  | twow,onev    |
      | {{#rows}}{{#list}}{{.}}{{/list}}{{,}}{{/rows}} | ab,ab       |
      | {{#list}}{{#list}}{{.}}{{,}}{{/list}};{{/list}} | a,b;a,b;   |
      | {{#empty}}x{{/empty}}.                        | .            |

  Scenario Outline: A review template with an unpaired section is refused
    When review template '<template>' is filled in
    Then the review refuses it, naming "<tag>"

    Examples:
      | template                 | tag      |
      | {{#name}}x               | {{#name}} |
      | x{{/name}}               | {{/name}} |
      | {{#name}}{{#name}}{{/name}} | {{#name}} |
