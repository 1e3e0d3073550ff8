Feature: A withdrawn key stops working within seconds

  Scenario: The key of a connected caller is withdrawn
    Given a healthy system
    And notes is loaded
    And a caller with key lost-phone is reading a stream from notes
    When the operator withdraws key lost-phone
    Then new requests with key lost-phone are refused within 4 s
    And the open stream is cut off within 10 s
    And no target has received key lost-phone

  Scenario: A withdrawn key cannot be granted again
    Given a healthy system
    And a team has key old-till
    When the operator withdraws key old-till
    And the operator grants key old-till again
    Then the grant is refused
