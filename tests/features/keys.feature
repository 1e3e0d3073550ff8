Feature: A withdrawn key stops working within seconds

  Scenario: A withdrawn key cannot be granted again
    Given a healthy system
    And a bar has key old-till
    When the operator withdraws key old-till
    And the operator grants key old-till again
    Then the operator is told that the key cannot be granted
