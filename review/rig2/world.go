//go:build review

// Command rig2 plays the surroundings of a small deployment for the cases of the second
// review: state service, cloud, machines and users, as the protocol describes them, on
// loopback addresses and in real time. The controllers are separate processes, started with
// the commands of the deploy file.
package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// object is a MessagePack map.
type object = map[string]any

// world is everything round the controllers.
type world struct {
	mu      sync.Mutex
	start   time.Time
	record  *os.File
	dir     string
	broken  []string // rules that were broken
	set     settings
	state   *stateService
	cloud   *cloud
	nodes   []*node
	jobs    map[string]*job
	program string
	spawned []*exec.Cmd
}

// settings are those of the deployment that a case plays.
type settings struct {
	controllers              int
	zones                    []string
	reportS, leaseS, cancelS float64
	rps, writeRPS, valueKB   float64
	txnOps                   int
	cloudRPS, listLagS       float64
	cores, ramMB             float64
	sockets                  int
	teams                    []team
	types                    []machineType
}

type team struct {
	name          string
	cpus, cpusMax float64
}

type machineType struct {
	name                     string
	vcpus, memoryGb          float64
	hourly, lowPrice, readyS float64
	cacheGb, pullGbPerS      float64
	zones                    []string
}

// job is what users and workers know of a job.
type job struct {
	id          string
	body        object
	tasks       int
	runS        float64
	acceptedAt  time.Time
	cancelledAt time.Time // when its user was first told
	askedCancel bool
	ended       string // done or cancelled, as told
	completed   map[int]bool
}

func newWorld(set settings, record, program string) (*world, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "rig2-")
	if err != nil {
		return nil, err
	}
	w := &world{start: time.Now(), record: f, dir: dir, set: set, jobs: map[string]*job{}, program: program}
	w.state = newStateService(w)
	w.cloud = newCloud(w)
	return w, nil
}

// log writes a line of the record.
func (w *world) log(format string, args ...any) {
	fmt.Fprintf(w.record, "%8.3f %s\n", time.Since(w.start).Seconds(), fmt.Sprintf(format, args...))
}

// breaks notes that a rule was broken. With mu held or not.
func (w *world) breaks(rule, format string, args ...any) {
	text := rule + ": " + fmt.Sprintf(format, args...)
	w.broken = append(w.broken, text)
	w.log("BROKEN %s", text)
}

// host and processHost are loopback addresses of this run alone, of the stand-ins and of the
// processes that it starts: two runs at the same time do not meet, and no stand-in takes the port
// of a process that is away.
var (
	network     = fmt.Sprintf("127.%d.%d.", 1+rand.IntN(250), 1+rand.IntN(250))
	host        = network + "1"
	processHost = network + "2"
)

// serve runs a server on a free loopback port.
func serve(h http.Handler) (addr string, stop func()) {
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		panic(err)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = s.Serve(l) }()
	return l.Addr().String(), func() { _ = s.Close() }
}

// freePorts finds free loopback ports, all of them different.
func freePorts(n int) (addrs []string, err error) {
	for range n {
		l, err := net.Listen("tcp", processHost+":0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		addrs = append(addrs, l.Addr().String())
	}
	return addrs, nil
}

func reply(rw http.ResponseWriter, status int, v any) {
	b, err := msgpack.Marshal(v)
	if err != nil {
		panic(err)
	}
	rw.Header().Set("Content-Type", "application/msgpack")
	rw.WriteHeader(status)
	_, _ = rw.Write(b)
}

func readBody(r *http.Request, v any) error {
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return err
	}
	return msgpack.Unmarshal(b, v)
}

// call sends a request; status 0: no answer.
func call(ctx context.Context, hc *http.Client, method, url string, in any) (status int, out object, err error) {
	var body io.Reader
	if in != nil {
		b, err := msgpack.Marshal(in)
		if err != nil {
			return 0, nil, err
		}
		body = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return 0, nil, err
	}
	resp, err := hc.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil, err
	}
	_ = msgpack.Unmarshal(b, &out) // an empty or unreadable body is none
	return resp.StatusCode, out, nil
}

func asFloat(v any) float64 {
	switch n := v.(type) {
	case int8:
		return float64(n)
	case int16:
		return float64(n)
	case int32:
		return float64(n)
	case int64:
		return float64(n)
	case uint8:
		return float64(n)
	case uint16:
		return float64(n)
	case uint32:
		return float64(n)
	case uint64:
		return float64(n)
	case float32:
		return float64(n)
	case float64:
		return n
	}
	return 0
}

func asUint(v any) uint64 {
	switch n := v.(type) {
	case int8:
		return uint64(n)
	case int16:
		return uint64(n)
	case int32:
		return uint64(n)
	case int64:
		return uint64(n)
	case uint8:
		return uint64(n)
	case uint16:
		return uint64(n)
	case uint32:
		return uint64(n)
	case uint64:
		return n
	}
	return 0
}

func asText(v any) string {
	s, _ := v.(string)
	return s
}

func asBool(v any) bool {
	b, _ := v.(bool)
	return b
}

// node is one controller.
type node struct {
	w                *world
	name, zone       string
	clients, cluster string
	settings         string
	cmd              *exec.Cmd
	out              *os.File
	hc               *http.Client
}

// startNodes writes the settings and starts all controllers.
func (w *world) startNodes() error {
	n := w.set.controllers
	addrs, err := freePorts(2 * n)
	if err != nil {
		return err
	}
	for i := range n {
		w.nodes = append(w.nodes, &node{w: w, name: fmt.Sprintf("stall-%d", i), zone: w.set.zones[i%len(w.set.zones)],
			clients: addrs[2*i], cluster: addrs[2*i+1],
			hc: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}})
	}
	for _, nd := range w.nodes {
		if err := nd.write(); err != nil {
			return err
		}
		if err := nd.run(); err != nil {
			return err
		}
	}
	return nil
}

func (nd *node) write() error {
	w, s := nd.w, nd.w.set
	var b strings.Builder
	fmt.Fprintf(&b, "host_name = %q\narea = %q\nclient_listen = %q\ncluster_listen = %q\n\n", nd.name, nd.zone, nd.clients, nd.cluster)
	for _, p := range w.nodes {
		if p == nd {
			continue
		}
		fmt.Fprintf(&b, "[[peers]]\nhost_name = %q\narea = %q\nendpoint = %q\n\n", p.name, p.zone, p.cluster)
	}
	fmt.Fprintf(&b, "[external]\ncloud = %q\nstate = %q\n\n", w.cloud.addr, w.state.addrFor(nd.name))
	fmt.Fprintf(&b, "[cluster]\ninitial_size = %d\nzones = [", s.controllers)
	for i, z := range s.zones {
		if i > 0 {
			b.WriteString(", ")
		}
		fmt.Fprintf(&b, "%q", z)
	}
	fmt.Fprintf(&b, "]\nclock_error_ms = 100.0\n\n")
	for _, t := range s.teams {
		fmt.Fprintf(&b, "[[cluster.teams]]\nname = %q\ncpus = %.1f\ncpus_max = %.1f\ngpus = 0.0\ngpus_max = 0.0\n\n", t.name, t.cpus, t.cpusMax)
	}
	fmt.Fprintf(&b, "[cluster.workers]\nreport_s = %.1f\nlease_s = %.1f\ngang_wait_s = 50.0\ngang_peer_s = 4.0\ncancel_s = %.1f\n\n", s.reportS, s.leaseS, s.cancelS)
	fmt.Fprintf(&b, "[cluster.state]\nrps = %.1f\nwrite_rps = %.1f\nvalue_kb = %.1f\ntxn_ops = %d\n\n", s.rps, s.writeRPS, s.valueKB, s.txnOps)
	fmt.Fprintf(&b, "[cluster.cloud]\nrps = %.1f\nlist_lag_s = %.1f\n\n[cluster.limits]\ncores = %.2f\nram_mb = %.1f\nsockets = %d\n", s.cloudRPS, s.listLagS, s.cores, s.ramMB, s.sockets)
	nd.settings = filepath.Join(w.dir, nd.name+".toml")
	return os.WriteFile(nd.settings, []byte(b.String()), 0o600)
}

// run starts the process, with the command of the deploy file.
func (nd *node) run() error {
	var err error
	if nd.out, err = os.OpenFile(filepath.Join(nd.w.dir, nd.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		return err
	}
	nd.cmd = exec.Command(nd.w.program, "serve", "--config", nd.settings)
	nd.cmd.Env = append(os.Environ(), "LOG_LEVEL=info")
	nd.cmd.Stdout, nd.cmd.Stderr = nd.out, nd.out
	nd.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	nd.w.log("start %s", nd.name)
	return nd.cmd.Start()
}

func (nd *node) signal(s syscall.Signal) {
	nd.w.log("signal %v to %s", s, nd.name)
	if nd.cmd != nil && nd.cmd.Process != nil {
		_ = nd.cmd.Process.Signal(s)
	}
}

// kill ends the process at once, and waits for it.
func (nd *node) kill() {
	if nd.cmd == nil {
		return
	}
	nd.signal(syscall.SIGKILL)
	_ = nd.cmd.Wait()
	nd.cmd = nil
	_ = nd.out.Close()
}

func (nd *node) healthy() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	status, _, _ := call(ctx, nd.hc, "GET", "http://"+nd.clients+"/healthz", nil)
	return status == 200
}

// awaitHealthy waits until all controllers are healthy.
func (w *world) awaitHealthy(most time.Duration) bool {
	end := time.Now().Add(most)
	for time.Now().Before(end) {
		all := true
		for _, nd := range w.nodes {
			all = all && nd.healthy()
		}
		if all {
			w.log("all controllers are healthy")
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// stop ends everything.
func (w *world) stop() {
	for _, nd := range w.nodes {
		if nd.cmd != nil {
			_ = nd.cmd.Process.Signal(syscall.SIGCONT)
		}
		nd.kill()
	}
	for _, cmd := range w.spawned {
		_ = syscall.Kill(-cmd.Process.Pid, syscall.SIGKILL) // it may have ended
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("kept:", w.dir)
	}
}

// ---- users

// submission returns the body of an ordinary submission.
func submission(id, team, class string, tasks int, vcpus, memoryGb, estimateS float64) object {
	return object{"uid": id, "vrstaPosla": class, "vlasnik": team, "oblik": "array", "hitnost": "standard", "komadi": tasks,
		"vcpus": vcpus, "cards": 0.0, "memoryGb": memoryGb, "otisak": "img-01", "pullGb": 0.2, "kalupi": nil, "dvoriste": nil,
		"samePlace": false, "scatter": false, "posudba": true, "procjenaS": estimateS, "biljegS": 0.0, "spremanjeS": 0.0, "rokS": nil}
}

// newJob has the workers know a job, as its user uploads its description.
func (w *world) newJob(body object, runS float64) *job {
	w.mu.Lock()
	defer w.mu.Unlock()
	j := &job{id: asText(body["uid"]), body: body, tasks: int(asInt(body["komadi"])), runS: runS, completed: map[int]bool{}}
	w.jobs[j.id] = j
	return j
}

func asInt(v any) int {
	if n, ok := v.(int); ok {
		return n
	}
	return int(asFloat(v))
}

// ask sends a user's request to a controller and notes what the user was told.
func (w *world) ask(nd *node, method, path string, in any, wait time.Duration) (int, object) {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	sent := time.Now()
	status, out, err := call(ctx, nd.hc, method, "http://"+nd.clients+path, in)
	note := ""
	if err != nil {
		note = " (" + firstLine(err.Error()) + ")"
	}
	w.log("user -> %s %s %s: %d %v after %.3f s%s", nd.name, method, path, status, out, time.Since(sent).Seconds(), note)
	return status, out
}

func firstLine(s string) string {
	if len(s) > 90 {
		s = s[:90]
	}
	return s
}

// submit submits a job as users do, for up to a minute. It returns the last status.
func (w *world) submit(j *job, pick func(try int) *node) int {
	end := time.Now().Add(60 * time.Second)
	for try := 0; ; try++ {
		status, _ := w.ask(pick(try), "POST", "/v1/jobs", j.body, 5*time.Second)
		switch status {
		case 200, 201:
			w.mu.Lock()
			if j.acceptedAt.IsZero() {
				j.acceptedAt = time.Now()
			}
			w.mu.Unlock()
			return status
		case 400, 422:
			return status
		}
		if time.Now().After(end) {
			return status
		}
		time.Sleep(time.Second)
	}
}

// poll asks once for a job's state, checks the rules and returns status and state.
func (w *world) poll(nd *node, j *job) (int, string) {
	w.mu.Lock()
	accepted, endedBefore, cancelAsked := !j.acceptedAt.IsZero(), j.ended, j.askedCancel
	w.mu.Unlock()
	status, out := w.ask(nd, "GET", "/v1/jobs/"+j.id, nil, 2*time.Second)
	state := asText(out["stanje"])
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case status == 404 && accepted:
		w.breaks("forgotten", "%s is accepted and gets 404 from %s", j.id, nd.name)
	case status == 200 && endedBefore != "" && state != endedBefore:
		w.breaks("went_back", "%s was called %s and is called %s by %s", j.id, endedBefore, state, nd.name)
	case status == 200 && state == "done" && len(j.completed) < j.tasks:
		w.breaks("not_done", "%s is called done by %s with %d of %d tasks completed", j.id, nd.name, len(j.completed), j.tasks)
	case status == 200 && state == "cancelled" && !cancelAsked && !j.askedCancel:
		w.breaks("went_back", "%s is called cancelled, which its user did not ask for", j.id)
	}
	if status == 200 && (state == "done" || state == "cancelled") {
		w.told(j, state)
	}
	return status, state
}

// told notes the end that a user was told. With mu held.
func (w *world) told(j *job, state string) {
	j.ended = state
	if state == "cancelled" && j.cancelledAt.IsZero() {
		j.cancelledAt = time.Now()
	}
}

// cancel cancels a job as users do, for up to a minute.
func (w *world) cancel(j *job, pick func(try int) *node) int {
	w.mu.Lock()
	j.askedCancel = true
	w.mu.Unlock()
	end := time.Now().Add(60 * time.Second)
	for try := 0; ; try++ {
		status, out := w.ask(pick(try), "POST", "/v1/jobs/"+j.id+"/cancel", object{}, 5*time.Second)
		if status == 200 {
			w.mu.Lock()
			w.told(j, asText(out["stanje"]))
			w.mu.Unlock()
			return status
		}
		if status == 404 || time.Now().After(end) {
			return status
		}
		time.Sleep(time.Second)
	}
}

// roundRobin picks controllers in turn, from one on.
func (w *world) roundRobin(from int) func(int) *node {
	return func(try int) *node { return w.nodes[(from+try)%len(w.nodes)] }
}
