package leader

import (
	"testing"

	"fawncove/internal/config"
	"fawncove/internal/peerpb"
	"fawncove/internal/wire"
)

// TestPartitionsStayTogether guards against spreading the partitions of teams with limits
// over more controllers than their processors require: capacity that is split is lost.
func TestPartitionsStayTogether(t *testing.T) {
	l := newLeader([]config.Team{{Name: "a", CPUs: 900, CPUsMax: 1000}, {Name: "b", CPUsMax: 800}}, wire.LeaseRecord{})
	for _, c := range []struct {
		name    string
		cores   float64
		reportS float64
		want    int // controllers that own partitions
	}{
		{"one controller has enough cores", 0.12, 2, 1},
		{"few cores", 0.05, 2, 2},
		{"few cores and rare reports", 0.05, 6, 1},
		{"core limit not set, very frequent reports", 0, 0.1, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			l.view.Settings.Cluster.Limits.Cores, l.view.Settings.Cluster.Workers.ReportS = c.cores, c.reportS
			l.renewals["n1"], l.renewalReceived["n1"] = &peerpb.Renewal{}, l.loop.Now
			rec := wire.LeaseRecord{Blocks: map[string]wire.Block{"n0": {}, "n1": {}}, Partitions: map[string]string{}}
			l.assignPartitions(&rec)
			owners := map[string]bool{rec.Partitions["a"]: true, rec.Partitions["b"]: true}
			if len(owners) != c.want {
				t.Errorf("%v cores, reports every %v s: partitions have %d owners, want %d", c.cores, c.reportS, len(owners), c.want)
			}
		})
	}
}

// TestHandoverCountsOnce guards against repeating the handover of a partition whose owner
// has started tasks of it again. An offered handover counts only with the write that
// acknowledges its renewal, and only under its grant; the partition goes to the
// controller that owns fewest of the team.
func TestHandoverCountsOnce(t *testing.T) {
	for _, c := range []struct {
		name          string
		number, grant uint64
		want          string
	}{
		{"a new renewal", 6, 3<<16 + 1, "n0"},
		{"a renewal acknowledged before", 5, 3<<16 + 1, "n1"},
		{"a renewal of an earlier grant", 6, 3 << 16, "n1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := newLeader([]config.Team{{Name: "red"}}, wire.LeaseRecord{Form: 2, Term: 3, Leader: "n0", Incarnation: 7,
				Partitions: map[string]string{"red #1": "n0", "red #2": "n1", "red #3": "n1", "red #4": "n1"},
				Blocks: map[string]wire.Block{"n0": {Grant: 3 << 16, Incarnation: 7},
					"n1": {Grant: 3<<16 + 1, Incarnation: 9, Renewal: 5}}})
			l.HandleRenewal(&peerpb.Renewal{Node: "n1", Incarnation: 9, Number: c.number, Grant: c.grant, Handovers: []string{"red #3", "red #1"}})
			rec, _ := l.Publish(&peerpb.Renewal{Node: "n0", Incarnation: 7, Number: 1})
			if rec.Partitions["red #3"] != c.want || rec.Partitions["red #1"] != "n0" {
				t.Errorf("partitions = %v, want red #3 owned by %s and red #1 by n0", rec.Partitions, c.want)
			}
		})
	}
}
