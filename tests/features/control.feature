Feature: The control VMs fail and recover

  Scenario: A control VM is cut off silently for long
    Given a healthy system
    And notes is loaded
    When the last control VM is cut off silently
    And the operator publishes a change
    Then the change is in effect at every gateway within 20 s
    And no request was refused or lost while the VM was cut off for 15 s
    When the control VM is reachable again
    Then it knows the change within 20 s
    And no gateway has gone back to an older version

  Scenario: The leading control VM loses power
    Given a healthy system
    And notes is loaded
    When the leading control VM loses power
    Then no request was refused or lost meanwhile
    And the operator can publish a change

  Scenario: A second control VM is lost right after a repair
    Given a healthy system
    And notes is loaded
    When control VM 0 loses power
    And the operator publishes a change
    And control VM 0 is repaired
    And control VM 1 loses power as soon as VM 0 is back
    And the operator publishes a change
    Then the change is in effect at every gateway within 20 s
    And every key still works
