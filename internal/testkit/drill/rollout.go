package drill

import (
	"fmt"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"fawncove/internal/core/feature"
	"fawncove/internal/testkit/simtest"
	"fawncove/internal/upgrade"
)

// The drill of a rollout: from an earlier build to this one, and back, or on to the newest
// level.

// Rollout rolls from the earlier build to this one, and back, or on to the
// newest level.
func (d *Drill) Rollout() error {
	if err := d.until("tasks run", time.Minute, func() bool { s, _ := d.Summary(); return s.Running > 0 }); err != nil {
		return err
	}
	d.status()
	if err := d.noteEarlierLevel(); err != nil {
		return err
	}
	if err := d.roll(d.plan.Binary); err != nil {
		return err
	}
	if d.plan.Back {
		if err := d.sleep(5 * time.Second); err != nil {
			return err
		}
		if err := d.roll(d.plan.From); err != nil {
			return err
		}
		s, _ := d.Summary()
		d.say("back at the earlier build; %d jobs over, nothing is stored that it cannot read", s.Over)
		return nil
	}
	return d.raise()
}

// noteEarlierLevel notes the newest level that the earlier build says it can follow; one from
// before levels says none.
func (d *Drill) noteEarlierLevel() error {
	status, err := upgrade.Read(d.ctx, d.store, d.cfg)
	if err != nil {
		return err
	}
	for _, c := range status.Controllers {
		d.earlierLevel = max(d.earlierLevel, feature.Level(c.NewestLevel))
	}
	return nil
}

// roll replaces one controller after the other, in the order and at the pace
// that an operator's plan says, every other one without a warning.
func (d *Drill) roll(binary string) error {
	for k := range d.procs {
		p := d.next(binary)
		if p == nil {
			return nil
		}
		how := "told to end"
		if k%2 == 0 {
			how = "killed"
			p.signal(syscall.SIGKILL)
		} else {
			p.signal(syscall.SIGTERM)
		}
		if err := p.replace(binary); err != nil {
			return err
		}
		began := time.Now()
		if err := d.until(p.name+" takes users", 40*time.Second, func() bool { return p.healthy(d.ctx) }); err != nil {
			return err
		}
		d.say("%s %s and started as %s; takes users after %.1f s", p.name, how, filepath.Base(binary), time.Since(began).Seconds())
		d.host.Look(func(w *simtest.Driven) { w.Lose(k) }) // a machine goes at the same time
		if err := d.settle(); err != nil {
			return err
		}
	}
	return nil
}

// next returns the controller to be replaced next: the leader last.
func (d *Drill) next(binary string) *process {
	leader := ""
	if p, err := upgrade.Read(d.ctx, d.store, d.cfg); err == nil {
		for _, c := range p.Controllers {
			if c.Leads {
				leader = c.Name
			}
		}
	}
	var last *process
	for _, p := range d.procs {
		switch {
		case p.binary == binary:
		case p.name == leader:
			last = p
		default:
			return p
		}
	}
	return last
}

// settle waits until the plan says that another controller may be replaced.
func (d *Drill) settle() error {
	var why []string
	var before *upgrade.Status
	err := d.until("the next one may be replaced", time.Minute, func() bool {
		now, err := upgrade.Read(d.ctx, d.store, d.cfg)
		if err != nil {
			return false
		}
		if before == nil {
			before = now
		}
		why = now.ReasonsToWait(before)
		return len(why) == 0
	})
	if err != nil {
		return fmt.Errorf("%w: %s", err, strings.Join(why, "; "))
	}
	return nil
}

// raise has the level raised, waits until all is rewritten, and has the earlier
// build come back, which must serve nobody.
func (d *Drill) raise() error {
	status, err := upgrade.Read(d.ctx, d.store, d.cfg)
	if err != nil {
		return err
	}
	if err := status.Request(d.ctx, d.store, feature.OperatorRequest{TargetLevel: feature.Newest}, time.Now()); err != nil {
		return err
	}
	err = d.until("the level is confirmed", 40*time.Second, func() bool {
		status, err = upgrade.Read(d.ctx, d.store, d.cfg)
		return err == nil && status.Confirmed == feature.Newest
	})
	if err != nil {
		return fmt.Errorf("%w: %s", err, strings.Join(status.LevelBlockers, "; "))
	}
	d.say("level %d, confirmed by all controllers", status.Confirmed)
	var s simtest.Summary
	if err := d.until("all records are rewritten", time.Minute, func() bool {
		s, _ = d.Summary()
		return s.PlainJobs+s.PlainPages == 0
	}); err != nil {
		return fmt.Errorf("%w: %d jobs and %d pages are left", err, s.PlainJobs, s.PlainPages)
	}
	d.say("all records are in their newest form")
	return d.tryEarlierBuild(status.Confirmed)
}

// tryEarlierBuild puts the earlier build in place of one controller after the level was
// raised: it takes no users, unless it can follow that level.
func (d *Drill) tryEarlierBuild(level feature.Level) error {
	p := d.procs[1]
	p.signal(syscall.SIGTERM)
	if err := p.replace(d.plan.From); err != nil {
		return err
	}
	if d.earlierLevel >= level {
		if err := d.until(p.name+" takes users in the earlier build", 40*time.Second, func() bool { return p.healthy(d.ctx) }); err != nil {
			return err
		}
		d.say("%s came back in the earlier build, which can follow level %d, and takes users", p.name, level)
		return d.backToNewest(p)
	}
	for range 20 {
		if err := d.sleep(400 * time.Millisecond); err != nil {
			return err
		}
		if p.healthy(d.ctx) {
			return fmt.Errorf("%s takes users in the earlier build, though the level was raised", p.name)
		}
	}
	d.say("%s came back in the earlier build and takes no users", p.name)
	return d.backToNewest(p)
}

// backToNewest puts this build in place of a controller again.
func (d *Drill) backToNewest(p *process) error {
	p.signal(syscall.SIGKILL)
	if err := p.replace(d.plan.Binary); err != nil {
		return err
	}
	return d.until(p.name+" takes users", 40*time.Second, func() bool { return p.healthy(d.ctx) })
}
