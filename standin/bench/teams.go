package main

import (
	"fmt"
	"io"
)

// teamShare is what a team asked for and got within the time that fairness covers. Work is
// in seconds on a slot of speed 1.
type teamShare struct {
	Team    string         `json:"team"`
	Weight  float64        `json:"weight"`
	Demand  float64        `json:"demand_s"`
	Got     float64        `json:"got_s"`
	Fair    float64        `json:"fair_s"`   // weighted max-min share of what all teams got
	Refused map[string]int `json:"outcomes"` // jobs that were not complete, by outcome
}

// addOutcome counts a job that was not complete.
func (t *teamShare) addOutcome(name string) {
	if t.Refused == nil {
		t.Refused = make(map[string]int)
	}
	t.Refused[name]++
}

// writeTeams prints one line for each team of each policy.
func writeTeams(w io.Writer, rows []*summary) error {
	for _, s := range rows {
		for _, t := range s.Teams {
			_, err := fmt.Fprintf(w, "%s %s team %s (weight %g): demand %.0f, got %.0f, fair %.0f; not complete: %v\n",
				s.Scenario, s.Policy, t.Team, t.Weight, t.Demand, t.Got, t.Fair, t.Refused)
			if err != nil {
				return err
			}
		}
	}
	return nil
}
