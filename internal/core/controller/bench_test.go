package controller

import (
	"fmt"
	"io"
	"log/slog"
	"slices"
	"testing"
	"time"

	"fawncove/internal/config"
	"fawncove/internal/core/cluster"
	"fawncove/internal/core/eventloop"
	"fawncove/internal/core/owner"
	"fawncove/internal/peerpb"
	"fawncove/internal/wire"
)

// sizes are the fleets that the benchmarks compare: time for each machine is to
// grow by no more than a factor of 1.3 from the first to the last.
var sizes = []int{1000, 4000, 10000}

// largeFleet returns a leader whose fleet of n machines is divided among five controllers;
// its own fifth is reconciled and half full.
func largeFleet(b testing.TB, n int) (*Core, time.Time) {
	b.Helper()
	s := &config.Settings{HostName: "n0", Area: "x",
		Cluster: config.Cluster{InitialSize: 5, Zones: []string{"x", "y"}, Teams: []config.Team{{Name: "red", CPUs: 4000, CPUsMax: 80000}},
			Workers: config.Workers{ReportS: 5, LeaseS: 26, CancelS: 51},
			State:   config.State{RPS: 180, WriteRPS: 50, ValueKB: 4, TxnOps: 12},
			Cloud:   config.Cloud{RPS: 8, ListLagS: 6}}}
	for i := 1; i < 5; i++ {
		s.Peers = append(s.Peers, config.Peer{HostName: fmt.Sprintf("n%d", i), Area: "y"})
	}
	c := New(s, cluster.Defaults(), slog.New(slog.NewTextHandler(io.Discard, nil)), 7)
	now := time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC)
	c.loop.Begin(now)
	c.state.lastAnswer, c.leaseWriter.sentAt, c.state.phase = now, now, stateRead
	c.owner.ChangesKnown(5, now)
	c.view.MachineTypes["b8"] = wire.MachineType{Name: "b8", CPUs: 8, MemoryGB: 32, CacheGB: 20, FetchGBPS: 1, Price: 1, SpotPrice: 0.3, BootS: 30, Zones: []string{"x", "y"}}
	rec := wire.LeaseRecord{Form: 2, Term: 3, Leader: "n0", Incarnation: 7, Partitions: map[string]string{"red": "n0"},
		Blocks: map[string]wire.Block{}, Shares: map[string]wire.Shares{"red": {}}}
	for i := range 5 {
		node := fmt.Sprintf("n%d", i)
		blk := wire.Block{Grant: 3<<16 + wire.Grant(i), Incarnation: 7}
		for k := i * 50; k < n; k += 250 {
			for m := k; m < min(n, k+50); m++ {
				blk.Machines = append(blk.Machines, fmt.Sprintf("host-%06d", m))
			}
		}
		rec.Blocks[node] = blk
		rec.Partitions[wire.ShardName("red", i+1)] = node
		rec.Shares["red"][node] = wire.Share{CPUs: 16000}
	}
	// Stored a few machines at a time, as they come up.
	part := rec
	part.Blocks = map[string]wire.Block{}
	for done := false; !done; {
		done = true
		budget := c.leaseReader.pages.WriteBudget(c.view.Settings.ValueLimits())
		for _, node := range cluster.SortedKeys(rec.Blocks) {
			blk := rec.Blocks[node]
			have := len(part.Blocks[node].Machines)
			all := blk.Machines
			for have < len(all) && budget.AddMachine(node) {
				have++
			}
			done = done && have == len(all)
			blk.Machines = all[:have:have]
			part.Blocks[node] = blk
		}
		part.Sequence++
		d, err := c.leaseReader.pages.Write(&part, c.view.Settings.ValueLimits())
		if err != nil {
			b.Fatal(err)
		}
		d.Commit()
	}
	rec.Sequence = part.Sequence
	c.applyLease(rec, 5)
	for node := range rec.Blocks {
		if node != "n0" {
			c.handlePeerFrame(&peerpb.Frame{From: node, Incarnation: 7, LeaseForm: 2, Renewal: &peerpb.Renewal{Node: node, Incarnation: 7, Number: 1}})
		}
	}
	var list wire.MachineList
	for _, blk := range rec.Blocks {
		for _, name := range blk.Machines {
			list.Machines = append(list.Machines, wire.Machine{Name: name, Type: "b8", Zone: "x", Spot: true, State: wire.MachineRunning})
		}
	}
	listed := false
	c.leader.RunAutoscaler()
	for _, e := range c.loop.Effects() {
		if e, ok := e.(eventloop.CloudList); ok && !listed {
			listed = c.loop.Complete(eventloop.Completion{ID: e.ID, Outcome: eventloop.Succeeded, Machines: list})
		}
	}
	if !listed {
		b.Fatal("the leader does not ask for the machine list")
	}
	for i, name := range c.view.Lease.Blocks["n0"].Machines {
		if i%25 == 0 {
			c.applyJob(wire.JobRecord{Job: wire.Job{ID: fmt.Sprintf("wk-%06d", i), Class: "c", Team: "red", Shape: wire.Array, Priority: "standard",
				Tasks: 150, CPUs: 4, MemoryGB: 4, Spot: true, EstimateS: 60, Image: "img", ImageGB: 1}, Shard: wire.ShardName("red", 1)}, owner.RecordInfo{Version: wire.Revision(10 + i)})
		}
		c.owner.HandleHeartbeat(eventloop.HeartbeatRequest{Req: uint64(i), Heartbeat: wire.Heartbeat{Machine: name, Endpoint: "10.0.0.1:9000", Type: "b8", Zone: "x", Spot: true, AgentEpoch: 1, Sequence: 1}})
	}
	c.leaseWriter.inFlight = true
	return c, now
}

// atSizes runs f on the leader of fleets of several sizes.
func atSizes(b *testing.B, f func(b *testing.B, c *Core, now time.Time, n int)) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c, now := largeFleet(b, n)
			f(b, c, now, n)
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/machine")
		})
	}
}

// BenchmarkPublish writes the lease value of a fleet of which one machine has
// gone since the last write.
func BenchmarkPublish(b *testing.B) {
	atSizes(b, func(b *testing.B, c *Core, _ time.Time, n int) {
		for i := 0; b.Loop(); i += 17 {
			c.leaseWriter.inFlight = false
			c.loop.Begin(c.loop.Now)
			c.leader.MachineDeleted(fmt.Sprintf("host-%06d", i%n))
			c.publishLease()
		}
	})
}

// BenchmarkApply applies a lease value in which one block has changed.
func BenchmarkApply(b *testing.B) {
	atSizes(b, func(b *testing.B, c *Core, _ time.Time, _ int) {
		for version := wire.Revision(1000); b.Loop(); version++ {
			rec := c.view.Lease.Clone()
			blk := rec.Blocks["n1"]
			blk.Machines = slices.Clone(blk.Machines)
			slices.Reverse(blk.Machines[:2])
			rec.Blocks["n1"] = blk
			c.applyLease(rec, version)
		}
	})
}
