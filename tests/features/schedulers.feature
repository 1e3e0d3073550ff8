Feature: The scheduler fails

  Scenario: The active scheduler is killed in the middle of a load
    Given a healthy system
    And nobody has asked for labels for a long time
    And each load takes 6 s longer
    When a bar asks for labels
    And the active scheduler is killed while labels is loading
    Then the bar gets its answer
    And another scheduler has taken over
    And labels was loaded once
    And no accelerator's memory was overcommitted
