Feature: Operators publish configurations

  Scenario: Two operators publish under one version
    Given a healthy system
    When two operators publish changes under the next version
    Then exactly one is accepted and the other learns who was faster
    And the accepted change is in effect at every gateway
    When the faster operator sends the same again, as after a lost answer
    Then it is accepted again without a new version

  Scenario: A publication based on an old version cannot undo a withdrawal
    Given a healthy system
    And an operator prepares a change under the next version
    And another operator withdraws a key meanwhile
    When the first operator publishes the prepared change
    Then the publication is refused
    And the withdrawn key still does not work
