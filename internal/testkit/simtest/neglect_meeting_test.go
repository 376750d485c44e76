package simtest

import (
	"fmt"
	"testing"
	"time"

	"fawncove/internal/config"
	"fawncove/internal/core/cluster"
	"fawncove/internal/core/feature"
	"fawncove/internal/wire"
)

// fullFleet builds a world of few machines with more work than room: services, arrays
// of large tasks and of small ones, bound to a zone, a type or one place, some of whose
// tasks run for minutes.
func fullFleet(seed uint64, par cluster.Params) *World {
	nodes := []int{2, 3, 5}[seed%3]
	w := build(seed, nodes, 12+int(seed%3)*10, par, config.Cluster{
		InitialSize: nodes, Zones: []string{"x", "y"}, ClockErrorMs: 100,
		Teams:   []config.Team{{Name: "red", CPUs: 10, CPUsMax: 40}, {Name: "blue", CPUs: 20, CPUsMax: 60}, {Name: "free"}},
		Workers: config.Workers{ReportS: 2.5, LeaseS: 14, CancelS: 39},
		State:   config.State{RPS: 150, WriteRPS: 50, ValueKB: 8, TxnOps: 12},
		Cloud:   config.Cloud{RPS: 5, ListLagS: 6},
	})
	w.Begin(feature.Current(), 10*time.Second)
	for i := range 60 {
		u := w.SubmitNight(i, w.within(200*time.Second))
		j := &u.job
		j.Tasks, j.CPUs = min(j.Tasks, 40), float64(1+w.rng.IntN(8))
		j.Priority = []string{"production", "urgent", "standard", "idle"}[w.rng.IntN(4)]
		switch w.rng.IntN(5) {
		case 0:
			j.Shape, j.Tasks, j.CPUs = wire.Daemon, 1+w.rng.IntN(3), float64(1+w.rng.IntN(3))
		case 1:
			j.Zone = []string{"x", "y"}[w.rng.IntN(2)]
		case 2:
			j.SamePlace = true
		case 3:
			j.Types = []string{"b8"}
		}
		if j.CPUs > 4 && w.rng.IntN(2) == 0 {
			u.apart = 20 * time.Second
		}
	}
	return w
}

// TestFullFleetNeglectsNobody: with no trouble but more work than room no job waits for
// 90 s beside a machine that has room for it. The seeds are such as found room kept for a
// large task beside one that ran for long.
func TestFullFleetNeglectsNobody(t *testing.T) {
	for _, seed := range []uint64{54, 100} {
		w := fullFleet(seed, cluster.Defaults())
		w.night.calmAt = 30 * time.Second
		w.WatchNeglect()
		w.Run(400 * time.Second)
		for _, x := range w.Broken() {
			t.Error(fmt.Sprintf("seed %d:", seed), x)
		}
	}
}

// TestNobodyWaitsBesideFreeCapacity is TestFullFleetNeglectsNobody where the partitions are
// spread over all controllers, as only large fleets have them: whoever has the room may be
// another controller than the one that owns the job.
func TestNobodyWaitsBesideFreeCapacity(t *testing.T) {
	for seed := uint64(1); seed <= 60; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			par := cluster.Defaults()
			par.SinglePartitionBelow = 0
			w := fullFleet(seed, par)
			w.night.calmAt = 30 * time.Second
			w.WatchNeglect()
			w.Run(400 * time.Second)
			for _, x := range w.Broken() {
				t.Error(x)
			}
		})
	}
}
