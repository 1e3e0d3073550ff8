Feature: One team does not slow down the others

  Scenario: A team sends several times its rate
    Given a healthy system
    And reviews is loaded
    When the reviewers send five times their rate and the drivers send requests
    Then every driver gets a complete response
    And 95 in 100 drivers get the first token within 0.75 s
    And failed reviews report a rate limit or a missed deadline
    And no review that was reported as not run has run
    And the reviewers got no more tokens than their rate and burst
