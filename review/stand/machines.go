//go:build review

package main

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"fawncove/internal/config"
	"fawncove/internal/wire"
)

const (
	// bootTime is how long a machine takes to come up: 0.6 of what the cloud says of its type.
	bootTime = 15 * time.Second
	readyS   = 25.0
	// fetchTime is how long an image takes to get to a machine.
	fetchTime = time.Second
	// answerTimeout is how long a worker waits for the answer to its report.
	answerTimeout = 4 * time.Second
)

// task is one attempt at a task on a machine.
type task struct {
	name    string
	attempt uint64
	state   string
	reason  string
	until   time.Time // fetching: when its image is there
}

// machine stands in for a machine and its worker, after the pages.
type machine struct {
	cloud                      *cloud
	name, kind, zone, endpoint string
	spot                       bool
	born, up                   time.Time
	server                     *http.Server

	mu        sync.Mutex
	gone      time.Time // when the cloud has returned it; zero: it is there
	hangUntil time.Time
	session   uint64
	sequence  uint64
	token     wire.FencingToken
	leaseFrom time.Time // when the last answered report was sent
	tasks     []*task
	node      int
	lastSent  time.Time
	changed   bool
}

// cloud stands in for the cloud and its machines.
type cloud struct {
	ctx     context.Context
	rec     *record
	cfg     config.Cluster
	nodes   []*controller
	address string

	mu       sync.Mutex
	machines []*machine
	answers  map[string][]string // by the name of the request
	left     map[string]time.Time
	known    map[string]bool // jobs that were submitted
}

// startCloud serves the cloud's interface.
func startCloud(ctx context.Context, rec *record, cfg config.Cluster) (*cloud, error) {
	c := &cloud{ctx: ctx, rec: rec, cfg: cfg, answers: map[string][]string{}, left: map[string]time.Time{}, known: map[string]bool{}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c.address = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /machine_types", func(w http.ResponseWriter, _ *http.Request) {
		respond(w, 200, wire.MachineTypes{Types: []wire.MachineType{{Name: "mali-cvor", CPUs: 4, MemoryGB: 32, CacheGB: 30, FetchGBPS: 0.5,
			Price: 0.31, SpotPrice: 0.13, BootS: readyS, Zones: cfg.Zones}}})
	})
	mux.HandleFunc("POST /machines", c.rent)
	mux.HandleFunc("POST /machines/release", c.release)
	mux.HandleFunc("GET /machines", c.list)
	server := &http.Server{Handler: mux}
	context.AfterFunc(ctx, func() { server.Close() })
	go func() { _ = server.Serve(l) }() // until the case ends
	return c, nil
}

func respond(w http.ResponseWriter, status int, v any) {
	body, err := wire.Encode(v)
	if err != nil {
		status = http.StatusInternalServerError
	}
	w.Header().Set("Content-Type", wire.ContentType)
	w.WriteHeader(status)
	_, _ = w.Write(body) // whoever asked may be gone
}

func read(r *http.Request, v any) error {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return err
	}
	return wire.Decode(body, v)
}

// maxMachines is how many machines the cloud has.
const maxMachines = 12

func (c *cloud) rent(w http.ResponseWriter, r *http.Request) {
	var req wire.InstanceRequest
	if err := read(r, &req); err != nil {
		respond(w, 400, wire.ErrorAnswer{Error: err.Error()})
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if names, ok := c.answers[req.ID]; ok {
		respond(w, 200, wire.Names{Machines: names})
		return
	}
	there := 0
	for _, m := range c.machines {
		if !m.isGone() {
			there++
		}
	}
	count := min(req.Count, maxMachines-there)
	if count <= 0 {
		respond(w, 503, wire.ErrorAnswer{Error: "no capacity"})
		return
	}
	var names []string
	for range count {
		m := &machine{cloud: c, name: fmt.Sprintf("host-%06d", len(c.machines)+1), kind: req.Type, zone: req.Zone, spot: req.Spot,
			born: time.Now(), up: time.Now().Add(bootTime), session: 1, node: rand.IntN(len(c.nodes))}
		if err := m.listen(); err != nil {
			respond(w, 503, wire.ErrorAnswer{Error: "no capacity"})
			return
		}
		c.machines = append(c.machines, m)
		names = append(names, m.name)
		go m.work()
	}
	c.answers[req.ID] = names
	c.rec.say("cloud: rents %v (%s, zone %s, spot %v)", names, req.Type, req.Zone, req.Spot)
	respond(w, 200, wire.Names{Machines: names})
}

func (c *cloud) release(w http.ResponseWriter, r *http.Request) {
	var names wire.Names
	if err := read(r, &names); err != nil {
		respond(w, 400, wire.ErrorAnswer{Error: err.Error()})
		return
	}
	c.mu.Lock()
	machines := slices.Clone(c.machines)
	c.mu.Unlock()
	for _, m := range machines {
		if slices.Contains(names.Machines, m.name) && !m.isGone() {
			c.rec.say("cloud: %s is returned", m.name)
			m.end()
		}
	}
	respond(w, 200, struct{}{})
}

// list describes the machines as they were list_lag_s ago.
func (c *cloud) list(w http.ResponseWriter, r *http.Request) {
	at := time.Now().Add(-config.Seconds(c.cfg.Cloud.ListLagS))
	c.mu.Lock()
	defer c.mu.Unlock()
	var list wire.MachineList
	for _, m := range c.machines {
		m.mu.Lock()
		listed := !m.born.After(at) && (m.gone.IsZero() || m.gone.After(at)) && m.name > r.URL.Query().Get("after")
		m.mu.Unlock()
		state := wire.MachineRunning
		if m.up.After(at) {
			state = wire.MachineBooting
		}
		if listed {
			list.Machines = append(list.Machines, wire.Machine{Name: m.name, Endpoint: m.endpoint, Type: m.kind, Zone: m.zone, Spot: m.spot,
				State: state, AgeS: at.Sub(m.born).Seconds()})
		}
	}
	respond(w, 200, list)
}

// whereIs returns the machine that a task is on; nil if it is on none.
func (c *cloud) whereIs(name string) *machine {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.machines {
		m.mu.Lock()
		on := slices.ContainsFunc(m.tasks, func(t *task) bool { return t.name == name && t.isOn() })
		m.mu.Unlock()
		if on {
			return m
		}
	}
	return nil
}

// busiest returns the controller that most machines with tasks report to.
func (c *cloud) busiest() *controller {
	counts := make([]int, len(c.nodes))
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.machines {
		m.mu.Lock()
		if len(m.tasks) > 0 && m.gone.IsZero() {
			counts[m.node]++
		}
		m.mu.Unlock()
	}
	return c.nodes[slices.Index(counts, slices.Max(counts))]
}

// isOn reports whether the task is on its machine: it has its image, and has not ended.
func (t *task) isOn() bool { return t.state == wire.TaskRunning }

// listen serves direct commands.
func (m *machine) listen() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	m.endpoint = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /commands", func(w http.ResponseWriter, r *http.Request) {
		var commands wire.Commands
		if err := read(r, &commands); err != nil {
			respond(w, 400, wire.ErrorAnswer{Error: err.Error()})
			return
		}
		if !m.waitAwake() {
			return // it is gone
		}
		m.mu.Lock()
		defer m.mu.Unlock()
		m.expire()
		status := 409
		if commands.Token >= m.token && commands.AgentEpoch == m.session {
			status = 200
			m.accept(commands.Token, commands.Commands)
		}
		respond(w, status, m.report())
	})
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		if m.waitAwake() {
			m.mu.Lock()
			defer m.mu.Unlock()
			respond(w, 200, m.report())
		}
	})
	m.server = &http.Server{Handler: mux}
	context.AfterFunc(m.cloud.ctx, func() { m.server.Close() })
	time.AfterFunc(bootTime, func() {
		if !m.isGone() {
			_ = m.server.Serve(l) // until the machine is gone
		}
	})
	return nil
}

func (m *machine) isGone() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.gone.IsZero()
}

// end ends the machine with all that is on it.
func (m *machine) end() {
	m.mu.Lock()
	m.gone = time.Now()
	m.killAll("its machine is returned")
	m.mu.Unlock()
	m.server.Close()
}

// hang has the machine do nothing for a while.
func (m *machine) hang(lasts time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.hangUntil = time.Now().Add(lasts)
}

// isHung reports whether the machine hangs. With mu held.
func (m *machine) isHung() bool { return time.Now().Before(m.hangUntil) }

// waitAwake waits until the machine does not hang, and reports whether it is there.
func (m *machine) waitAwake() bool {
	for {
		m.mu.Lock()
		hung, gone := m.isHung(), !m.gone.IsZero()
		m.mu.Unlock()
		if gone || m.cloud.ctx.Err() != nil {
			return false
		}
		if !hung {
			return true
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// leave notes that a task has left the machine. With mu held.
func (m *machine) leave(t *task, why string) {
	if !t.isOn() {
		return
	}
	m.cloud.rec.say("machine %s: %s attempt %d has left: %s", m.name, t.name, t.attempt, why)
	m.cloud.noteLeft(t.name)
}

// killAll kills and forgets every task. With mu held.
func (m *machine) killAll(why string) {
	for _, t := range m.tasks {
		m.leave(t, why)
	}
	m.tasks = nil
}

// expire ends the session when the lease has run out. With mu held.
func (m *machine) expire() {
	if time.Since(m.leaseFrom) > config.Seconds(m.cloud.cfg.Workers.LeaseS) {
		m.killAll("the lease of its worker has run out")
		m.session++
		m.leaseFrom, m.changed = time.Now(), true
	}
}

// report describes the machine. With mu held.
func (m *machine) report() wire.Heartbeat {
	m.sequence++
	hb := wire.Heartbeat{Machine: m.name, Endpoint: m.endpoint, Type: m.kind, Zone: m.zone, Spot: m.spot, AgentEpoch: m.session,
		Sequence: m.sequence, Token: m.token, Tasks: []wire.TaskStatus{}}
	for _, t := range m.tasks {
		hb.Tasks = append(hb.Tasks, wire.TaskStatus{Task: t.name, Attempt: t.attempt, State: t.state, Reason: t.reason})
	}
	return hb
}

// accept executes commands that came with a valid token. With mu held.
func (m *machine) accept(token wire.FencingToken, commands []wire.Command) {
	if token > m.token {
		m.token, m.changed = token, true
	}
	for _, command := range commands {
		i := slices.IndexFunc(m.tasks, func(t *task) bool { return t.name == command.Task && t.attempt == command.Attempt })
		switch {
		case command.Op == wire.CommandStart && i < 0:
			m.start(command)
		case command.Op == wire.CommandHalt && i >= 0 && m.tasks[i].state != wire.TaskEnded:
			m.leave(m.tasks[i], "it is halted")
			m.tasks[i].state, m.tasks[i].reason, m.changed = wire.TaskEnded, wire.ReasonStopped, true
		case command.Op == wire.CommandForget && i >= 0 && m.tasks[i].state == wire.TaskEnded:
			m.tasks = slices.Delete(m.tasks, i, i+1)
			m.changed = true
		}
	}
}

// start starts a task; each takes all of its machine. With mu held.
func (m *machine) start(command wire.Command) {
	id, _, _ := strings.Cut(command.Task, "/")
	t := &task{name: command.Task, attempt: command.Attempt, state: wire.TaskFetching, until: time.Now().Add(fetchTime)}
	for _, other := range m.tasks {
		if other.state != wire.TaskEnded {
			t.state, t.reason = wire.TaskEnded, wire.ReasonNoRoom
			if other.name == t.name {
				t.reason = wire.ReasonInUse
			}
		}
	}
	if !m.cloud.isSubmitted(id) {
		t.state, t.reason = wire.TaskEnded, wire.ReasonUnknown
	}
	m.tasks, m.changed = append(m.tasks, t), true
}

// work moves the worker on until the machine is gone. Tasks run for longer than the case lasts.
func (m *machine) work() {
	time.Sleep(time.Until(m.up))
	m.mu.Lock()
	m.leaseFrom = time.Now()
	m.mu.Unlock()
	hc := &http.Client{Timeout: answerTimeout, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	every := config.Seconds(m.cloud.cfg.Workers.ReportS)
	next := time.Now()
	for m.waitAwake() {
		m.mu.Lock()
		m.expire()
		for _, t := range m.tasks {
			if t.state == wire.TaskFetching && time.Now().After(t.until) {
				t.state, m.changed = wire.TaskRunning, true
				m.cloud.rec.say("machine %s: %s attempt %d runs", m.name, t.name, t.attempt)
			}
		}
		due := time.Now().After(next) || m.changed && time.Since(m.lastSent) > 500*time.Millisecond
		m.mu.Unlock()
		if due {
			wait := m.send(hc)
			next = time.Now().Add(wait)
			if wait == 0 {
				next = time.Now().Add(every*3/4 + rand.N(every/2))
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// send sends a report and does what the answer says. It returns after what time the next report is
// due; 0: as usual.
func (m *machine) send(hc *http.Client) (wait time.Duration) {
	m.mu.Lock()
	hb, sent, session, node := m.report(), time.Now(), m.session, m.cloud.nodes[m.node]
	m.lastSent, m.changed = sent, false
	m.mu.Unlock()
	body, err := wire.Encode(hb)
	if err != nil {
		return 0
	}
	resp, err := hc.Post("http://"+node.clients+"/checkin", wire.ContentType, bytes.NewReader(body))
	var raw []byte
	if err == nil {
		raw, err = io.ReadAll(resp.Body)
		resp.Body.Close()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.isHung() || !m.gone.IsZero() {
		return time.Millisecond // the answer is too late when it goes on
	}
	m.expire()
	var to wire.Redirect
	var answer wire.HeartbeatAnswer
	switch {
	case err == nil && resp.StatusCode == 200 && wire.Decode(raw, &answer) == nil:
		if m.session == session && answer.Token >= m.token {
			m.leaseFrom = sent
			m.accept(answer.Token, answer.Commands)
		}
		return 0
	case err == nil && resp.StatusCode == 421 && wire.Decode(raw, &to) == nil:
		i := slices.IndexFunc(m.cloud.nodes, func(n *controller) bool { return n.name == to.Controller })
		if i >= 0 && i != m.node {
			m.node = i
			return time.Millisecond
		}
	}
	m.node = (m.node + 1) % len(m.cloud.nodes)
	return time.Second
}

// noteLeft notes when a task has left its machine.
func (c *cloud) noteLeft(name string) {
	leftMu.Lock()
	defer leftMu.Unlock()
	c.left[name] = time.Now()
}

// leftAt returns when a task has left its machine.
func (c *cloud) leftAt(name string) (at time.Time, ok bool) {
	leftMu.Lock()
	defer leftMu.Unlock()
	at, ok = c.left[name]
	return at, ok
}

// submitted notes that users have submitted a job.
func (c *cloud) submitted(id string) {
	leftMu.Lock()
	defer leftMu.Unlock()
	c.known[id] = true
}

func (c *cloud) isSubmitted(id string) bool {
	leftMu.Lock()
	defer leftMu.Unlock()
	return c.known[id]
}

// leftMu guards left and known, which are used while a machine's mu is held.
var leftMu sync.Mutex

// byName orders machines.
func byName(a, b *machine) int { return cmp.Compare(a.name, b.name) }
