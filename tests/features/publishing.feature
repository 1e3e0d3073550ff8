Feature: Operators publish configurations

  Scenario: Two operators publish under one version
    Given a healthy system
    When two operators publish changes under the next version
    Then exactly one is accepted and the other is told who published first
    And the accepted change is in effect at every gateway
    When the accepted operator retries, as after a lost response
    Then it is accepted again without a new version

  Scenario: A publication based on an old version cannot undo a withdrawal
    Given a healthy system
    And an operator prepares a change under the next version
    And another operator withdraws a key in the meantime
    When the first operator publishes the prepared change
    Then the publication is refused
    And the withdrawn key is still refused
