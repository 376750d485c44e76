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
		"a cut":                {drill.Plan{CutLink: time.Second}, ""},
		"the longest cut":      {drill.Plan{CutLink: 10 * time.Minute}, ""},
		"a longer cut":         {drill.Plan{CutLink: 11 * time.Minute}, "--cut-link: 11m0s"},
		"a negative cut":       {drill.Plan{CutLink: -time.Second}, "--cut-link: -1s"},
		"a cut beside a loss":  {drill.Plan{CutLink: time.Second, Lose: time.Second}, "--cut-link and --lose-state"},
		"a cut, cloud away":    {drill.Plan{CutLink: time.Second, CloudAway: time.Second}, "--cut-link and --cloud-away"},
		"a cut in a rollout":   {drill.Plan{CutLink: time.Second, From: "earlier"}, "--cut-link and --upgrade-from"},
	} {
		t.Run(name, func(t *testing.T) {
			err := checkPlan(&c.plan, c.plan.CutLink != 0)
			if (err == nil) != (c.want == "") || err != nil && !strings.Contains(err.Error(), c.want) {
				t.Errorf("%v, want %q", err, c.want)
			}
		})
	}
}

// TestRefusedCutLink: what --cut-link does not take is refused by its name, with exit status 2,
// before anything is started.
func TestRefusedCutLink(t *testing.T) {
	for _, value := range []string{"0s", "-5s", "10m1s", "soon"} {
		t.Run(value, func(t *testing.T) {
			var messages strings.Builder
			cmd := tryCommand()
			cmd.SilenceUsage, cmd.SilenceErrors = true, true
			cmd.SetErr(&messages)
			cmd.SetArgs([]string{"--cut-link", value})
			if err := cmd.Execute(); err != exitUsage || !strings.Contains(messages.String(), "--cut-link") {
				t.Errorf("%v, %q", err, messages.String())
			}
		})
	}
}
