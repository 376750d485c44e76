package leader

import (
	"testing"

	"fawncove/internal/config"
	"fawncove/internal/peerpb"
	"fawncove/internal/wire"
)

// TestQuotaReservationCountsOnce guards against lowering a quota share below what already
// runs under it. A reservation of less than the share counts only with the write that
// acknowledges its renewal, and only under the grant it was made under: since then the
// share may have been raised, or taken over with a failed controller's instances, and the
// difference would be granted to other controllers.
func TestQuotaReservationCountsOnce(t *testing.T) {
	team := config.Team{Name: "red", CPUsMax: 100}
	lease := func() wire.LeaseRecord {
		return wire.LeaseRecord{Form: 2, Term: 3, Leader: "n0", Incarnation: 7,
			Partitions: map[string]string{"red": "n0", "red #1": "n0", "red #2": "n1"},
			Blocks: map[string]wire.Block{"n0": {Grant: 3 << 16, Incarnation: 7},
				"n1": {Grant: 3<<16 + 1, Incarnation: 9, Renewal: 5}},
			Shares: map[string]wire.Shares{"red": {"n0": {CPUs: 20}, "n1": {CPUs: 80}}}}
	}
	for _, c := range []struct {
		name        string
		number      uint64
		grant       uint64
		wantLowered bool
	}{
		{"a new renewal", 6, 3<<16 + 1, true},
		{"a renewal acknowledged before", 5, 3<<16 + 1, false},
		{"a renewal of an earlier grant", 6, 3 << 16, false},
		{"a renewal without a grant", 6, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := newLeader([]config.Team{team}, lease())
			l.HandleRenewal(&peerpb.Renewal{Node: "n1", Incarnation: 9, Number: c.number, Grant: c.grant,
				Reservations: []*peerpb.QuotaReservation{{Team: "red", Cpus: 30}}})
			rec, _ := l.Publish(&peerpb.Renewal{Node: "n0", Incarnation: 7, Number: 1})
			share := rec.Shares["red"]["n1"].CPUs
			if sum := share + rec.Shares["red"]["n0"].CPUs; sum > 100 {
				t.Errorf("sum of the shares = %d, want at most 100", sum)
			}
			if lowered := share < 80; lowered != c.wantLowered {
				t.Errorf("share = %d of 80 before, want lowered = %v", share, c.wantLowered)
			}
		})
	}
}
