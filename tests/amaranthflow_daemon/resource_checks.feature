Feature: Resources that the daemon must not use

  Scenario: A process that holds nothing forbidden passes
    Given a process table for the resource checks
    When the resource checks inspect the process
    Then the resource checks find nothing

  Scenario Outline: A forbidden resource is named
    Given a process table for the resource checks
    And the checked process holds <resource>
    When the resource checks inspect the process
    Then the resource checks find only "<finding>"

    Examples:
      | resource                | finding                                |
      | an io_uring             | descriptor 9 is an io_uring            |
      | an io_uring mapping     | mapping of an io_uring                 |
      | a memfd                 | descriptor 9 is shared memory /memfd:x |
      | a shm mapping           | mapping of shared memory /dev/shm/x    |
      | a read-only shm mapping | mapping of shared memory /dev/shm/x    |
      | a shared mapping        | shared writable mapping of /dev/zero   |
      | a file for writing      | descriptor 9 writes to file            |
      | a child                 | child process 78 some (odd) name       |

  Scenario Outline: A permitted resource is not reported
    Given a process table for the resource checks
    And the checked process holds <resource>
    When the resource checks inspect the process
    Then the resource checks find nothing

    Examples:
      | resource              |
      | a file for reading    |
      | a file as stdout      |
      | a private mapping     |
      | another process child |

  Scenario: The current process is read from the kernel's tables
    Given a descriptor for writing in the process of the resource checks
    When the resource checks inspect this process
    Then the resource checks report that descriptor
