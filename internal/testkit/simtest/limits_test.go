package simtest

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"fawncove/internal/core/feature"
	"fawncove/internal/core/leasevalue"
)

var limits = flag.Uint64("limits", 6, "number of seeded worlds to play in which the limits of the state service fall")

// TestLimitsFall has the state service take smaller values and fewer changes a transaction
// than the settings say, from some moment on and without notice; what is stored stays. A
// write that is refused must not come again as large as it was, and must not cost the leader
// its term; jobs go on.
//
// What happened on a bench's day with such a moment: leadership changed every 11 s from then
// on, 43 terms in place of 2. Why: a refused write of the lease value was sent again
// unchanged, seven times a second, until the leader's lease had lapsed, and the next leader
// fared alike. In the logs: "leadership won" with a new term every 11 s; nothing said that a
// write was refused.
func TestLimitsFall(t *testing.T) {
	for seed := *first; seed < *first+*limits; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := NewNight(seed)
			if seed%2 == 0 {
				w.Begin(feature.Current(), 10*time.Second)
			}
			for i := range 75 {
				w.SubmitNight(i, time.Duration(w.rng.IntN(120))*time.Second)
			}
			at := time.Duration(50+w.rng.IntN(40)) * time.Second
			terms := 0
			w.after(at, func() {
				// What the lease value takes now must still be possible, with pages.
				lowered := &loweredLimits{txnOps: 4, valueBytes: 2048, refused: map[writeName]writeSize{}}
				if seed%3 > 0 { // as many changes as before, or values as large
					lowered.txnOps = w.cfg.State.TxnOps
				}
				if seed%3 == 2 {
					lowered.valueBytes = len(w.store.values[leasevalue.Key].data) - 20
				}
				w.store.lowered = lowered
				terms = w.terms
			})
			w.night.calmAt = at + 30*time.Second
			w.Run(480 * time.Second)
			w.complain(t)
			if n := w.terms - terms; n > 1 {
				t.Errorf("leadership changed %d times after the limits fell", n)
			}
			if left := w.Unfinished(); len(left) > 0 {
				t.Errorf("not over: %v", left)
			}
			t.Logf("%d writes refused", w.store.lowered.count)
		})
	}
}
