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
	put := func(version uint64, v any) int {
		status, _, err := s.Txn(ctx, wire.Txn{If: []wire.Condition{{Key: "a/b", Version: version}}, Then: []wire.Op{{Put: "a/b", Value: v}}}, false)
		if err != nil {
			t.Fatal(err)
		}
		return status
	}
	rec := wire.JobRecord{Job: wire.Job{ID: "wk-000001", Tasks: 70000, CPUs: 2}, SubmittedAtMs: 1 << 41}
	if got := put(0, rec); got != 200 {
		t.Fatalf("put: %d", got)
	}
	if got := put(0, rec); got != 409 {
		t.Errorf("put under a version that it had: %d", got)
	}
	status, pair, err := s.Get(ctx, "a/b")
	want, encodeErr := wire.Encode(rec)
	if err != nil || encodeErr != nil || status != 200 || string(pair.Value) != string(want) || pair.Version != 1 {
		t.Errorf("get: %d %+v %v", status, pair, err)
	}
	// A put without data is refused, so an empty value must have its own.
	if status, _, err := s.Txn(ctx, wire.Txn{Then: []wire.Op{{Put: "a/empty", Value: map[string]string{}}}}, false); status != 200 || err != nil {
		t.Errorf("an empty map: %d %v", status, err)
	}
	if status, _, err := s.Txn(ctx, wire.Txn{Then: []wire.Op{{Put: "a/none"}}}, false); status != 400 || err != nil {
		t.Errorf("no value: %d %v", status, err)
	}
	if status, _, err := s.Get(ctx, "a/c"); status != 404 || err != nil {
		t.Errorf("no such key: %d %v", status, err)
	}
	if status, page, err := s.Range(ctx, "a/", "", 10); status != 200 || err != nil || len(page.Pairs) != 2 {
		t.Errorf("range: %d %+v %v", status, page, err)
	}
	if status, c, err := s.Watch(ctx, "a/", 0, 10*time.Second); status != 200 || err != nil || len(c.Log) != 2 || c.Log[0].Put != "a/b" {
		t.Errorf("watch: %d %+v %v", status, c, err)
	}
}

// TestRentedMachinesHaveSockets rents machines; the same request again rents
// nothing more, and a machine that was given back is gone.
func TestRentedMachinesHaveSockets(t *testing.T) {
	h, ctx := start(t), t.Context()
	c := cloud.New(h.Cloud, 1000, 1)
	if status, types, err := c.Types(ctx); status != 200 || err != nil || len(types.Types) == 0 {
		t.Fatalf("machine types: %d %+v %v", status, types, err)
	}
	rent := wire.InstanceRequest{ID: "r-1", Type: "s4", Zone: "x", Count: 2}
	var names wire.Names
	for range 20 { // the cloud refuses now and then
		status, n, err := c.Rent(ctx, rent)
		if err != nil {
			t.Fatal(err)
		}
		if status == 200 {
			names = n
			break
		}
	}
	if _, again, err := c.Rent(ctx, rent); err != nil || len(names.Machines) != 2 || len(again.Machines) != 2 || again.Machines[0] != names.Machines[0] {
		t.Errorf("rented %v, then %v, %v", names, again, err)
	}
	h.mu.Lock()
	open := len(h.machines)
	h.mu.Unlock()
	if _, err := c.Release(ctx, names.Machines); err != nil || open != 2 {
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
	if r := <-got; r.Status != 0 {
		t.Errorf("from nobody: %+v", r)
	}
}
