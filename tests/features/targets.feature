Feature: Targets shut down and fail

  Scenario: An engine is shut down while it serves streams
    Given a healthy system
    And pallets is loaded
    When the engine of pallets is asked to stop while it serves streams
    Then the engine gets no new work after 4 s
    And every stream is completed
    And pallets is served by another engine

  Scenario: An engine loses power while it loads a model
    Given a healthy system
    And menus is not loaded
    And each load takes 20 s longer
    When a caller requests menus
    And the engine that loads menus loses power
    Then the caller gets a response from another engine
    And no accelerator's memory was overcommitted
