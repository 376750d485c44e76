package leader

import (
	"fmt"
	"testing"

	"fawncove/internal/config"
	"fawncove/internal/peerpb"
	"fawncove/internal/wire"
)

// TestOldControllerKeepsOldLeaseForm guards against storing a lease value that an older
// controller cannot read: as long as there is one, the value keeps the old form and no
// limit is split into shares.
func TestOldControllerKeepsOldLeaseForm(t *testing.T) {
	for _, form := range []uint32{0, 2} {
		t.Run(fmt.Sprintf("peer reads form %d", form), func(t *testing.T) {
			l := newLeader([]config.Team{{Name: "red", CPUsMax: 100}}, wire.LeaseRecord{Term: 3, Leader: "n0", Incarnation: 7,
				Partitions: map[string]string{"red": "n0"},
				Blocks:     map[string]wire.Block{"n0": {Grant: 3 << 16, Incarnation: 7}, "n1": {Grant: 3<<16 + 1, Incarnation: 9, Renewal: 5}}})
			l.view.Params.ShardLimitedAbove = 0
			l.view.Peers["n1"].LeaseForm = form
			l.HandleRenewal(&peerpb.Renewal{Node: "n1", Incarnation: 9, Number: 6})
			rec, _ := l.Publish(&peerpb.Renewal{Node: "n0", Incarnation: 7, Number: 1})
			if (rec.Form == 2) != (form == 2) || (len(rec.Shares) > 0) != (form == 2) {
				t.Errorf("peer reads form %d: record has form %d and shares %v, want form 2 with shares only if the peer reads form 2", form, rec.Form, rec.Shares)
			}
			if form == 2 && rec.Shares["red"]["n0"].CPUs != 100 {
				t.Errorf("shares = %v, want the whole limit of 100 with the owner so far", rec.Shares)
			}
		})
	}
}
