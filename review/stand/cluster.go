//go:build review

// Command stand plays the cases of the review: it starts the project's programs as processes on
// loopback addresses, with stand-ins for all that is round them, and judges what clients and the
// platform see.
package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
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

	"github.com/BurntSushi/toml"

	"fawncove/internal/config"
	"fawncove/internal/testkit/loopback"
	"fawncove/internal/testkit/simtest"
	"fawncove/internal/wire"
)

// restartDelay is after how long the platform starts a controller again that has ended.
const restartDelay = 4 * time.Second

// record writes what was sent, answered and run, with the time since the case began.
type record struct {
	mu    sync.Mutex
	out   io.Writer
	begun time.Time
}

func (r *record) say(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%7.2f s  ", time.Since(r.begun).Seconds())
	fmt.Fprintf(r.out, format+"\n", args...)
}

// controller is one controller, which the platform starts again when it ends.
type controller struct {
	name, settings, log, clients string

	mu       sync.Mutex
	cmd      *exec.Cmd
	ended    chan struct{}
	stopping bool // the case ends it
	ends     int  // how often it has ended, but for the case's end
}

// cluster is a small deployment.
type cluster struct {
	ctx   context.Context
	rec   *record
	dir   string
	run   []string // of the deploy file
	host  *loopback.Host
	nodes []*controller
}

// runLine returns the program and arguments that the deploy file starts a controller with.
func runLine(root string) ([]string, error) {
	var deploy struct {
		Run string `toml:"run"`
	}
	if _, err := toml.DecodeFile(filepath.Join(root, "deploy", "service.toml"), &deploy); err != nil {
		return nil, err
	}
	run := strings.Fields(deploy.Run)
	if len(run) < 2 {
		return nil, errors.New("deploy/service.toml: no run line")
	}
	run[0] = filepath.Join(root, run[0])
	return run, nil
}

// settings are those of a small deployment, with the state service, workers' intervals and size of
// the site prenesi-broj.
func settings() config.Cluster {
	return config.Cluster{
		InitialSize: 3, Zones: []string{"x", "y"}, ClockErrorMs: 5,
		Teams:   []config.Team{{Name: "red", CPUs: 72, CPUsMax: 200}, {Name: "blue", CPUs: 40, CPUsMax: 120}, {Name: "free"}},
		Workers: config.Workers{ReportS: 2.5, LeaseS: 14, CancelS: 39},
		State:   config.State{RPS: 80, WriteRPS: 20, ValueKB: 4, TxnOps: 12},
		Cloud:   config.Cloud{RPS: 5, ListLagS: 6},
		Limits:  config.Limits{Cores: 0.18, RAMMB: 179, Sockets: 1500},
	}
}

// Ports below those that connections are given, so that a controller finds its own again when it is
// started again.
const (
	firstPort = 20_000
	portCount = 10_000
)

// freeAddresses finds loopback ports that nobody listens on.
func freeAddresses(n int) ([]string, error) {
	var out []string
	for range portCount {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(portCount))
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		defer l.Close()
		if out = append(out, address); len(out) == n {
			return out, nil
		}
	}
	return nil, errors.New("no free ports")
}

// startCluster starts the stand-ins and three controllers, and waits until all take users.
func startCluster(ctx context.Context, rec *record, root, dir string) (*cluster, error) {
	return startClusterWith(ctx, rec, root, dir, nil)
}

// startClusterWith is startCluster with a cloud of the case's own, if it is not nil.
func startClusterWith(ctx context.Context, rec *record, root, dir string, sky *cloud) (*cluster, error) {
	run, err := runLine(root)
	if err != nil {
		return nil, err
	}
	c := &cluster{ctx: ctx, rec: rec, dir: dir, run: run}
	names := []string{"stall-0", "stall-1", "stall-2"}
	addresses, err := freeAddresses(2 * len(names))
	if err != nil {
		return nil, err
	}
	clients := map[string]string{}
	for i, name := range names {
		clients[name] = addresses[2*i]
		c.nodes = append(c.nodes, &controller{name: name, clients: addresses[2*i],
			settings: filepath.Join(dir, name+".toml"), log: filepath.Join(dir, name+".log")})
	}
	cfg := settings()
	c.host = loopback.New(ctx, clients, nil, slog.New(slog.DiscardHandler))
	if err := c.host.Start(simtest.NewDriven(1, names, cfg, 12, c.host)); err != nil {
		return nil, err
	}
	cloudAddress := c.host.Cloud
	if sky != nil {
		cloudAddress, sky.nodes = sky.address, c.nodes
	}
	for i, n := range c.nodes {
		s := config.Settings{HostName: n.name, Area: cfg.Zones[i%2], ClientListen: addresses[2*i], ClusterListen: addresses[2*i+1],
			External: config.External{Cloud: cloudAddress, State: c.host.State}, Cluster: cfg}
		for k, name := range names {
			if k != i {
				s.Peers = append(s.Peers, config.Peer{HostName: name, Area: cfg.Zones[k%2], Endpoint: addresses[2*k+1]})
			}
		}
		var text bytes.Buffer
		if err := toml.NewEncoder(&text).Encode(s); err != nil {
			return nil, err
		}
		if err := os.WriteFile(n.settings, text.Bytes(), 0o600); err != nil {
			return nil, err
		}
		if err := c.start(n); err != nil {
			return nil, err
		}
	}
	err = c.until("all controllers take users", 40*time.Second, func() bool {
		for _, n := range c.nodes {
			if !n.healthy() {
				return false
			}
		}
		return true
	})
	if err == nil && c.ends() > 0 {
		err = errors.New("a controller has ended before the case began")
	}
	return c, err
}

// start starts a controller, and again whenever it ends.
func (c *cluster) start(n *controller) error {
	log, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(c.run[0], append(c.run[1:len(c.run):len(c.run)], n.settings)...)
	cmd.Stderr = log
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.stopping {
		return nil
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	n.cmd, n.ended = cmd, make(chan struct{})
	go c.watch(n, cmd, n.ended)
	return nil
}

// watch waits for the end of a process; one that ends by itself is started again after a while.
func (c *cluster) watch(n *controller, cmd *exec.Cmd, ended chan struct{}) {
	err := cmd.Wait()
	close(ended)
	n.mu.Lock()
	stopping := n.stopping
	if !stopping {
		n.ends++
	}
	n.mu.Unlock()
	if stopping {
		return
	}
	c.rec.say("platform: %s has ended: %v; last words: %q", n.name, err, c.lastWords(n))
	select {
	case <-time.After(restartDelay):
	case <-c.ctx.Done():
		return
	}
	c.rec.say("platform: %s is started again", n.name)
	if err := c.start(n); err != nil {
		c.rec.say("platform: %s cannot be started: %v", n.name, err)
	}
}

// lastWords returns the first line of a crash in a controller's log.
func (c *cluster) lastWords(n *controller) string {
	raw, err := os.ReadFile(n.log)
	if err != nil {
		return err.Error()
	}
	words := ""
	for line := range strings.Lines(string(raw)) {
		if strings.HasPrefix(line, "fatal error:") || strings.HasPrefix(line, "panic:") || strings.Contains(line, "level=ERROR") {
			words = strings.TrimSpace(line)
		}
	}
	return words
}

// kill ends a controller, as a crash does; the platform starts it again.
func (n *controller) kill() {
	n.mu.Lock()
	defer n.mu.Unlock()
	_ = n.cmd.Process.Kill() // it may have ended
}

// stop ends all processes.
func (c *cluster) stop() {
	for _, n := range c.nodes {
		n.mu.Lock()
		n.stopping = true
		cmd, ended := n.cmd, n.ended
		n.mu.Unlock()
		if cmd != nil {
			_ = cmd.Process.Kill() // it may have ended
			<-ended
		}
	}
}

// ends returns how often controllers have ended.
func (c *cluster) ends() (sum int) {
	for _, n := range c.nodes {
		n.mu.Lock()
		sum += n.ends
		n.mu.Unlock()
	}
	return sum
}

func (n *controller) healthy() bool {
	hc := http.Client{Timeout: time.Second}
	resp, err := hc.Get("http://" + n.clients + "/healthz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// until waits for something to come true.
func (c *cluster) until(what string, within time.Duration, f func() bool) error {
	for end := time.Now().Add(within); !f(); {
		if time.Now().After(end) {
			return fmt.Errorf("%s: not within %v", what, within)
		}
		select {
		case <-time.After(100 * time.Millisecond):
		case <-c.ctx.Done():
			return c.ctx.Err()
		}
	}
	return nil
}

// answer is what a user is answered; status 0: nothing.
type answer struct {
	status int
	state  string
	err    error
}

func (a answer) String() string {
	if a.status == 0 {
		return fmt.Sprintf("no answer (%v)", a.err)
	}
	return strings.TrimSpace(fmt.Sprintf("%d %s", a.status, a.state))
}

// send sends a user's request with a body as it stands, on a connection of its own.
func send(method, address, path string, body []byte, timeout time.Duration) answer {
	hc := http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	req.Header.Set("Content-Type", wire.ContentType)
	resp, err := hc.Do(req)
	if err != nil {
		var op *net.OpError
		if errors.As(err, &op) {
			err = op
		}
		return answer{err: err}
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{err: err}
	}
	var job wire.JobAnswer
	_ = wire.Decode(raw, &job) // an error has another body
	return answer{status: resp.StatusCode, state: job.State}
}
