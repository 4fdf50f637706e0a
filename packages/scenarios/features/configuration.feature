Feature: Propagation of the configuration
  An accepted configuration takes effect at every entry within seconds and never reverts.

  Background:
    Given 3 entries, 2 targets and a team "desk" with limit 20

  Scenario: A patch takes effect at every entry
    When the operator sets the limit of team "desk" to 12
    Then the patch is answered with 200 "settled"
    And version 2 is in force at every entry within 8 seconds
    And the operator sees version 2 in the status of every entry
    And the history of entry 3 since version 1 has 1 change

  Scenario: Two operators submit conflicting patches
    When two operators race to set the limit of team "desk" to 11 and 12
    Then one patch is applied and the other is refused, telling what changed
    And version 2 is in force at every entry within 8 seconds

  Scenario: The log's response to an append is lost
    Given the log loses the answer to the next append
    When the operator sets the limit of team "desk" to 12
    Then the patch is answered with 200 "settled"
    And version 2 is in force at every entry within 8 seconds

  Scenario: The log is unavailable
    When the operator sets the limit of team "desk" to 12
    And version 2 is in force at every entry within 8 seconds
    And the log goes down
    And the operator sets the limit of team "desk" to 13
    Then every entry still has version 2
    When the log comes back
    And 2 requests are sent through each entry
    Then every request is answered with 200
