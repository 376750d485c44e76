package leader

import (
	"testing"

	"fawncove/internal/peerpb"
	"fawncove/internal/wire"
)

// TestReleaseCountsUnderItsGrant guards against counting a release twice. A controller
// releases an instance, another one is assigned it and releases it as well, and the first
// one holds it again and starts tasks there. The renewal with the first release is still
// its newest one; counted again, it would take the instance from its holder while tasks
// run there, and the holder would start them elsewhere, as if the instance were gone.
func TestReleaseCountsUnderItsGrant(t *testing.T) {
	l := newLeader(nil, wire.LeaseRecord{Term: 3, Leader: "n0", Incarnation: 7, LastGrant: 3<<16 + 1,
		Blocks: map[string]wire.Block{"n0": {Grant: 3 << 16, Incarnation: 7}, "n1": {Grant: 3<<16 + 1, Incarnation: 9, Machines: []string{"host-000001"}}}})
	l.autoscaler.instances["host-000001"] = &instance{market: market{machineType: "s4"}}
	version := l.view.LeaseVersion
	// publish stores the next lease record and returns the holder of the instance in it.
	publish := func(own *peerpb.Renewal) string {
		own.Node, own.Incarnation, own.Number = "n0", 7, l.view.Lease.Blocks["n0"].Renewal+1
		own.Grant = uint64(l.view.Lease.Blocks["n0"].Grant)
		rec, stored := l.Publish(own)
		stored()
		version++
		l.view.ApplyLease(rec, version)
		return l.view.HolderOf("host-000001")
	}
	l.HandleRenewal(&peerpb.Renewal{Node: "n1", Incarnation: 9, Number: 1, Grant: 3<<16 + 1, Released: wire.PackNames([]string{"host-000001"})})
	l.draining["host-000001"], l.reassignTo["host-000001"] = true, "n0"
	if got := publish(&peerpb.Renewal{}); got != "n0" {
		t.Fatalf("released for n0: holder = %q, want n0", got)
	}
	l.reassignTo["host-000001"] = "n1"
	if got := publish(&peerpb.Renewal{Released: wire.PackNames([]string{"host-000001"})}); got != "n1" {
		t.Fatalf("released for n1: holder = %q, want n1", got)
	}
	delete(l.draining, "host-000001")
	delete(l.reassignTo, "host-000001")
	if got := publish(&peerpb.Renewal{}); got != "n1" || l.autoscaler.deleting["host-000001"] {
		t.Errorf("renewal of an earlier grant: holder = %q, deleting = %v, want n1 and false", got, l.autoscaler.deleting["host-000001"])
	}
	grant := l.view.Lease.Blocks["n1"].Grant
	l.HandleRenewal(&peerpb.Renewal{Node: "n1", Incarnation: 9, Number: 2, Grant: uint64(grant), Released: wire.PackNames([]string{"host-000001"})})
	if got := publish(&peerpb.Renewal{}); got != "" || !l.autoscaler.deleting["host-000001"] {
		t.Errorf("released under the current grant: holder = %q, deleting = %v, want none and true", got, l.autoscaler.deleting["host-000001"])
	}
}
