Feature: Operators steer traffic by the command line

  Background:
    Given two halls that serve decks with a shift to region b capped at 20%

  Scenario: A team moves its own shift within the cap
    When team cards runs "shift start to-b --position 0.1"
    Then the command ends with 0
    And every entry has the accepted revision in force
    And the audit trail names cards and "shift start to-b"

  Scenario: A step past the cap is refused with the remedy
    When team cards runs "shift start to-b --position 0.3"
    Then the command ends with 2
    And the message says "raise the cap"

  Scenario: Another team may not touch it
    When team photos runs "shift start to-b --position 0.1"
    Then the command ends with 4
    And the message says "Ask the team that owns it"

  Scenario: A file written before somebody's drain does not undo it
    When team cards runs "drain a1-t1"
    And team ops applies the first file again against revision 1
    Then the command ends with 3
    And the message says "halldoor plan FILE"

  Scenario: An unknown token changes nothing
    When team nobody runs "drain a1-t1"
    Then the command ends with 4
