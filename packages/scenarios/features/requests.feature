Feature: Requests from callers to targets
  Work is accepted only with a valid team key, and each caller receives the answer to its own
  request.

  Background:
    Given 3 entries, 3 targets and a team "desk" with limit 30

  Scenario: Requests through every entry are answered
    When 10 requests are sent through each entry
    Then every request is answered with 200
    And every answer belongs to its own request

  Scenario: A withdrawn key stops working
    When 2 requests are sent through each entry
    Then every request is answered with 200
    When the operator withdraws the team's key
    Then a request through every entry is refused with 401 within 8 seconds

  Scenario: A withdrawn key stops working at an entry that cannot reach the log
    Given entry 3 is cut from the log
    When the operator withdraws the team's key
    Then a request through every entry is refused with 401 within 8 seconds
