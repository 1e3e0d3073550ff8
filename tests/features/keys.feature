Feature: A withdrawn key stops working within seconds

  Scenario: The key of a connected caller is withdrawn
    Given a healthy system
    And notes is loaded
    And a bar with key lost-phone is reading about notes
    When the operator withdraws key lost-phone
    Then new requests with key lost-phone are refused within 4 s
    And the long answer ends within 10 s without its end
    And no target has seen key lost-phone

  Scenario: A withdrawn key cannot be granted again
    Given a healthy system
    And a bar has key old-till
    When the operator withdraws key old-till
    And the operator grants key old-till again
    Then the operator is told that the key cannot be granted
