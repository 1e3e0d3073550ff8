Feature: Control VMs fail and recover

  Scenario: A control VM is unreachable for a long time
    Given a healthy system
    And notes is loaded
    When all links of the last control VM silently drop data
    And the operator publishes a change
    Then the change is in effect at every gateway within 20 s
    And no request was refused or lost while the VM was unreachable for 15 s
    When the control VM is reachable again
    Then it receives the change within 20 s
    And no gateway has gone back to an older version

  Scenario: The control leader loses power
    Given a healthy system
    And notes is loaded
    When the control leader loses power
    Then no request was refused or lost during the failover
    And the operator can publish a change

  Scenario: A second control VM is lost right after a repair
    Given a healthy system
    And notes is loaded
    When control VM 0 loses power
    And the operator publishes a change
    And control VM 0 is restarted
    And control VM 1 loses power as soon as VM 0 has caught up
    And the operator publishes a change
    Then the change is in effect at every gateway within 20 s
    And existing caller keys are still accepted
