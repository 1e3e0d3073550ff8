Feature: Cold starts

  Scenario: Many callers request a model that is not loaded
    Given a healthy system
    And deposits is not loaded
    When 45 callers request deposits at the same time through all gateways
    Then every caller gets the complete response to its own request
    And deposits was loaded once
    And no accelerator's memory was overcommitted
