Feature: Targets leave and die

  Scenario: A server is taken out of service
    Given a healthy system
    And pallets is loaded
    When the server of pallets is asked to leave while it serves streams
    Then the server gets no new work after 4 s
    And every stream is answered whole
    And pallets is served by another server

  Scenario: A server loses power in the middle of a load
    Given a healthy system
    And nobody has asked for menus for a long time
    And loads take 20 s
    When a bar asks for menus
    And the server that loads menus loses power
    Then the bar gets its answer from another server
    And no accelerator's memory was overcommitted
