package leader

import (
	"context"
	"fmt"
	"log/slog"
	"testing"

	"fawncove/internal/config"
	"fawncove/internal/wire"
)

// countingHandler is a log handler that counts records.
type countingHandler struct{ lines int }

func (h *countingHandler) Enabled(context.Context, slog.Level) bool  { return true }
func (h *countingHandler) Handle(context.Context, slog.Record) error { h.lines++; return nil }
func (h *countingHandler) WithAttrs([]slog.Attr) slog.Handler        { return h }
func (h *countingHandler) WithGroup(string) slog.Handler             { return h }

// TestFleetLimitIsNotLoggedRepeatedly guards against a log line for every instance that is
// created or deleted while the cluster stays at its size limit.
func TestFleetLimitIsNotLoggedRepeatedly(t *testing.T) {
	l := newLeader(nil, wire.LeaseRecord{Term: 3, Leader: "n0", Incarnation: 7,
		Blocks: map[string]wire.Block{"n0": {Grant: 3 << 16, Incarnation: 7}}})
	var log countingHandler
	l.log = slog.New(&log)
	l.fleetLimits = []config.FleetLimit{{Resource: "sockets", Setting: "cluster.limits.sockets", Machines: 100}}
	instances := l.autoscaler.instances
	// fill sets the number of instances.
	fill := func(n int) {
		clear(instances)
		for i := range n {
			instances[fmt.Sprintf("host-%06d", i)] = &instance{}
		}
	}
	for _, c := range []struct {
		machines    int
		wantMayGrow bool
		wantLines   int // in the log so far
	}{
		{90, true, 0},
		{100, false, 1},
		{99, false, 1},
		{104, false, 1},
		{98, false, 1},
		{96, true, 2},
		{99, true, 2},
		{100, false, 3},
	} {
		t.Run(fmt.Sprintf("%d instances", c.machines), func(t *testing.T) {
			fill(c.machines)
			if got := l.mayGrow(); got != c.wantMayGrow || log.lines != c.wantLines {
				t.Errorf("%d instances of 100: mayGrow = %v after %d log lines, want %v after %d", c.machines, got, log.lines, c.wantMayGrow, c.wantLines)
			}
		})
	}
}
