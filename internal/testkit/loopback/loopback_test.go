package loopback

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"fawncove/internal/config"
	"fawncove/internal/core/eventloop"
	"fawncove/internal/edge/cloud"
	"fawncove/internal/edge/statestore"
	"fawncove/internal/testkit/simtest"
	"fawncove/internal/wire"
)

func start(t *testing.T, run ...string) *Host {
	ctx, cancel := context.WithCancel(t.Context())
	cfg := config.Cluster{Zones: []string{"x", "y"}, Workers: config.Workers{ReportS: 2, LeaseS: 12, CancelS: 34},
		State: config.State{RPS: 1000, WriteRPS: 1000, ValueKB: 8, TxnOps: 12}}
	h := New(ctx, map[string]string{"n0": "127.0.0.1:1"}, run, slog.New(slog.DiscardHandler))
	if err := h.Start(simtest.NewDriven(3, []string{"n0"}, cfg, 10, h)); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { cancel(); h.Wait() })
	return h
}

// TestStateService calls the stand-in with the program's own client: values come
// back byte for byte, conditions hold, changes are told, and what is missing is.
func TestStateService(t *testing.T) {
	h, ctx := start(t), t.Context()
	s := statestore.New(h.State, 1000, 1000, 1)
	put := func(version wire.Revision, v any) eventloop.Outcome {
		outcome, _, err := s.Txn(ctx, wire.Txn{If: []wire.Condition{{Key: "a/b", Version: version}}, Then: []wire.Op{{Put: "a/b", Value: v}}}, false)
		if err != nil {
			t.Fatal(err)
		}
		return outcome
	}
	rec := wire.JobRecord{Job: wire.Job{ID: "wk-000001", Tasks: 70000, CPUs: 2}, SubmittedAtMs: 1 << 41}
	if got := put(0, rec); got != eventloop.Succeeded {
		t.Fatalf("put: %s", got)
	}
	if got := put(0, rec); got != eventloop.Conflict {
		t.Errorf("put under a version that it had: %s", got)
	}
	outcome, pair, err := s.Get(ctx, "a/b")
	want, encodeErr := wire.Encode(rec)
	if err != nil || encodeErr != nil || outcome != eventloop.Succeeded || string(pair.Value) != string(want) || pair.Version != 1 {
		t.Errorf("get: %s %+v %v", outcome, pair, err)
	}
	// A put without data is refused, so an empty value must have its own.
	if outcome, _, err := s.Txn(ctx, wire.Txn{Then: []wire.Op{{Put: "a/empty", Value: map[string]string{}}}}, false); outcome != eventloop.Succeeded || err != nil {
		t.Errorf("an empty map: %s %v", outcome, err)
	}
	if outcome, _, err := s.Txn(ctx, wire.Txn{Then: []wire.Op{{Put: "a/none"}}}, false); outcome != eventloop.Rejected || err != nil {
		t.Errorf("no value: %s %v", outcome, err)
	}
	if outcome, _, err := s.Get(ctx, "a/c"); outcome != eventloop.NotFound || err != nil {
		t.Errorf("no such key: %s %v", outcome, err)
	}
	if outcome, page, err := s.Range(ctx, "a/", "", 10); outcome != eventloop.Succeeded || err != nil || len(page.Pairs) != 2 {
		t.Errorf("range: %s %+v %v", outcome, page, err)
	}
	if outcome, c, err := s.Watch(ctx, "a/", 0, 10*time.Second); outcome != eventloop.Succeeded || err != nil || len(c.Log) != 2 || c.Log[0].Put != "a/b" {
		t.Errorf("watch: %s %+v %v", outcome, c, err)
	}
}

// TestHeldWatches: a watch that comes in at the address of a controller whose watches are held
// is answered when that is over, others at once.
func TestHeldWatches(t *testing.T) {
	const held = time.Second
	h, ctx := start(t), t.Context()
	addr, err := h.StateFor("n0")
	if err != nil {
		t.Fatal(err)
	}
	anyone, n0 := statestore.New(h.State, 1000, 1000, 1), statestore.New(addr, 1000, 1000, 1)
	h.Look(func(w *simtest.Driven) { w.HoldWatches("n0", held) })
	if outcome, _, err := anyone.Txn(ctx, wire.Txn{Then: []wire.Op{{Put: "fc/r/a", Value: 1}}}, false); outcome != eventloop.Succeeded || err != nil {
		t.Fatalf("put: %s %v", outcome, err)
	}
	began := time.Now()
	for _, c := range []struct {
		store    *statestore.Store
		min, max time.Duration
	}{{anyone, 0, held / 2}, {n0, held / 2, 10 * time.Second}} {
		outcome, changes, err := c.store.Watch(ctx, "fc/", 0, 10*time.Second)
		if took := time.Since(began); outcome != eventloop.Succeeded || err != nil || len(changes.Log) != 1 || took < c.min || took > c.max {
			t.Errorf("watch: %s %+v %v after %v, want between %v and %v", outcome, changes, err, took, c.min, c.max)
		}
	}
}

// TestRentedMachinesHaveSockets rents machines; the same request again rents
// nothing more, and a machine that was given back is gone.
func TestRentedMachinesHaveSockets(t *testing.T) {
	h, ctx := start(t), t.Context()
	c := cloud.New(h.Cloud, 1000, 1)
	if outcome, types, err := c.Types(ctx); outcome != eventloop.Succeeded || err != nil || len(types.Types) == 0 {
		t.Fatalf("machine types: %s %+v %v", outcome, types, err)
	}
	rent := wire.InstanceRequest{ID: "r-1", Type: "s4", Zone: "x", Count: 2}
	var names wire.Names
	for range 20 { // the cloud refuses now and then
		outcome, n, err := c.Create(ctx, rent)
		if err != nil {
			t.Fatal(err)
		}
		if outcome == eventloop.Succeeded {
			names = n
			break
		}
	}
	if _, again, err := c.Create(ctx, rent); err != nil || len(names.Machines) != 2 || len(again.Machines) != 2 || again.Machines[0] != names.Machines[0] {
		t.Errorf("rented %v, then %v, %v", names, again, err)
	}
	h.mu.Lock()
	open := len(h.machines)
	h.mu.Unlock()
	if _, err := c.Delete(ctx, names.Machines, time.Time{}); err != nil || open != 2 {
		t.Errorf("%d machines have sockets, %v", open, err)
	}
	h.Look(func(w *simtest.Driven) {
		if _, up := w.Report(names.Machines[0]); up {
			t.Error("a machine that was given back reports")
		}
	})
}

// TestTasksRunCommands: a task's command is told which task it is, and its end
// is the task's, unless it was stopped.
func TestTasksRunCommands(t *testing.T) {
	for want, script := range map[bool]string{true: `test "$FAWNCOVE_TASK/$FAWNCOVE_ATTEMPT" = wk-000001/3/7`, false: "exit 4"} {
		h := start(t, "sh", "-c", script)
		done := make(chan bool, 1)
		h.Look(func(*simtest.Driven) { h.Run("wk-000001/3", 7, func(ok bool) { done <- ok }) })
		if ok := <-done; ok != want {
			t.Errorf("%s: %v", script, ok)
		}
	}
}

// TestUsersSendNull: a submission has null where nothing is said.
func TestUsersSendNull(t *testing.T) {
	m, err := asUser(&wire.Job{ID: "wk-000001", Class: "c", Team: "red", Shape: wire.Array, Priority: "idle", Tasks: 1, CPUs: 1, Image: "img"})
	if err != nil {
		t.Fatal(err)
	}
	raw, err := wire.Encode(m)
	if err != nil {
		t.Fatal(err)
	}
	if j, err := wire.ParseJob(raw); err != nil || j.Zone != "" {
		t.Errorf("%+v, %v", j, err)
	}
	// A controller that is not there is no answer.
	h := start(t)
	got := make(chan eventloop.Reply, 1)
	h.Ask("n0", eventloop.QueryRequest{ID: "wk-000001"}, func(r eventloop.Reply) { got <- r })
	if r := <-got; r.Code != eventloop.NoReply {
		t.Errorf("from nobody: %+v", r)
	}
}
