Feature: A planned restart interrupts no request

  Scenario: All processes are restarted one after another under load
    Given a healthy system
    And deposits is loaded
    When callers send requests continuously
    And each process is restarted, one after another
    Then every process has stopped cleanly
    And every request got a complete response
