// Package drill runs a small cluster on one machine: three controllers as real
// processes, with stand-ins for all that is round them (package loopback). It is
// the way in for a new user, and the exercise of a rollout, from an earlier build
// to this one and back, under load and with kills, judged by the rules as the
// stand-ins see them.
package drill

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/BurntSushi/toml"

	"fawncove/internal/config"
	"fawncove/internal/core/feature"
	"fawncove/internal/core/recovery"
	"fawncove/internal/edge/statestore"
	"fawncove/internal/testkit/loopback"
	"fawncove/internal/testkit/simtest"
	"fawncove/internal/upgrade"
	"fawncove/internal/wire"
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
	begun time.Time

	services     int           // submitted beside the sample jobs
	earlierLevel feature.Level // the newest that the earlier build can follow
}

// process is one controller.
type process struct {
	name, settings, log, clients string
	binary                       string
	cmd                          *exec.Cmd
	ended                        chan struct{}
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
	d := &Drill{plan: plan, ctx: ctx, begun: time.Now()}
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
		s := &config.Settings{HostName: p.name, Area: plan.settings().Zones[i%2], ClientListen: addrs[2*i], ClusterListen: addrs[2*i+1],
			External: config.External{Cloud: d.host.Cloud, State: d.host.State}, Cluster: plan.settings()}
		for k, peer := range d.procs {
			if k != i {
				s.Peers = append(s.Peers, config.Peer{HostName: peer.name, Area: plan.settings().Zones[k%2], Endpoint: addrs[2*k+1]})
			}
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

func writeSettings(path string, s *config.Settings) error {
	f, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	err = toml.NewEncoder(f).Encode(s)
	if err := errors.Join(err, f.Close()); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	return nil
}

func (p *process) start() error {
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return fmt.Errorf("log of %s: %w", p.name, err)
	}
	defer log.Close()
	p.cmd = exec.Command(p.binary, "serve", "--config", p.settings)
	p.cmd.Stderr = log
	// Its own group: an interrupt at the terminal is for whoever runs the drill,
	// who ends the controllers in order.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := p.cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.name, err)
	}
	ended := make(chan struct{})
	p.ended = ended
	go func() { _ = p.cmd.Wait(); close(ended) }() // killed ones end with an error
	return nil
}

func (p *process) signal(s syscall.Signal) {
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s) // it may have ended
	}
}

// wait waits for the process to end, and kills it after d.
func (p *process) wait(d time.Duration) {
	if p.cmd == nil {
		return
	}
	select {
	case <-p.ended:
	case <-time.After(d):
		p.signal(syscall.SIGKILL)
		<-p.ended
	}
}

// replace starts another binary in the place of a process that was told to end.
func (p *process) replace(binary string) error {
	p.wait(15 * time.Second)
	p.binary = binary
	return p.start()
}

// healthy tells whether the controller takes users.
func (p *process) healthy(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.clients+"/healthz", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

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

// Finish waits until all jobs are over, telling now and then, and returns what
// was found wrong.
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

// Settings is the settings file of the first controller, for the commands of an
// operator.
func (d *Drill) Settings() string { return d.procs[0].settings }

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

// next is the controller to be replaced next: the leader last.
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
	pic, err := upgrade.Read(d.ctx, d.store, d.cfg)
	if err != nil {
		return err
	}
	if err := pic.Request(d.ctx, d.store, feature.OperatorRequest{TargetLevel: feature.Newest}, time.Now()); err != nil {
		return err
	}
	err = d.until("the level is confirmed", 40*time.Second, func() bool {
		pic, err = upgrade.Read(d.ctx, d.store, d.cfg)
		return err == nil && pic.Confirmed == feature.Newest
	})
	if err != nil {
		return fmt.Errorf("%w: %s", err, strings.Join(pic.LevelBlockers, "; "))
	}
	d.say("level %d, confirmed by all controllers", pic.Confirmed)
	var s simtest.Summary
	if err := d.until("all records are rewritten", time.Minute, func() bool {
		s, _ = d.Summary()
		return s.PlainJobs+s.PlainPages == 0
	}); err != nil {
		return fmt.Errorf("%w: %d jobs and %d pages are left", err, s.PlainJobs, s.PlainPages)
	}
	d.say("all records are in their newest form")
	return d.tryEarlierBuild(pic.Confirmed)
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
