Feature: A refund is paid out at most once

  Scenario: A bar repeats its refund through another gateway
    Given a healthy system
    When a bar sends refund r-1 through gateway 0
    And the bar sends refund r-1 again through gateway 1
    Then both times the bar gets the same answer
    And the ledger has run refund r-1 once

  Scenario: The gateway dies before the bar gets its answer
    Given a healthy system
    And the ledger takes 30 s for a refund
    When a bar sends refund r-2 through gateway 0
    And gateway 0 dies while the ledger works on refund r-2
    And the bar sends refund r-2 again through gateway 1
    Then the bar learns that the outcome is unknown
    And the ledger has run refund r-2 once

  Scenario: The gateway dies after the bar got its answer
    Given a healthy system
    When a bar sends refund r-3 through gateway 0
    And gateway 0 dies
    And the bar sends refund r-3 again through gateway 1
    Then both times the bar gets the same answer
    And the ledger has run refund r-3 once
