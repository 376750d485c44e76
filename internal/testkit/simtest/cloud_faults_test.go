package simtest

import (
	"fmt"
	"testing"
	"time"

	"fawncove/internal/config"
	"fawncove/internal/core/cluster"
)

// newBusyLimits returns a world of three or five controllers in which the limits of two
// teams are sharded and in use, with more work coming than they allow.
func newBusyLimits(seed uint64) *World {
	par := cluster.Defaults()
	par.SinglePartitionBelow, par.ShardLimitedAbove = 0, 0
	controllers := 3 + 2*int(seed%2)
	limit := float64(16 * controllers)
	w := build(seed, controllers, 90, par, config.Cluster{
		InitialSize: controllers, Zones: []string{"x", "y"}, ClockErrorMs: 50,
		Teams:   []config.Team{{Name: "red", CPUs: limit / 2, CPUsMax: limit}, {Name: "blue", CPUs: limit / 4, CPUsMax: limit}, {Name: "free"}},
		Workers: config.Workers{ReportS: 2, LeaseS: 12, CancelS: 34},
		State:   config.State{RPS: 150, WriteRPS: 60, ValueKB: 8, TxnOps: 12},
		Cloud:   config.Cloud{RPS: 5, ListLagS: 4},
	})
	w.Run(5 * time.Second)
	w.replicas(1, 6*controllers, "red", 2)
	w.replicas(100, 3*controllers, "blue", 3)
	w.replicas(200, 2*controllers, "free", 2)
	for i := range 40 {
		w.after(w.within(140*time.Second), func() {
			w.replicas(300+2*i, 1, []string{"red", "blue"}[i%2], float64(1+i%3))
		})
	}
	return w
}

// cloudTrouble has one call of the cloud fail, or be answered late and out of order, for up
// to 35 s, longer than a block lease: for all controllers or for one, which may have just
// begun.
func (w *World) cloudTrouble() {
	only := ""
	if w.rng.IntN(2) == 0 {
		only = w.nodes[w.rng.IntN(len(w.nodes))].name
	}
	call, lasts := cloudCall(w.rng.IntN(int(cloudCalls))), w.within(35*time.Second)
	if w.rng.IntN(3) == 0 {
		w.DelayCloud(call, only, w.within(4*time.Second), lasts)
	} else {
		w.RefuseCloud(call, only, lasts)
	}
}

// controllerTrouble has a controller end, stand still, lose its machines, or end within a
// cut from everything; messages are lost in cuts, or held until they are over.
func (w *World) controllerTrouble() {
	w.heldUp = w.rng.IntN(2) == 0
	i := w.rng.IntN(len(w.nodes))
	if w.rng.IntN(3) == 0 {
		i = w.leading()
	}
	n := w.nodes[i]
	switch w.rng.IntN(6) {
	case 0, 1: // it ends, and cannot read the machine types when it is back
		away := 2*time.Second + w.within(8*time.Second)
		w.Crash(i, away)
		w.RefuseCloud(callTypes, n.name, away+w.within(30*time.Second))
		if w.rng.IntN(2) == 0 {
			w.cutMachines(n, away+w.within(5*time.Second))
		}
	case 2: // for longer than a lease: its block is taken over
		w.Crash(i, 25*time.Second+w.within(10*time.Second))
	case 3:
		w.Freeze(i, w.within(25*time.Second))
	case 4:
		w.cutMachines(n, w.within(15*time.Second))
	case 5:
		w.restartWithinCut(i)
	}
}

// restartWithinCut cuts a controller off from everything for 6 s. A second later it ends,
// and is back a second before the cut is over.
func (w *World) restartWithinCut(i int) {
	const cut, endsAfter, away = 6 * time.Second, time.Second, 4 * time.Second
	n := w.nodes[i]
	w.cutMachines(n, cut)
	for _, other := range w.nodes {
		if other != n {
			w.Cut(n.name, other.name, cut)
		}
	}
	w.Outage(cut, n.name)
	w.RefuseCloud(callTypes, n.name, cut+w.within(time.Second))
	w.after(endsAfter, func() { w.Crash(i, away) })
}

// cutMachines cuts a controller off from all machines.
func (w *World) cutMachines(n *simNode, d time.Duration) {
	for _, k := range w.byName() {
		w.Cut(k.name, n.name, d)
	}
}

// TestLimitsBesideCloudFaults plays teams at their limits beside a cloud of which each call
// fails by itself and controllers that end, stand still and are taken over. No rule may be
// broken, the books of quota must cover what runs at every step, and once all is over the
// teams use their limits again.
func TestLimitsBesideCloudFaults(t *testing.T) {
	for seed := *first; seed < *first+*clouds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := newBusyLimits(seed)
			for range 8 {
				w.after(20*time.Second+w.within(110*time.Second), w.cloudTrouble)
			}
			for range 6 {
				w.after(20*time.Second+w.within(110*time.Second), w.controllerTrouble)
			}
			for range 4 { // room comes free
				w.after(20*time.Second+w.within(110*time.Second), func() { w.CancelNow(2, 0) })
			}
			w.Run(150 * time.Second)
			w.Run(120 * time.Second)
			for _, rule := range w.Broken() {
				t.Error(rule)
			}
			if t.Failed() {
				return
			}
			for _, team := range w.cfg.Teams {
				if w.used[team.Name] < team.CPUsMax-3 && w.teamWaits(team.Name) {
					t.Errorf("%s uses %v of %v processors long after the troubles, and more waits", team.Name, w.used[team.Name], team.CPUsMax)
				}
			}
		})
	}
}

// teamWaits reports whether a task of a team waits.
func (w *World) teamWaits(team string) bool {
	for _, u := range w.users {
		if u.job.Team == team && u.accepted && u.told == "" && !u.wantsCancel && u.waiting() {
			return true
		}
	}
	return false
}
