Feature: A refund is paid out at most once

  Scenario: A bar repeats its refund through another gateway
    Given a healthy system
    When a bar sends refund r-1 through gateway 0
    And the bar sends refund r-1 again through gateway 1
    Then both times the bar gets the same answer
    And the ledger has run refund r-1 once

  Scenario: The gateway dies after the bar got its answer
    Given a healthy system
    When a bar sends refund r-3 through gateway 0
    And gateway 0 dies
    And the bar sends refund r-3 again through gateway 1
    Then both times the bar gets the same answer
    And the ledger has run refund r-3 once
