package controller

import (
	"testing"
	"time"

	"fawncove/internal/config"
	"fawncove/internal/core/step"
	"fawncove/internal/wire"
)

// TestFreshnessCountsFromTheFirstPage: reading all jobs takes long where the state
// service is slow. A cancellation made after the first page was read need not be
// known, so workers may be answered only for as long as that allows.
func TestFreshnessCountsFromTheFirstPage(t *testing.T) {
	c, start := newCore(t, []config.Team{{Name: "free"}}, wire.LeaseRecord{})
	c = New(c.view.Cfg, c.view.Par, c.log, 8)
	now := start
	at := func(d time.Duration) { now = start.Add(d) }
	ranges := func(effects []step.Effect) (id uint64) {
		for _, e := range effects {
			if r, ok := e.(step.StateRange); ok && r.Prefix == jobPrefix {
				id = r.ID
			}
		}
		return id
	}
	var gets func(effects []step.Effect) (last []step.Effect)
	gets = func(effects []step.Effect) []step.Effect {
		for _, e := range effects {
			if g, ok := e.(step.StateGet); ok {
				return gets(c.Step(now, step.Completed{ID: g.ID, State: true, Status: 404}))
			}
		}
		return effects
	}
	c.Step(now, step.Tick{})
	at(time.Second)
	first := ranges(gets(c.Step(now, step.Tick{})))
	if first == 0 {
		t.Fatal("no page was asked for")
	}
	asked := now
	at(9 * time.Second)
	second := ranges(c.Step(now, step.Completed{ID: first, State: true, Status: 200, Page: wire.Page{Revision: 1, More: true,
		Pairs: []wire.Pair{{Key: jobPrefix + "wk-000001", Version: 1}}}}))
	at(18 * time.Second)
	gets(c.Step(now, step.Completed{ID: second, State: true, Status: 200, Page: wire.Page{Revision: 2}}))
	if !c.loaded {
		t.Fatal("not read")
	}
	w := c.view.Cfg.Cluster.Workers
	for _, x := range []struct {
		after  time.Duration
		status int
	}{{0, 200}, {config.Seconds(w.CancelS - w.LeaseS), 503}} {
		now = maxTime(now, asked.Add(x.after))
		status := 0
		for _, e := range c.Step(now, step.ReportIn{Req: 1, Report: wire.Report{Machine: "host-000001", Type: "s4", Session: 1, Seq: 1 + uint64(x.after)}}) {
			if r, ok := e.(step.Reply); ok {
				status = r.Status
			}
		}
		if (status == 503) != (x.status == 503) {
			t.Errorf("a worker gets %d, %v after the first page was asked for", status, now.Sub(asked))
		}
	}
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
