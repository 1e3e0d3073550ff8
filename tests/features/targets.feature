Feature: Targets leave and die

  Scenario: A server loses power in the middle of a load
    Given a healthy system
    And nobody has asked for menus for a long time
    And loads take 20 s
    When a bar asks for menus
    And the server that loads menus loses power
    Then the bar gets its answer from another server
    And no accelerator's memory was overcommitted
