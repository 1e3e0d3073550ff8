Feature: Cold starts at closing time

  Scenario: All bars ask for their deposits at closing time
    Given a healthy system
    And nobody has asked for deposits for a long time
    When 45 bars ask for deposits at the same moment through all gateways
    Then every bar gets the whole answer to its own question
    And deposits was loaded once
    And no accelerator's memory was overcommitted
