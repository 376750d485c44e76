// Package loopback plays the stand-ins and rules of package simtest in real
// time, with sockets on the loopback interface round them: a state service, a
// cloud, workers and users, for controllers that are processes of their own.
// Requests and answers are those of the protocol.
package loopback

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"os"
	"os/exec"
	"strconv"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"fawncove/internal/core/eventloop"
	"fawncove/internal/edge/client"
	"fawncove/internal/testkit/simtest"
	"fawncove/internal/wire"
)

// Host serves the stand-ins.
type Host struct {
	ctx    context.Context
	world  *simtest.Driven
	log    *slog.Logger
	nodes  map[string]string // controller -> address for users and workers
	call   *client.Client
	run    []string // command of every task; empty: tasks only take their time
	listen func() (net.Listener, error)

	State, Cloud string // addresses

	mu       sync.Mutex
	machines map[string]*http.Server
	wait     sync.WaitGroup
}

// New returns the edge of a world, which is to be started with it. nodes are the
// controllers' addresses for users and workers; run is the command that every
// task runs, with FAWNCOVE_TASK and FAWNCOVE_ATTEMPT in its environment, or empty.
func New(ctx context.Context, nodes map[string]string, run []string, log *slog.Logger) *Host {
	return &Host{ctx: ctx, log: log, nodes: nodes, run: run, machines: map[string]*http.Server{},
		call:   client.New(16, 1<<20, 0),
		listen: func() (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") }}
}

// Start listens for the state service and the cloud and plays the world behind
// them until the context ends.
func (h *Host) Start(world *simtest.Driven) error {
	h.world = world
	var err error
	if h.State, err = h.StateFor(""); err != nil {
		return err
	}
	if h.Cloud, err = h.serveAnywhere(h.cloud()); err != nil {
		return err
	}
	h.wait.Add(1)
	go func() {
		defer h.wait.Done()
		world.Drive(h.ctx)
	}()
	return nil
}

// StateFor listens for the state service once more and returns the address, for one
// controller alone: the world is told whose watches come in there.
func (h *Host) StateFor(node string) (addr string, err error) {
	return h.serveAnywhere(h.stateService(node))
}

// serveAnywhere runs a server on a free port until the context ends.
func (h *Host) serveAnywhere(handler http.Handler) (addr string, err error) {
	l, err := h.listen()
	if err != nil {
		return "", fmt.Errorf("stand-in: %w", err)
	}
	h.serve(&http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}, l)
	return l.Addr().String(), nil
}

// Wait waits for all that was started, once the context has ended.
func (h *Host) Wait() { h.wait.Wait() }

// Look calls f with the world from outside, and waits for it.
func (h *Host) Look(f func(*simtest.Driven)) {
	done := make(chan struct{})
	h.world.Post(h.ctx, func() { f(h.world); close(done) })
	select {
	case <-done:
	case <-h.ctx.Done():
	}
}

// serve runs a server until the context ends.
func (h *Host) serve(s *http.Server, l net.Listener) {
	context.AfterFunc(h.ctx, func() { s.Close() })
	h.wait.Add(1)
	go func() {
		defer h.wait.Done()
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			h.log.Error("stand-in", "err", err)
		}
	}()
}

// do has f called by whoever drives the world and waits for what it answers
// with; ok is false when the context of the request or of the host ends before.
func do[T any](h *Host, r *http.Request, f func(answer func(T))) (v T, ok bool) {
	ch := make(chan T, 1)
	h.world.Post(r.Context(), func() {
		f(func(v T) {
			select {
			case ch <- v:
			default: // answered already
			}
		})
	})
	select {
	case v = <-ch:
		return v, true
	case <-r.Context().Done():
	case <-h.ctx.Done():
	}
	return v, false
}

// now wraps a call that answers at once.
func now[T any](f func() T) func(answer func(T)) {
	return func(answer func(T)) { answer(f()) }
}

// body decodes a request.
func body(w http.ResponseWriter, r *http.Request, v any) bool {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, wire.MaxBody))
	if err == nil {
		err = wire.Decode(b, v)
	}
	if err != nil {
		write(w, 400, wire.ErrorAnswer{Error: err.Error()})
		return false
	}
	return true
}

func write(w http.ResponseWriter, status int, v any) {
	b, err := wire.Encode(v)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", wire.ContentType)
	w.WriteHeader(status)
	_, _ = w.Write(b) // nobody to tell
}

// statusOf returns the HTTP status of an outcome.
func statusOf(outcome eventloop.Outcome) int {
	switch outcome {
	case eventloop.Succeeded:
		return http.StatusOK
	case eventloop.NotFound:
		return http.StatusNotFound
	case eventloop.Conflict:
		return http.StatusConflict
	case eventloop.Compacted:
		return http.StatusGone
	case eventloop.Rejected:
		return http.StatusBadRequest
	case eventloop.Throttled:
		return http.StatusTooManyRequests
	default:
		return http.StatusServiceUnavailable
	}
}

// codeOf returns the kind of reply that a controller's HTTP status stands for.
func codeOf(status int) eventloop.ReplyCode {
	switch status {
	case 0:
		return eventloop.NoReply
	case http.StatusOK:
		return eventloop.ReplyOK
	case http.StatusCreated:
		return eventloop.ReplyCreated
	case http.StatusBadRequest:
		return eventloop.ReplyInvalid
	case http.StatusNotFound:
		return eventloop.ReplyNotFound
	case http.StatusMisdirectedRequest:
		return eventloop.ReplyMisdirected
	case http.StatusUnprocessableEntity:
		return eventloop.ReplyUnprocessable
	case http.StatusServiceUnavailable:
		return eventloop.ReplyUnavailable
	default:
		return eventloop.ReplyCode(fmt.Sprintf("status %d", status))
	}
}

// ---- the state service

// txn is a transaction whose values stay as they are encoded.
type txn struct {
	If   []wire.Condition `msgpack:"if"`
	Then []struct {
		Put    string             `msgpack:"put"`
		Value  msgpack.RawMessage `msgpack:"data"`
		Delete string             `msgpack:"drop"`
	} `msgpack:"apply"`
}

func (t *txn) wire() wire.Txn {
	out := wire.Txn{If: t.If}
	for _, op := range t.Then {
		o := wire.Op{Put: op.Put, Delete: op.Delete}
		if op.Put != "" {
			o.Value = op.Value
		}
		out.Then = append(out.Then, o)
	}
	return out
}

// stateService serves the state service to a controller, or to whoever calls ("").
func (h *Host) stateService(node string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /txn", func(w http.ResponseWriter, r *http.Request) {
		var t txn
		if !body(w, r, &t) {
			return
		}
		for _, op := range t.Then {
			if op.Put != "" && wire.IsAbsent(op.Value) {
				write(w, 400, wire.ErrorAnswer{Error: "no data: " + op.Put})
				return
			}
		}
		if d, ok := do(h, r, now(func() eventloop.Completion { return h.world.Txn(t.wire()) })); ok {
			write(w, statusOf(d.Outcome), d.Txn)
		}
	})
	mux.HandleFunc("GET /store/{key...}", func(w http.ResponseWriter, r *http.Request) {
		d, ok := do(h, r, now(func() eventloop.Completion {
			d := h.world.Get(r.PathValue("key"))
			d.Txn.Revision = h.world.Revision()
			return d
		}))
		switch {
		case !ok:
		case d.Outcome == eventloop.Succeeded:
			write(w, 200, d.Pair)
		default:
			write(w, statusOf(d.Outcome), d.Txn)
		}
	})
	mux.HandleFunc("GET /store", func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		if d, ok := do(h, r, now(func() eventloop.Completion { return h.world.Page(q.Get("under"), q.Get("after")) })); ok {
			write(w, statusOf(d.Outcome), d.Page)
		}
	})
	mux.HandleFunc("GET /changes", func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		after, err := strconv.ParseUint(q.Get("after"), 10, 64)
		hold, err2 := strconv.ParseUint(q.Get("holdMs"), 10, 16)
		if err != nil || (err2 != nil && q.Has("holdMs")) {
			write(w, 400, wire.ErrorAnswer{Error: "after, holdMs"})
			return
		}
		d, ok := do(h, r, func(answer func(eventloop.Completion)) {
			h.world.Watch(node, q.Get("under"), wire.Revision(after), time.Duration(hold)*time.Millisecond, answer)
		})
		if ok {
			write(w, statusOf(d.Outcome), d.Changes)
		}
	})
	return mux
}

// ---- the cloud

func (h *Host) cloud() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /machine_types", func(w http.ResponseWriter, r *http.Request) {
		if d, ok := do(h, r, now(h.world.Types)); ok {
			write(w, statusOf(d.Outcome), d.Types)
		}
	})
	mux.HandleFunc("POST /machines", func(w http.ResponseWriter, r *http.Request) {
		var rent wire.InstanceRequest
		if !body(w, r, &rent) {
			return
		}
		d, ok := do(h, r, now(func() eventloop.Completion { return h.world.Rent(rent) }))
		switch {
		case !ok:
		case d.Outcome == eventloop.Succeeded:
			write(w, 200, wire.Names{Machines: d.Names})
		default:
			write(w, statusOf(d.Outcome), wire.ErrorAnswer{Error: "no capacity, or away"})
		}
	})
	mux.HandleFunc("POST /machines/release", func(w http.ResponseWriter, r *http.Request) {
		var names wire.Names
		if !body(w, r, &names) {
			return
		}
		if d, ok := do(h, r, now(func() eventloop.Completion { return h.world.Release(names.Machines) })); ok {
			write(w, statusOf(d.Outcome), struct{}{})
		}
	})
	mux.HandleFunc("GET /machines", func(w http.ResponseWriter, r *http.Request) {
		if d, ok := do(h, r, now(h.world.List)); ok {
			var l wire.MachineList
			for _, m := range d.Machines.Machines {
				if m.Name > r.URL.Query().Get("after") {
					l.Machines = append(l.Machines, m)
				}
			}
			write(w, statusOf(d.Outcome), l)
		}
	})
	return mux
}

// ---- machines, as simtest.Edge

// Open gives a machine a socket of its own.
func (h *Host) Open(machine string) string {
	l, err := h.listen()
	if err != nil {
		h.log.Error("machine", "name", machine, "err", err)
		return "127.0.0.1:1" // it cannot be reached
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /commands", func(w http.ResponseWriter, r *http.Request) {
		var c wire.Commands
		if !body(w, r, &c) {
			return
		}
		type answer struct {
			outcome eventloop.Outcome
			report  *wire.Heartbeat
		}
		a, ok := do(h, r, now(func() answer {
			outcome, rep := h.world.Commands(machine, c)
			return answer{outcome, rep}
		}))
		if ok && a.outcome != eventloop.NoAnswer {
			write(w, statusOf(a.outcome), a.report)
		}
	})
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, r *http.Request) {
		rep, ok := do(h, r, now(func() *wire.Heartbeat {
			if rep, up := h.world.Report(machine); up {
				return &rep
			}
			return nil
		}))
		if ok && rep != nil {
			write(w, 200, rep)
		}
	})
	s := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	h.mu.Lock()
	h.machines[machine] = s
	h.mu.Unlock()
	h.serve(s, l)
	return l.Addr().String()
}

// Close takes a machine's socket away.
func (h *Host) Close(machine string) {
	h.mu.Lock()
	s := h.machines[machine]
	delete(h.machines, machine)
	h.mu.Unlock()
	if s != nil {
		s.Close()
	}
}

// Run starts the command of a task.
func (h *Host) Run(task string, attempt uint64, done func(ok bool)) func() {
	if len(h.run) == 0 {
		return nil
	}
	ctx, stop := context.WithCancel(h.ctx)
	cmd := exec.CommandContext(ctx, h.run[0], h.run[1:]...)
	cmd.Env = append(os.Environ(), "FAWNCOVE_TASK="+task, "FAWNCOVE_ATTEMPT="+strconv.FormatUint(attempt, 10))
	h.wait.Add(1)
	go func() {
		defer h.wait.Done()
		defer stop()
		err := cmd.Run()
		if err != nil && ctx.Err() == nil {
			h.log.Info("task failed", "task", task, "attempt", attempt, "err", err)
		}
		h.world.Post(h.ctx, func() { done(err == nil) })
	}()
	return stop
}

// ---- what workers and users ask, as simtest.Edge

// Ask sends a request to a controller and posts its reply.
func (h *Host) Ask(node string, ev eventloop.Event, then func(eventloop.Reply)) {
	h.wait.Add(1)
	go func() {
		defer h.wait.Done()
		ctx, cancel := context.WithTimeout(h.ctx, 5*time.Second)
		defer cancel()
		reply := h.request(ctx, "http://"+h.nodes[node], ev)
		h.world.Post(h.ctx, func() { then(reply) })
	}()
}

// asUser writes a submission as users do: no zone is null, not empty.
func asUser(j *wire.Job) (map[string]any, error) {
	raw, err := wire.Encode(j)
	if err != nil {
		return nil, err
	}
	var m map[string]any
	if err := wire.Decode(raw, &m); err != nil {
		return nil, err
	}
	for name, v := range m {
		if v == "" {
			m[name] = nil
		}
	}
	return m, nil
}

func (h *Host) request(ctx context.Context, base string, ev eventloop.Event) eventloop.Reply {
	var job wire.JobAnswer
	var err error
	r := eventloop.Reply{}
	status := 0
	switch e := ev.(type) {
	case eventloop.SubmitRequest:
		var submission map[string]any
		if submission, err = asUser(&e.Job); err == nil {
			status, err = h.call.Do(ctx, http.MethodPost, base+"/v1/jobs", submission, &job, 200, 201)
		}
		r.Body = job
	case eventloop.QueryRequest:
		status, err = h.call.Do(ctx, http.MethodGet, base+"/v1/jobs/"+url.PathEscape(e.ID), nil, &job, 200)
		r.Body = job
	case eventloop.CancelRequest:
		status, err = h.call.Do(ctx, http.MethodPost, base+"/v1/jobs/"+url.PathEscape(e.ID)+"/cancel", struct{}{}, &job, 200)
		r.Body = job
	case eventloop.HeartbeatRequest:
		var raw msgpack.RawMessage
		status, err = h.call.Do(ctx, http.MethodPost, base+"/checkin", e.Heartbeat, &raw, 200, 421)
		var a wire.HeartbeatAnswer
		var to wire.Redirect
		switch {
		case err != nil:
		case status == http.StatusOK:
			err = wire.Decode(raw, &a)
			r.Body = a
		case status == http.StatusMisdirectedRequest:
			err = wire.Decode(raw, &to)
			r.Body = to
		}
	default:
		err = fmt.Errorf("no request: %T", ev)
	}
	if err != nil {
		h.log.Debug("no answer", "from", base, "err", err)
		return eventloop.Reply{}
	}
	r.Code = codeOf(status)
	return r
}
