Feature: The active scheduler fails

  Scenario: The active scheduler is killed while a model is loading
    Given a healthy system
    And labels is not loaded
    And each load takes 6 s longer
    When a caller requests labels
    And the active scheduler is killed while labels is loading
    Then the caller gets a response
    And another scheduler has taken over
    And labels was loaded once
    And no accelerator's memory was overcommitted
