Feature: A refund runs at most once

  Scenario: A caller retries its refund through another gateway
    Given a healthy system
    When a caller sends refund r-1 through gateway 0
    And the caller retries refund r-1 through gateway 1
    Then both requests get the same response
    And the ledger has run refund r-1 once

  Scenario: A gateway crashes before it responds
    Given a healthy system
    And the ledger takes 30 s for a refund
    When a caller sends refund r-2 through gateway 0
    And gateway 0 crashes while the ledger runs refund r-2
    And the caller retries refund r-2 through gateway 1
    Then the caller is told that the outcome is unknown
    And the ledger has run refund r-2 once

  Scenario: A gateway crashes after it has responded
    Given a healthy system
    When a caller sends refund r-3 through gateway 0
    And gateway 0 crashes
    And the caller retries refund r-3 through gateway 1
    Then both requests get the same response
    And the ledger has run refund r-3 once
