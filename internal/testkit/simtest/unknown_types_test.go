package simtest

import (
	"fmt"
	"testing"
	"time"

	"fawncove/internal/config"
	"fawncove/internal/core/cluster"
)

// TestFewMachinesAreNoLargeFleet: a cluster of a few machines begins while the cloud does
// not tell the machine types, for longer than a new leader waits with the assignment of
// partitions. Teams with limits of 2,400 and 20 processors were sharded for good, the
// latter into shares smaller than a machine.
func TestFewMachinesAreNoLargeFleet(t *testing.T) {
	for _, refused := range []time.Duration{0, 12 * time.Second, 40 * time.Second} {
		for seed := *first; seed < *first+*restarts/2; seed++ {
			t.Run(fmt.Sprintf("%v/%d", refused, seed), func(t *testing.T) {
				t.Parallel()
				w := build(seed, 3, 20, cluster.Defaults(), config.Cluster{
					InitialSize: 3, Zones: []string{"x", "y"}, ClockErrorMs: 50,
					Teams:   []config.Team{{Name: "red", CPUs: 1200, CPUsMax: 2400}, {Name: "blue", CPUs: 12, CPUsMax: 20}},
					Workers: config.Workers{ReportS: 2, LeaseS: 12, CancelS: 34},
					State:   config.State{RPS: 100, WriteRPS: 50, ValueKB: 8, TxnOps: 12},
					Cloud:   config.Cloud{RPS: 5, ListLagS: 4},
				})
				w.RefuseCloud(callTypes, "", refused)
				w.Run(5 * time.Second)
				w.replicas(1, 3, "red", 2)
				w.replicas(20, 3, "blue", 2)
				w.Run(refused + 40*time.Second)
				for _, n := range w.nodes {
					if sharded := n.core.ShardedTeams(); sharded > 0 {
						t.Errorf("%s: the limits of %d teams are sharded", n.name, sharded)
					}
					for _, team := range w.cfg.Teams {
						if shards := cluster.Shards(n.core.Partitions(), team.Name); len(shards) > 0 {
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
			})
		}
	}
}
