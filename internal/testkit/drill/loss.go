package drill

import (
	"fmt"
	"time"

	"fawncove/internal/core/recovery"
	"fawncove/internal/testkit/simtest"
	"fawncove/internal/wire"
)

// The drill of a state service that is restored from an older copy.

// LoseState puts an older copy of the state in place of it while jobs run, and
// waits until the controllers have made it whole.
func (d *Drill) LoseState() error {
	if err := d.until("tasks run", time.Minute, func() bool { s, _ := d.Summary(); return s.Running > 0 && s.Over > 2 }); err != nil {
		return err
	}
	d.status()
	lost, err := d.loseFirst()
	if err != nil {
		return err
	}
	s, _ := d.Summary()
	d.say("the state service has now what it had %v ago: %d records, without the last %d changes", d.plan.Lose, s.Records, lost)
	if err := d.loseAgain(); err != nil {
		return err
	}
	var g recovery.Generation
	if err := d.until("the state is rebuilt", 90*time.Second, func() bool {
		var err error
		g, _, err = recovery.Read(d.ctx, d.store)
		return err == nil && g.Generation > 1
	}); err != nil {
		return err
	}
	s, _ = d.Summary()
	d.say("%s has rebuilt it: generation %d, %d jobs and %d ends stored again, %d machines taken over, %d records", g.Controller, g.Generation, g.Jobs, g.Ends, g.Machines, s.Records)
	return nil
}

// loseFirst puts an older copy of the state in place of it, at a moment at which that lacks some
// change, and returns how many.
func (d *Drill) loseFirst() (lost wire.Revision, err error) {
	for until := time.Now().Add(lossTimeout); time.Now().Before(until); {
		d.host.Look(func(w *simtest.Driven) { lost = w.LoseState(d.plan.Lose) })
		if lost > 0 {
			return lost, nil
		}
		if err := d.sleep(lossRetryInterval); err != nil {
			return 0, err
		}
	}
	return 0, fmt.Errorf("nothing was written within %v for %v: there is nothing to lose", d.plan.Lose, lossTimeout)
}

const (
	// lossTimeout is how long a moment is waited for at which the state has something to lose.
	lossTimeout       = 30 * time.Second
	lossRetryInterval = 5 * time.Millisecond
)

// loseAgain puts the copy of the first loss in place of the state once more, if the plan says
// so, while that loss is recovered.
func (d *Drill) loseAgain() error {
	if d.plan.Again == 0 {
		return nil
	}
	first := time.Now()
	if err := d.sleep(d.plan.Again); err != nil {
		return err
	}
	before, _ := d.Summary()
	d.host.Look(func(w *simtest.Driven) { w.LoseState(time.Since(first)) })
	after, _ := d.Summary()
	d.say("the same copy is in its place again, %v after that: %d records in place of %d", d.plan.Again, after.Records, before.Records)
	return nil
}
