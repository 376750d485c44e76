package drill

import (
	"errors"
	"fmt"
	"syscall"
	"time"

	"fawncove/internal/config"
	"fawncove/internal/testkit/simtest"
	"fawncove/internal/upgrade"
)

// The drill of a controller that restarts while teams are at their limits and the cloud
// does not answer: what the process reads from it at its start comes late.

const (
	// teamLimit is the limit of the teams that are at it, in processors.
	teamLimit = 24
	// largeLimit is the limit of a team that does nothing. It lets the fleet count as a
	// large one, whose limits are sharded.
	largeLimit = 20_000
	// limitMachines bounds the machines: enough for the limits and what runs beside.
	limitMachines = 30
	// servicesPerTeam are the services of two replicas submitted for each team: more than
	// its limit allows.
	servicesPerTeam = 10
	serviceCPUs     = 2
	// restartAfter is how long the controller is away.
	restartAfter = 4 * time.Second
	// lookInterval spaces the looks at what teams use.
	lookInterval = 3 * time.Second
)

// limitTeams are the teams of the drill.
func limitTeams() []config.Team {
	return []config.Team{{Name: "red", CPUs: teamLimit / 2, CPUsMax: teamLimit}, {Name: "blue", CPUs: teamLimit / 2, CPUsMax: teamLimit},
		{Name: "free"}, {Name: "large", CPUsMax: largeLimit}}
}

// RestartWithoutCloud has all teams at their limits, ends a controller that does not lead,
// has the cloud refuse everything until a while after its return, and waits until it takes
// users again. Then all services are cancelled.
func (d *Drill) RestartWithoutCloud() error {
	d.host.Look(func(w *simtest.Driven) {
		for i, team := range []string{"red", "blue", "free"} {
			w.SubmitServices(1000+100*i, servicesPerTeam, team, serviceCPUs)
		}
	})
	d.services += 3 * servicesPerTeam
	if err := d.until("teams are at their limits", 2*time.Minute, func() bool { return d.use("red") == teamLimit && d.use("blue") == teamLimit }); err != nil {
		return err
	}
	p, err := d.follower()
	if err != nil {
		return err
	}
	d.sayUse("teams are at their limits")
	p.signal(syscall.SIGKILL)
	d.host.Look(func(w *simtest.Driven) {
		w.CloudAway(restartAfter + d.plan.CloudAway)
		w.CancelServices("free") // their machines are room for what waits
	})
	d.say("%s killed; the cloud refuses everything until %v after its return", p.name, d.plan.CloudAway)
	if err := d.sleep(restartAfter / 2); err != nil {
		return err
	}
	d.host.Look(func(w *simtest.Driven) {
		w.SubmitServices(2000, servicesPerTeam, "red", serviceCPUs)
		w.SubmitServices(2100, servicesPerTeam, "blue", serviceCPUs)
	})
	d.services += 2 * servicesPerTeam
	if err := d.sleep(restartAfter / 2); err != nil {
		return err
	}
	if err := p.replace(p.binary); err != nil {
		return err
	}
	if err := d.watchLimits(p); err != nil {
		return err
	}
	d.host.Look(func(w *simtest.Driven) { w.CancelServices("") })
	return nil
}

// watchLimits looks at what teams use until a controller that has returned takes users.
func (d *Drill) watchLimits(p *process) error {
	for end := time.Now().Add(d.plan.CloudAway + 30*time.Second); ; {
		healthy := p.healthy(d.ctx)
		d.sayUse(fmt.Sprintf("%s takes users: %v", p.name, healthy))
		if _, broken := d.Summary(); len(broken) > 0 || healthy {
			return nil // Finish says what is broken
		}
		if time.Now().After(end) {
			return fmt.Errorf("%s takes no users %v after the cloud is back", p.name, 30*time.Second)
		}
		if err := d.sleep(lookInterval); err != nil {
			return err
		}
	}
}

// follower returns a controller that does not lead.
func (d *Drill) follower() (*process, error) {
	status, err := upgrade.Read(d.ctx, d.store, d.cfg)
	if err != nil {
		return nil, err
	}
	for _, c := range status.Controllers {
		for _, p := range d.procs {
			if p.name == c.Name && !c.Leads {
				return p, nil
			}
		}
	}
	return nil, errors.New("no controller that does not lead")
}

// use returns the processors that a team's tasks use.
func (d *Drill) use(team string) (cpus float64) {
	d.host.Look(func(w *simtest.Driven) { cpus = w.Use(team) })
	return cpus
}

// sayUse says what the teams use that have limits.
func (d *Drill) sayUse(what string) {
	d.say("%s; red uses %v and blue %v of %d processors each", what, d.use("red"), d.use("blue"), teamLimit)
}
