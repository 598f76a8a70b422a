Feature: Resources that the daemon must not use

  Scenario: A process that holds nothing forbidden passes
    Given a guards process table
    When guards look at the process
    Then guards find nothing

  Scenario Outline: A forbidden resource is named
    Given a guards process table
    And the guards process holds <resource>
    When guards look at the process
    Then guards find only "<finding>"

    Examples:
      | resource             | finding                                  |
      | an io_uring          | descriptor 9 is an io_uring              |
      | a ring mapping       | mapping of an io_uring                   |
      | a memfd              | descriptor 9 is shared memory /memfd:x   |
      | a shm mapping        | mapping of shared memory /dev/shm/x      |
      | a read-only shm mapping | mapping of shared memory /dev/shm/x |
      | a shared mapping     | shared writable mapping of /dev/zero     |
      | a file for writing   | descriptor 9 writes to file              |
      | a child              | child process 78 some (odd) name         |

  Scenario Outline: What is permitted is not reported
    Given a guards process table
    And the guards process holds <resource>
    When guards look at the process
    Then guards find nothing

    Examples:
      | resource              |
      | a file for reading    |
      | a file as stdout      |
      | a private mapping     |
      | another process child |

  Scenario: This very process is read from the kernel's tables
    Given a guards descriptor for writing in this process
    When guards look at this process
    Then guards name that descriptor
