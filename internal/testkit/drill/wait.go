package drill

import (
	"fmt"
	"strings"
	"time"

	"fawncove/internal/testkit/simtest"
)

// What all drills do: wait for something, say how far they are, and finish.

// say prints a line with the time since the drill began.
func (d *Drill) say(format string, args ...any) {
	fmt.Fprintf(d.plan.Out, "%5.1f s  ", time.Since(d.begun).Seconds())
	fmt.Fprintf(d.plan.Out, format+"\n", args...)
}

// sleep waits, unless the drill is ended before.
func (d *Drill) sleep(t time.Duration) error {
	select {
	case <-time.After(t):
		return nil
	case <-d.ctx.Done():
		return d.ctx.Err()
	}
}

// until waits for something to come true.
func (d *Drill) until(what string, within time.Duration, f func() bool) error {
	for end := time.Now().Add(within); !f(); {
		if time.Now().After(end) {
			return fmt.Errorf("%s: not within %v", what, within)
		}
		if err := d.sleep(200 * time.Millisecond); err != nil {
			return err
		}
	}
	return nil
}

// Summary is what the stand-ins see.
func (d *Drill) Summary() (s simtest.Summary, broken []string) {
	d.host.Look(func(w *simtest.Driven) { s, broken = w.Summary(), w.Broken() })
	return s, broken
}

// status prints what the controllers and the stand-ins are doing.
func (d *Drill) status() {
	s, _ := d.Summary()
	up := 0
	for _, p := range d.procs {
		if p.healthy(d.ctx) {
			up++
		}
	}
	d.say("%d controllers take users; %d machines, %d tasks run, %d were started, %d completed; jobs: %d submitted, %d accepted, %d over",
		up, s.Machines, s.Running, s.Starts, s.Dones, s.Submitted, s.Accepted, s.Over)
}

// Ready waits until all controllers take users.
func (d *Drill) Ready() error {
	return d.until("controllers take users", 30*time.Second, func() bool {
		for _, p := range d.procs {
			if !p.healthy(d.ctx) {
				return false
			}
		}
		return true
	})
}

// Finish waits until all jobs are over, printing the state every few seconds, and returns
// what was found wrong.
func (d *Drill) Finish(within time.Duration) error {
	end, next := time.Now().Add(within), time.Now()
	for {
		s, broken := d.Summary()
		if len(broken) > 0 {
			return fmt.Errorf("rules broken: %s", strings.Join(broken, "; "))
		}
		if s.Submitted == d.plan.Jobs+d.services && s.Over == s.Accepted && s.Accepted == s.Submitted {
			d.status()
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d jobs are over after all", s.Over, d.plan.Jobs+d.services)
		}
		if !time.Now().Before(next) {
			d.status()
			next = time.Now().Add(5 * time.Second)
		}
		if err := d.sleep(300 * time.Millisecond); err != nil {
			return err
		}
	}
}
