package simtest

import (
	"context"
	"time"

	"fawncove/internal/config"
	"fawncove/internal/core/eventloop"
	"fawncove/internal/wire"
)

// Edge connects a world that is played in real time with controllers that are
// processes. All calls come from the goroutine that drives the world.
type Edge interface {
	// Ask hands a request to a controller and posts its reply; a reply with
	// NoReply says that there was no answer.
	Ask(node string, ev eventloop.Event, then func(eventloop.Reply))
	// Open gives a machine an address, and Close takes it away.
	Open(machine string) (endpoint string)
	Close(machine string)
	// Run starts the command of a task and returns what ends it, or nil if
	// tasks run no commands; done is to be posted when it has ended by itself.
	Run(task string, attempt uint64, done func(ok bool)) (stop func())
}

// Driven is a world in real time: the same stand-ins and the same rules, with
// real sockets round them. Its methods are for the goroutine that drives it; all
// others post what they want.
type Driven struct {
	*World
	start time.Time
	calls chan func()
}

// NewDriven returns a small world of these controllers. Nothing happens before
// it is driven.
func NewDriven(seed uint64, names []string, cfg config.Cluster, machines int, edge Edge) *Driven {
	w := newWorld(seed, machines, cfg)
	w.edge, w.writes = edge, cfg.State.WriteRPS
	for i, name := range names {
		w.nodes = append(w.nodes, &simNode{w: w, name: name, zone: cfg.Zones[i%len(cfg.Zones)], rate: 1, up: true})
	}
	return &Driven{World: w, start: time.Now(), calls: make(chan func(), 256)}
}

// Drive plays the world until ctx ends.
func (d *Driven) Drive(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		d.Run(time.Since(d.start) - d.now)
		wait := 100 * time.Millisecond
		if len(d.queue) > 0 && len(d.broken) == 0 {
			wait = min(wait, max(0, d.queue[0].at-time.Since(d.start)))
		}
		timer.Reset(wait)
		select {
		case f := <-d.calls:
			f()
			d.check()
		case <-timer.C:
		case <-ctx.Done():
			for _, k := range d.byName() {
				d.kill(k.name)
			}
			return
		}
	}
}

// Post has f called by whoever drives the world, unless ctx ends before.
func (d *Driven) Post(ctx context.Context, f func()) {
	select {
	case d.calls <- f:
	case <-ctx.Done():
	}
}

// Txn runs a transaction of the state service.
func (d *Driven) Txn(t wire.Txn) eventloop.Completion { return d.store.txn(t) }

// Get reads a key of the state service.
func (d *Driven) Get(key string) eventloop.Completion { return d.store.get(key) }

// Page reads a page of keys.
func (d *Driven) Page(prefix, after string) eventloop.Completion { return d.store.page(prefix, after) }

// Revision is that of the last change.
func (d *Driven) Revision() wire.Revision { return d.store.rev }

// Watch has answer called when a key has changed after a revision, or after hold. node is the
// controller that watches, "" if that is not known.
func (d *Driven) Watch(node, prefix string, after wire.Revision, hold time.Duration, answer func(eventloop.Completion)) {
	d.store.watch(node, prefix, after, d.now+hold, answer)
}

// CloudAway has the cloud refuse everything for so long.
func (d *Driven) CloudAway(lasts time.Duration) { d.cloud.outage = d.now + lasts }

// cloudCall executes a call of the cloud, unless it refuses everything.
func (d *Driven) cloudCall(execute func() eventloop.Completion) eventloop.Completion {
	if d.now < d.cloud.outage {
		return eventloop.Completion{Outcome: eventloop.Unavailable}
	}
	return execute()
}

// Types are the cloud's machine types.
func (d *Driven) Types() eventloop.Completion { return d.cloudCall(d.cloud.types) }

// Rent rents machines.
func (d *Driven) Rent(r wire.InstanceRequest) eventloop.Completion {
	return d.cloudCall(func() eventloop.Completion { return d.cloud.rent(r) })
}

// Release ends machines.
func (d *Driven) Release(names []string) eventloop.Completion {
	return d.cloudCall(func() eventloop.Completion { return d.cloud.remove(names) })
}

// List lists machines, some seconds late.
func (d *Driven) List() eventloop.Completion { return d.cloudCall(d.cloud.list) }

// SubmitServices has users submit services of two replicas of a team now, numbered from
// first on.
func (d *Driven) SubmitServices(first, count int, team string, cpus float64) {
	d.replicas(first, count, team, cpus)
}

// CancelServices has users cancel the services of a team, or of all (""), that they have
// submitted.
func (d *Driven) CancelServices(team string) {
	for _, u := range d.users {
		if u.job.Shape == wire.Daemon && (team == "" || u.job.Team == team) && !u.wantsCancel {
			d.cancelAll([]*user{u})
		}
	}
}

// Use returns the processors that the tasks of a team use on machines.
func (d *Driven) Use(team string) float64 { return d.used[team] }

// Commands hands commands to a machine's worker; NoAnswer: it is not there.
func (d *Driven) Commands(machine string, c wire.Commands) (outcome eventloop.Outcome, r *wire.Heartbeat) {
	k := d.workers[machine]
	if k == nil || k.gone || !k.up {
		return eventloop.NoAnswer, nil
	}
	k.expire()
	return k.commands(c)
}

// Report is a machine's report, as asked for by /status.
func (d *Driven) Report(machine string) (r wire.Heartbeat, ok bool) {
	k := d.workers[machine]
	if k == nil || k.gone || !k.up {
		return r, false
	}
	return k.body(), true
}

// Lose ends a machine with all that is on it, as the cloud does; the i-th of
// those that are up.
func (d *Driven) Lose(i int) {
	var up []*worker
	for _, k := range d.byName() {
		if k.up && !k.gone {
			up = append(up, k)
		}
	}
	if len(up) > 0 {
		d.kill(up[i%len(up)].name)
	}
}

// Summary is what the stand-ins have seen.
type Summary struct {
	Machines, Running, Starts, Dones int
	Submitted, Accepted, Over        int // jobs
	Records                          int // in the state service
	PlainJobs, PlainPages            int // records in the form of versions from before levels
}

// Summary sums up what the stand-ins see at this moment.
func (d *Driven) Summary() Summary {
	s := Summary{Starts: d.Starts, Dones: d.Dones, Running: len(d.where), Records: len(d.store.values)}
	s.PlainJobs, s.PlainPages = d.plainRecords()
	for _, k := range d.workers {
		if k.up && !k.gone {
			s.Machines++
		}
	}
	for _, u := range d.users {
		if u.submitted {
			s.Submitted++
		}
		if u.accepted {
			s.Accepted++
		}
		if u.told != "" {
			s.Over++
		}
	}
	return s
}
