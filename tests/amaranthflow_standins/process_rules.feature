Feature: Checks of the machine rules from outside

  # The update of a file's access time counted as 4096 bytes that an instance
  # had written to disks, in the first run of the demo after a day or a change.
  Scenario: A daemon whose program was not read for days writes nothing
    Given a copy of the program whose files were last read days ago
    When the program's files are read and a daemon is started
    Then that daemon breaks no machine rule

  Scenario: A process that writes to a disk breaks a machine rule
    When a process writes a file and waits
    Then that process has written to disks
