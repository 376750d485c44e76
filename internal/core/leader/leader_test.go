package leader

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	"fawncove/internal/config"
	"fawncove/internal/core/cluster"
	"fawncove/internal/core/eventloop"
	"fawncove/internal/core/leasevalue"
	"fawncove/internal/core/sched"
	"fawncove/internal/peerpb"
	"fawncove/internal/wire"
)

// local stands in for the controller that leads.
type local struct{ inflow float64 }

func (l *local) Renewal() *peerpb.Renewal                                          { return &peerpb.Renewal{Node: "n0", Incarnation: 7} }
func (l *local) EachMachine(func(name string, idle time.Duration, bad, lost bool)) {}
func (l *local) ForeignWorkers() []string                                          { return nil }
func (l *local) TeamUse() map[string]*peerpb.TeamUse                               { return nil }
func (l *local) ArrivalRate() float64                                              { return l.inflow }
func (l *local) UpdateMachineInfo(func(name string) *peerpb.MachineInfo)           {}

// newLeader returns a leader of two controllers that has led for a minute and
// has read the machine list.
func newLeader(teams []config.Team, rec wire.LeaseRecord) *Leader {
	s := &config.Settings{HostName: "n0", Area: "x", Peers: []config.Peer{{HostName: "n1", Area: "y"}},
		Cluster: config.Cluster{InitialSize: 2, Zones: []string{"x", "y"}, Teams: teams,
			Workers: config.Workers{ReportS: 2, LeaseS: 12, CancelS: 34},
			State:   config.State{RPS: 100, WriteRPS: 50, ValueKB: 8, TxnOps: 12},
			Cloud:   config.Cloud{RPS: 5, ListLagS: 4}}}
	view := cluster.New(s, cluster.Defaults())
	view.MachineTypes["s4"] = wire.MachineType{Name: "s4", CPUs: 4, MemoryGB: 16, CacheGB: 20, FetchGBPS: 1, Price: 1, SpotPrice: 0.3, BootS: 6, Zones: []string{"x", "y"}}
	view.ApplyLease(rec, 5)
	loop := &eventloop.Loop{}
	loop.Begin(time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC))
	l := New(loop, view, new(leasevalue.PageTable), &local{}, slog.New(slog.NewTextHandler(io.Discard, nil)), 7, rec.Term, loop.Now)
	l.startedAt, l.autoscaler.inventory.complete = loop.Now.Add(-time.Minute), true
	return l
}

// TestHomesFollowProcessors expects homes for teams with limits to be as few as
// the controllers' processors allow: room that is apart is room lost.
func TestHomesFollowProcessors(t *testing.T) {
	l := newLeader([]config.Team{{Name: "a", CPUs: 900, CPUsMax: 1000}, {Name: "b", CPUsMax: 800}}, wire.LeaseRecord{})
	for _, want := range []struct {
		cores   float64
		reportS float64
		homes   int
	}{{0.12, 2, 1}, {0.05, 2, 2}, {0.05, 6, 1}, {0, 0.1, 2}} {
		l.view.Settings.Cluster.Limits.Cores, l.view.Settings.Cluster.Workers.ReportS = want.cores, want.reportS
		l.renewals["n1"], l.renewalReceived["n1"] = &peerpb.Renewal{}, l.loop.Now
		rec := wire.LeaseRecord{Blocks: map[string]wire.Block{"n0": {}, "n1": {}}, Partitions: map[string]string{}}
		l.assignPartitions(&rec)
		homes := map[string]bool{rec.Partitions["a"]: true, rec.Partitions["b"]: true}
		if len(homes) != want.homes {
			t.Errorf("%v cores, reports every %v s: %d homes, want %d", want.cores, want.reportS, len(homes), want.homes)
		}
	}
}

// TestBehind expects dear machines to be wanted for what a fleet cannot work
// off beside what comes in, and not for work that can wait.
func TestBehind(t *testing.T) {
	for _, c := range []struct {
		name          string
		inflow, slack float64 // processors; seconds
		whole         bool
		want          int
	}{
		{"keeps up and works off", 10, 0, false, 0},
		{"no capacity left for the backlog", 60, 0, false, 50},
		{"may wait", 60, 100, false, 0},
		{"may wait, but is a gang", 60, 100, true, 100},
	} {
		l := newLeader(nil, wire.LeaseRecord{})
		l.renewals["n1"] = &peerpb.Renewal{BusyCpus: 40, BusySpotCpus: 30}
		l.local = &local{inflow: c.inflow}
		// 100 tasks of 9 s, to be worked off in 1.5 boot times of 6 s, need as
		// many processors for that time.
		waiting := []sched.Demand{{Need: sched.Resources{CPUs: 1}, Count: 100, RunS: 9, SlackS: c.slack, ProvisionAll: c.whole}}
		if got := l.backlogForOnDemand(waiting, 120)[0].Count; got != c.want {
			t.Errorf("%s: %d tasks want dear machines, want %d", c.name, got, c.want)
		}
	}
}

// TestCeilingsAreHonouredOnce: a promise to use less of a share counts only
// with the write that honours its renewal, and only under the grant it was made
// under. Else the share that was raised since, or that came with a dead
// controller's machines, would be lowered below what already runs there, and
// the difference given to others.
func TestCeilingsAreHonouredOnce(t *testing.T) {
	team := config.Team{Name: "red", CPUsMax: 100}
	lease := func() wire.LeaseRecord {
		return wire.LeaseRecord{Form: 2, Term: 3, Leader: "n0", Incarnation: 7,
			Partitions: map[string]string{"red": "n0", "red #1": "n0", "red #2": "n1"},
			Blocks: map[string]wire.Block{"n0": {Grant: 3 << 16, Incarnation: 7},
				"n1": {Grant: 3<<16 + 1, Incarnation: 9, Renewal: 5}},
			Shares: map[string]wire.Shares{"red": {"n0": {CPUs: 20}, "n1": {CPUs: 80}}}}
	}
	for _, c := range []struct {
		name   string
		number uint64
		grant  uint64
		lower  bool
	}{
		{"a new renewal", 6, 3<<16 + 1, true},
		{"one that the value honours already", 5, 3<<16 + 1, false},
		{"one of an earlier grant", 6, 3 << 16, false},
		{"one without a grant", 6, 0, false},
	} {
		l := newLeader([]config.Team{team}, lease())
		l.HandleRenewal(&peerpb.Renewal{Node: "n1", Incarnation: 9, Number: c.number, Grant: c.grant,
			Reservations: []*peerpb.QuotaReservation{{Team: "red", Cpus: 30}}})
		rec, _ := l.Publish(&peerpb.Renewal{Node: "n0", Incarnation: 7, Number: 1})
		shares := rec.Shares["red"]["n1"].CPUs
		if sum := shares + rec.Shares["red"]["n0"].CPUs; sum > 100 {
			t.Errorf("%s: shares of %d", c.name, sum)
		}
		if lowered := shares < 80; lowered != c.lower {
			t.Errorf("%s: the share is %d afterwards", c.name, shares)
		}
	}
}

// TestOldControllersKeepTheOldForm: as long as one controller reads nothing
// newer, the lease value is stored as before and no limit is parted.
func TestOldControllersKeepTheOldForm(t *testing.T) {
	for _, form := range []uint32{0, 2} {
		l := newLeader([]config.Team{{Name: "red", CPUsMax: 100}}, wire.LeaseRecord{Term: 3, Leader: "n0", Incarnation: 7,
			Partitions: map[string]string{"red": "n0"},
			Blocks:     map[string]wire.Block{"n0": {Grant: 3 << 16, Incarnation: 7}, "n1": {Grant: 3<<16 + 1, Incarnation: 9, Renewal: 5}}})
		l.view.Params.ShardLimitedAbove = 0
		l.view.Peers["n1"].LeaseForm = form
		l.HandleRenewal(&peerpb.Renewal{Node: "n1", Incarnation: 9, Number: 6})
		rec, _ := l.Publish(&peerpb.Renewal{Node: "n0", Incarnation: 7, Number: 1})
		if (rec.Form == 2) != (form == 2) || (len(rec.Shares) > 0) != (form == 2) {
			t.Errorf("the others read form %d: stored in form %d with shares %v", form, rec.Form, rec.Shares)
		}
		if form == 2 && rec.Shares["red"]["n0"].CPUs != 100 {
			t.Errorf("the home until now has to begin with the whole limit: %v", rec.Shares)
		}
	}
}

// TestCeilingIsLoggedOnce: a fleet that hovers at its ceiling is held there
// without a line in the log for every machine that comes and goes.
func TestCeilingIsLoggedOnce(t *testing.T) {
	l := newLeader(nil, wire.LeaseRecord{Term: 3, Leader: "n0", Incarnation: 7,
		Blocks: map[string]wire.Block{"n0": {Grant: 3 << 16, Incarnation: 7}}})
	var log countingHandler
	l.log = slog.New(&log)
	l.fleetLimits = []config.FleetLimit{{Resource: "sockets", Setting: "cluster.limits.sockets", Machines: 100}}
	machines := l.autoscaler.instances
	fill := func(n int) {
		clear(machines)
		for i := range n {
			machines[fmt.Sprintf("host-%06d", i)] = &instance{}
		}
	}
	for _, c := range []struct {
		machines int
		room     bool
		lines    int
	}{{90, true, 0}, {100, false, 1}, {99, false, 1}, {104, false, 1}, {98, false, 1}, {96, true, 2}, {99, true, 2}, {100, false, 3}} {
		fill(c.machines)
		if got := l.mayGrow(); got != c.room || log.lines != c.lines {
			t.Errorf("%d machines of 100: room %v after %d lines, want %v after %d", c.machines, got, log.lines, c.room, c.lines)
		}
	}
}

// countingHandler counts the lines logged.
type countingHandler struct{ lines int }

func (h *countingHandler) Enabled(context.Context, slog.Level) bool  { return true }
func (h *countingHandler) Handle(context.Context, slog.Record) error { h.lines++; return nil }
func (h *countingHandler) WithAttrs([]slog.Attr) slog.Handler        { return h }
func (h *countingHandler) WithGroup(string) slog.Handler             { return h }

// TestHomesAreMovedOnce: an offer to give up a home counts with the write that
// honours its renewal and under its grant only, and moves the home to whom has
// fewest of the team. Later the owner may have started tasks of it again.
func TestHomesAreMovedOnce(t *testing.T) {
	for _, c := range []struct {
		name          string
		number, grant uint64
		want          string
	}{
		{"a new renewal", 6, 3<<16 + 1, "n0"},
		{"one that the value honours already", 5, 3<<16 + 1, "n1"},
		{"one of an earlier grant", 6, 3 << 16, "n1"},
	} {
		l := newLeader([]config.Team{{Name: "red"}}, wire.LeaseRecord{Form: 2, Term: 3, Leader: "n0", Incarnation: 7,
			Partitions: map[string]string{"red #1": "n0", "red #2": "n1", "red #3": "n1", "red #4": "n1"},
			Blocks: map[string]wire.Block{"n0": {Grant: 3 << 16, Incarnation: 7},
				"n1": {Grant: 3<<16 + 1, Incarnation: 9, Renewal: 5}}})
		l.HandleRenewal(&peerpb.Renewal{Node: "n1", Incarnation: 9, Number: c.number, Grant: c.grant, Handovers: []string{"red #3", "red #1"}})
		rec, _ := l.Publish(&peerpb.Renewal{Node: "n0", Incarnation: 7, Number: 1})
		if rec.Partitions["red #3"] != c.want || rec.Partitions["red #1"] != "n0" {
			t.Errorf("%s: homes are %v", c.name, rec.Partitions)
		}
	}
}

// TestLivingHoldersMayRenew has a leader elected long after the last value was
// seen, as after an outage. Holders that live must have the time to renew with it
// before their leases count as lapsed; then one that did not is replaced.
func TestLivingHoldersMayRenew(t *testing.T) {
	x := newLeader([]config.Team{{Name: "free"}}, wire.LeaseRecord{Term: 3, Leader: "n0", Incarnation: 7,
		Blocks: map[string]wire.Block{"n0": {Grant: 3 << 16, Incarnation: 7}, "n1": {Grant: 3<<16 + 1, Incarnation: 9}}})
	start := x.loop.Now
	l := New(x.loop, x.view, new(leasevalue.PageTable), &local{}, x.log, 7, 3, start.Add(-time.Minute))
	for after, want := range map[time.Duration]bool{l.rebuildPeriod() - time.Second: true, l.rebuildPeriod() + time.Second: false} {
		l.loop.Begin(start.Add(after))
		rec, _ := l.Publish(&peerpb.Renewal{Node: "n0", Incarnation: 7, Number: 1})
		if _, held := rec.Blocks["n1"]; held != want {
			t.Errorf("%v after the election it has its block: %v, want %v", after, held, want)
		}
	}
}

// TestOwnerlessMachineIsReturned lists a machine that is up and joins no block, as
// one that hears nobody. It is returned within the stated bound, not before.
func TestOwnerlessMachineIsReturned(t *testing.T) {
	l := newLeader([]config.Team{{Name: "free"}}, wire.LeaseRecord{Term: 3, Leader: "n0", Incarnation: 7})
	start, bound := l.loop.Now, l.maxUnleased()
	for _, after := range []time.Duration{0, bound - time.Second, bound + time.Second} {
		l.loop.Begin(start.Add(after))
		l.applyInventoryEntry(wire.Machine{Name: "host-000001", Type: "s4", Zone: "x", State: wire.MachineRunning, AgeS: 60})
		if got, want := l.autoscaler.deleting["host-000001"], after > bound; got != want {
			t.Errorf("%v after it was first listed: returned %v, want %v", after, got, want)
		}
	}
}

// TestGaveCountsUnderItsGrant: a controller gives a machine back, another gets it,
// gives it back as well, and the first one has it again and starts tasks there. The
// renewal in which it gave the machine back is still the newest one known of it;
// counted again it would take the machine off it while tasks run there, and its
// holder would start them elsewhere, as on a machine that is gone.
func TestGaveCountsUnderItsGrant(t *testing.T) {
	l := newLeader(nil, wire.LeaseRecord{Term: 3, Leader: "n0", Incarnation: 7, LastGrant: 3<<16 + 1,
		Blocks: map[string]wire.Block{"n0": {Grant: 3 << 16, Incarnation: 7}, "n1": {Grant: 3<<16 + 1, Incarnation: 9, Machines: []string{"host-000001"}}}})
	l.autoscaler.instances["host-000001"] = &instance{market: market{machineType: "s4"}}
	version := l.view.LeaseVersion
	publish := func(own *peerpb.Renewal) string {
		own.Node, own.Incarnation, own.Number = "n0", 7, l.view.Lease.Blocks["n0"].Renewal+1
		own.Grant = l.view.Lease.Blocks["n0"].Grant
		rec, stored := l.Publish(own)
		stored()
		version++
		l.view.ApplyLease(rec, version)
		return l.view.HolderOf("host-000001")
	}
	l.HandleRenewal(&peerpb.Renewal{Node: "n1", Incarnation: 9, Number: 1, Grant: 3<<16 + 1, Released: wire.PackNames([]string{"host-000001"})})
	l.draining["host-000001"], l.reassignTo["host-000001"] = true, "n0"
	if got := publish(&peerpb.Renewal{}); got != "n0" {
		t.Fatalf("given back for n0, it is %q's", got)
	}
	l.reassignTo["host-000001"] = "n1"
	if got := publish(&peerpb.Renewal{Released: wire.PackNames([]string{"host-000001"})}); got != "n1" {
		t.Fatalf("given back for n1, it is %q's", got)
	}
	delete(l.draining, "host-000001")
	delete(l.reassignTo, "host-000001")
	if got := publish(&peerpb.Renewal{}); got != "n1" || l.autoscaler.deleting["host-000001"] {
		t.Errorf("by a renewal of before it is %q's, to be returned: %v", got, l.autoscaler.deleting["host-000001"])
	}
	grant := l.view.Lease.Blocks["n1"].Grant
	l.HandleRenewal(&peerpb.Renewal{Node: "n1", Incarnation: 9, Number: 2, Grant: grant, Released: wire.PackNames([]string{"host-000001"})})
	if got := publish(&peerpb.Renewal{}); got != "" || !l.autoscaler.deleting["host-000001"] {
		t.Errorf("given back under its grant it is %q's, to be returned: %v", got, l.autoscaler.deleting["host-000001"])
	}
}
