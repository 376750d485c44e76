package owner

import (
	"fmt"
	"testing"
	"time"

	"fawncove/internal/config"
	"fawncove/internal/core/sched"
	"fawncove/internal/wire"
)

// BenchmarkPlace runs rounds of placement while every machine is full, on the fifth part of
// fleets of 1,000, 4,000 and 10,000 machines.
func BenchmarkPlace(b *testing.B) {
	for _, n := range []int{200, 800, 2000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var names wire.NameSet
			for i := range n {
				names = append(names, fmt.Sprintf("host-%06d", i))
			}
			o, now := newOwner(b, []config.Team{{Name: "red", CPUs: 4000, CPUsMax: 80000}}, wire.LeaseRecord{Term: 3, Leader: "n1",
				Blocks: map[string]wire.Block{"n0": {Grant: 1 << 18, Incarnation: 7, Machines: names}}, Partitions: map[string]string{"red": "n0"}})
			renewLease(o)
			for i, name := range names {
				m := o.workers.machines[name]
				m.machineType, m.zone, m.spot, m.agentEpoch, m.endpoint, m.size = "s4", "x", true, 1, "10.0.0.1:9000", sched.Resources{CPUs: 8, MemoryGB: 32}
				if i%25 == 0 {
					o.ApplyJob(wire.JobRecord{Job: wire.Job{ID: fmt.Sprintf("wk-%06d", i), Class: "c", Team: "red", Shape: wire.Array, Priority: "standard",
						Tasks: 150, CPUs: 4, MemoryGB: 4, Spot: true, EstimateS: 60, Image: "img", ImageGB: 1}}, RecordInfo{Version: wire.Revision(10 + i)})
				}
			}
			o.place()
			if waiting := len(o.readyJobs()); waiting < n/50 {
				b.Fatalf("only %d jobs wait", waiting)
			}
			for b.Loop() {
				now = now.Add(time.Millisecond)
				o.loop.Now, o.placement.preemptedAt = now, now
				o.place()
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/machine")
		})
	}
}
