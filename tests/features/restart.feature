Feature: A planned stop interrupts no request

  Scenario: Everything is restarted in turn under load
    Given a healthy system
    And deposits is loaded
    When callers keep sending requests
    And each process is restarted in turn
    Then every process has stopped cleanly
    And every request was answered whole
