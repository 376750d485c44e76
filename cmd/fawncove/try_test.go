package main

import (
	"strings"
	"testing"
	"time"

	"fawncove/internal/testkit/drill"
)

// TestPlansThatMakeNoSense: each is refused by the name of its flag.
func TestPlansThatMakeNoSense(t *testing.T) {
	for name, c := range map[string]struct {
		plan drill.Plan
		want string // "": it is fine
	}{
		"none":                 {drill.Plan{}, ""},
		"one":                  {drill.Plan{Lose: time.Second}, ""},
		"two":                  {drill.Plan{Lose: time.Second, Again: time.Second}, ""},
		"a second without one": {drill.Plan{Again: time.Second}, "--lose-state-again needs --lose-state"},
		"a negative one":       {drill.Plan{Lose: -time.Second}, "--lose-state: -1s"},
		"a cloud away":         {drill.Plan{CloudAway: time.Second}, ""},
		"a negative time":      {drill.Plan{CloudAway: -time.Second}, "--cloud-away: -1s"},
		"a negative second":    {drill.Plan{Lose: time.Second, Again: -time.Second}, "--lose-state-again: -1s"},
	} {
		t.Run(name, func(t *testing.T) {
			err := checkPlan(&c.plan)
			if (err == nil) != (c.want == "") || err != nil && !strings.Contains(err.Error(), c.want) {
				t.Errorf("%v, want %q", err, c.want)
			}
		})
	}
}
