package simtest

import (
	"fmt"
	"testing"
	"time"

	"fawncove/internal/config"
	"fawncove/internal/core/cluster"
)

// newUntold returns a world of three controllers with the limits of two teams, in which the
// cloud tells the machine types only after a while.
func newUntold(seed uint64, red, blue float64, typesAfter time.Duration) *World {
	w := build(seed, 3, 20, cluster.Defaults(), config.Cluster{
		InitialSize: 3, Zones: []string{"x", "y"}, ClockErrorMs: 50,
		Teams:   []config.Team{{Name: "red", CPUs: red / 2, CPUsMax: red}, {Name: "blue", CPUs: blue / 2, CPUsMax: blue}},
		Workers: config.Workers{ReportS: 2, LeaseS: 12, CancelS: 34},
		State:   config.State{RPS: 100, WriteRPS: 50, ValueKB: 8, TxnOps: 12},
		Cloud:   config.Cloud{RPS: 5, ListLagS: 4},
	})
	w.RefuseCloud(callTypes, "", typesAfter)
	w.Run(5 * time.Second)
	w.replicas(1, 3, "red", 2)
	w.replicas(20, 3, "blue", 2)
	w.Run(typesAfter + 40*time.Second)
	return w
}

// typesAfter are the times after which the cloud tells the machine types: at once, and after
// more than a new leader waits with the assignment of partitions.
var typesAfter = []time.Duration{0, 12 * time.Second, 40 * time.Second}

// checkSharded expects so many teams to be sharded, their jobs and limits, and both teams
// to run all that they have.
func (w *World) checkSharded(t *testing.T, want int) {
	t.Helper()
	for _, n := range w.nodes {
		if got := n.core.ShardedTeams(); got != want {
			t.Errorf("%s: the limits of %d teams are sharded, want %d", n.name, got, want)
		}
		for _, team := range w.cfg.Teams {
			if shards := cluster.Shards(n.core.Partitions(), team.Name); (len(shards) > 0) != (want > 0) {
				t.Errorf("%s: %s has shards %v", n.name, team.Name, shards)
			}
		}
	}
	if w.used["red"] != 12 || w.used["blue"] != 12 {
		t.Errorf("the teams use %v processors, want 12 each", w.used)
	}
	for _, rule := range w.Broken() {
		t.Error(rule)
	}
}

// TestFewMachinesAreNoLargeFleet: a cluster of a few machines begins while the cloud does
// not tell the machine types. Teams with limits of 2,400 and 20 processors were sharded for
// good, the latter into shares smaller than a machine. A leader that knows no type divided
// the limits by 1 processor in place of 8 and took 2,420 machines for the fleet, and found
// no type that a share of the limit would be too small for. "jobs of a limited team are
// sharded" stood in its log before "machine types read", in each world that failed and in
// none that did not.
func TestFewMachinesAreNoLargeFleet(t *testing.T) {
	for _, after := range typesAfter {
		for seed := *first; seed < *first+*restarts/2; seed++ {
			t.Run(fmt.Sprintf("%v/%d", after, seed), func(t *testing.T) {
				t.Parallel()
				newUntold(seed, 2400, 20, after).checkSharded(t, 0)
			})
		}
	}
}

// TestLargeFleetIsShardedOnceTypesAreKnown: limits that amount to a large fleet are sharded
// as soon as the machine types are known, however late that is.
func TestLargeFleetIsShardedOnceTypesAreKnown(t *testing.T) {
	for _, after := range typesAfter {
		for seed := *first; seed < *first+*restarts/2; seed++ {
			t.Run(fmt.Sprintf("%v/%d", after, seed), func(t *testing.T) {
				t.Parallel()
				newUntold(seed, 9600, 240, after).checkSharded(t, 2)
			})
		}
	}
}
