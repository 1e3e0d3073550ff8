Feature: One team does not slow the others

  Scenario: The overnight review sends several times its rate
    Given a healthy system
    And reviews is loaded
    When the reviewers send five times their rate beside the drivers
    Then every driver gets the whole answer
    And 95 in 100 drivers get the first token within 0.75 s
    And the reviewers learn why a review was not answered
    And no review that was reported as not run has run
    And the reviewers got no more tokens than their rate and burst
