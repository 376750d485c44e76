package leader

import (
	"io"
	"log/slog"
	"time"

	"fawncove/internal/config"
	"fawncove/internal/core/cluster"
	"fawncove/internal/core/eventloop"
	"fawncove/internal/core/leasevalue"
	"fawncove/internal/peerpb"
	"fawncove/internal/wire"
)

// fakeController is the controller that the leader runs in.
type fakeController struct{ arrivalRate float64 }

func (c *fakeController) Renewal() *peerpb.Renewal {
	return &peerpb.Renewal{Node: "n0", Incarnation: 7}
}
func (c *fakeController) EachMachine(func(name string, idle time.Duration, bad, lost bool)) {}
func (c *fakeController) ForeignWorkers() []string                                          { return nil }
func (c *fakeController) TeamUse() map[string]*peerpb.TeamUse                               { return nil }
func (c *fakeController) ArrivalRate() float64                                              { return c.arrivalRate }
func (c *fakeController) UpdateMachineInfo(func(name string) *peerpb.MachineInfo)           {}

// newLeader returns a leader of two controllers that has led for a minute and
// has a complete inventory.
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
	l := New(loop, view, new(leasevalue.PageTable), &fakeController{}, slog.New(slog.NewTextHandler(io.Discard, nil)), 7, rec.Term, nil)
	l.startedAt, l.autoscaler.inventory.complete = loop.Now.Add(-time.Minute), true
	return l
}
