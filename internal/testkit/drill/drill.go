// Package drill runs a small cluster on one machine: three controllers as real
// processes, with stand-ins for all that is round them (package loopback). It is
// the way in for a new user, and the exercise of a rollout, from an earlier build
// to this one and back, under load and with kills, judged by the rules as the
// stand-ins see them.
package drill

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"path/filepath"
	"syscall"
	"time"

	"fawncove/internal/config"
	"fawncove/internal/core/feature"
	"fawncove/internal/edge/statestore"
	"fawncove/internal/testkit/loopback"
	"fawncove/internal/testkit/simtest"
)

// Plan is what a drill does.
type Plan struct {
	Binary string        // this build
	From   string        // an earlier build to start with; empty: none
	Back   bool          // roll back to it before the level is raised
	Lose   time.Duration // put a copy of the state so old in its place; 0: do not
	Again  time.Duration // put the same copy in its place again so long after that; 0: do not
	// CloudAway is how long the cloud is away after a controller has restarted while
	// teams are at their limits; 0: that is not played.
	CloudAway time.Duration
	// CutLink is how long the link between two controllers is cut, and a cancellation lost
	// meanwhile; 0: that is not played.
	CutLink time.Duration

	Jobs int           // sample jobs
	Over time.Duration // in which they are submitted
	Run  []string      // command of every task; empty: tasks only take their time
	Dir  string        // for settings and logs
	Seed uint64
	Out  io.Writer
}

// Drill is a cluster at work.
type Drill struct {
	plan  Plan
	ctx   context.Context
	host  *loopback.Host
	procs []*process
	store *statestore.Store
	cfg   *config.Settings // of the first controller
	links links            // between controllers, if one is to be cut
	begun time.Time

	services     int           // submitted beside the sample jobs
	earlierLevel feature.Level // the newest that the earlier build can follow
}

// controllers are the names of the processes.
var controllers = [...]string{"n0", "n1", "n2"}

// sampleMachines bounds the machines for the sample jobs.
const sampleMachines = 12

// machines returns how many machines the cloud has at most.
func (p *Plan) machines() int {
	if p.CloudAway > 0 {
		return limitMachines
	}
	return sampleMachines
}

// settings are those of the cluster, small enough for any machine.
func (p *Plan) settings() config.Cluster {
	s := config.Cluster{
		InitialSize: len(controllers), Zones: []string{"x", "y"}, ClockErrorMs: 50,
		Teams:   []config.Team{{Name: "red", CPUs: 8, CPUsMax: 12}, {Name: "blue", CPUs: 4, CPUsMax: 16}, {Name: "free"}},
		Workers: config.Workers{ReportS: 2, LeaseS: 12, CancelS: 34},
		State:   config.State{RPS: 200, WriteRPS: 100, ValueKB: 8, TxnOps: 12},
		Cloud:   config.Cloud{RPS: 10, ListLagS: 4},
	}
	if p.CloudAway > 0 {
		s.Teams = limitTeams()
	}
	return s
}

// Start starts the stand-ins and the controllers. Stop must follow.
func Start(ctx context.Context, plan Plan) (*Drill, error) {
	d := &Drill{plan: plan, ctx: ctx, begun: time.Now(), links: links{}}
	addrs, err := free(2 * len(controllers))
	if err != nil {
		return nil, err
	}
	nodes := map[string]string{}
	for i, name := range controllers {
		p := &process{name: name, clients: addrs[2*i], binary: plan.Binary,
			settings: filepath.Join(plan.Dir, name+".toml"), log: filepath.Join(plan.Dir, name+".log")}
		if plan.From != "" {
			p.binary = plan.From
		}
		nodes[name] = p.clients
		d.procs = append(d.procs, p)
	}
	d.host = loopback.New(ctx, nodes, plan.Run, slog.New(slog.DiscardHandler))
	world := simtest.NewDriven(plan.Seed, controllers[:], plan.settings(), plan.machines(), d.host)
	if err := d.host.Start(world); err != nil {
		return nil, err
	}
	for i, p := range d.procs {
		s, err := d.controllerSettings(i, addrs)
		if err != nil {
			return nil, err
		}
		if err := writeSettings(p.settings, s); err != nil {
			return nil, err
		}
		if err := p.start(); err != nil {
			return nil, err
		}
	}
	if d.cfg, err = config.Load(d.procs[0].settings); err != nil {
		return nil, err
	}
	d.store = statestore.New(d.host.State, d.cfg.Cluster.State.RPS, d.cfg.Cluster.State.WriteRPS, 1)
	d.host.Look(func(w *simtest.Driven) {
		for i := range plan.Jobs {
			w.Submit(i, 3*time.Second+plan.Over*time.Duration(i)/time.Duration(max(1, plan.Jobs)))
		}
	})
	return d, nil
}

// controllerSettings returns the settings of the i-th controller. addrs are two addresses for
// each controller: for clients, and for the other controllers.
func (d *Drill) controllerSettings(i int, addrs []string) (*config.Settings, error) {
	cluster := d.plan.settings()
	s := &config.Settings{HostName: d.procs[i].name, Area: cluster.Zones[i%2], ClientListen: addrs[2*i], ClusterListen: addrs[2*i+1],
		External: config.External{Cloud: d.host.Cloud, State: d.host.State}, Cluster: cluster}
	if d.plan.CutLink > 0 {
		var err error
		if s.External.State, err = d.host.StateFor(s.HostName); err != nil {
			return nil, err
		}
	}
	for k, peer := range d.procs {
		if k == i {
			continue
		}
		endpoint := addrs[2*k+1]
		if d.plan.CutLink > 0 {
			var err error
			if endpoint, err = d.links.add(d.ctx, s.HostName, peer.name, endpoint); err != nil {
				return nil, err
			}
		}
		s.Peers = append(s.Peers, config.Peer{HostName: peer.name, Area: cluster.Zones[k%2], Endpoint: endpoint})
	}
	return s, nil
}

// Stop ends the controllers, those that do not end by themselves by force.
func (d *Drill) Stop() {
	for _, p := range d.procs {
		p.signal(syscall.SIGTERM)
	}
	for _, p := range d.procs {
		p.wait(15 * time.Second)
	}
}

// free finds ports that nobody listens on.
func free(n int) ([]string, error) {
	var out []string
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("a free port: %w", err)
		}
		defer l.Close()
		out = append(out, l.Addr().String())
	}
	return out, nil
}

// Settings is the settings file of the first controller, for the commands of an
// operator.
func (d *Drill) Settings() string { return d.procs[0].settings }
